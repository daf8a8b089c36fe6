use super::*;

/// Location of a VM or an upstream.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Place {
    /// Name of the region.
    pub region: RegionId,
    /// Name of the availability zone in the region.
    pub zone: ZoneId,
}
