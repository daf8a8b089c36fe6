use super::*;

/// Versions that the last changes of each availability zone's evacuation made.
///
/// Such a change is accepted only if the evacuation of the zone has not been changed since the
/// version that it is based on. A request that is delivered late then cannot undo a newer one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationVersions {
    /// Highest version among the zones that are no longer remembered.
    forgotten: Version,
    last: BTreeMap<ZoneId, Version>,
}

impl EvacuationVersions {
    /// Maximum number of zones that are remembered.
    pub const MAX_ZONES: usize = 1_024;

    /// Returns the version that the last change of a zone's evacuation made. For a zone that is not
    /// remembered it may be a higher one.
    #[must_use]
    pub fn last_version(&self, zone: &ZoneId) -> Version {
        self.last.get(zone).copied().unwrap_or(self.forgotten)
    }

    /// Records that a change of a zone's evacuation made a version.
    pub(crate) fn record(&mut self, zone: ZoneId, version: Version) {
        self.last.insert(zone, version);
        if self.last.len() <= Self::MAX_ZONES {
            return;
        }
        let oldest = self.last.iter().min_by_key(|(_, version)| **version);
        if let Some((zone, version)) = oldest.map(|(zone, version)| (zone.clone(), *version)) {
            self.last.remove(&zone);
            self.forgotten = self.forgotten.max(version);
        }
    }
}
