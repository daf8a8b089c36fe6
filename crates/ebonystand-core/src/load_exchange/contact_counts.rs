use super::*;

/// How many attempts to contact the upstreams of an availability zone reached one, and how many did
/// not.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ContactCounts {
    /// Attempts that an upstream answered.
    pub reached: u32,
    /// Attempts that could not open a connection, or found another server at the address.
    pub missed: u32,
}

/// Counts by availability zone.
pub type ZoneContacts = BTreeMap<ZoneId, ContactCounts>;

impl ContactCounts {
    /// Most bytes that the counts of one zone are encoded in, with a zone name of usual length.
    pub(crate) const MAX_BYTES: usize = 48;

    /// Adds other counts.
    pub(crate) fn add(&mut self, other: Self) {
        self.reached = self.reached.saturating_add(other.reached);
        self.missed = self.missed.saturating_add(other.missed);
    }
}
