use super::*;
use settings_reader::SettingsReader;

/// Settings of the replicated group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupSettings {
    /// Silence of a leader after which another VM may take over; it does after once to twice this
    /// time. A start counts as having heard a leader.
    pub election: Duration,
    /// Whether any VM of the fleet with a data folder is taken in, up to [`Self::voters`].
    pub open: bool,
    /// Committed entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Voters that an open group aims at: twice the VMs that may be lost at once and one.
    pub voters: usize,
}

impl GroupSettings {
    pub(crate) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            election: Duration::from_millis(reader.ranged("election_ms", 1_000, 300, 60_000)),
            open: reader.optional("open", false),
            snapshot_entries: reader.ranged("snapshot_entries", 4_096, 8, 1 << 20),
            voters: reader.ranged("voters", 5, 1, 16) as usize,
        }
    }
}
