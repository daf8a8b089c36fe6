use super::*;

/// Report that an engine caches a shared prompt prefix, as VMs exchange it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CachedPrefix {
    /// Regions that may cache the prefix; `None` if all may.
    pub homes: Option<BTreeSet<RegionId>>,
    /// Short name of the engine.
    pub instance: UpstreamKey,
    /// Hash that identifies the prefix.
    pub prefix: PrefixId,
}
