use super::*;

/// A shared beginning of prompts that an engine keeps, as VMs tell one another.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CachedPrefix {
    /// Regions that may keep it; `None` if all may.
    pub homes: Option<BTreeSet<RegionId>>,
    /// The engine.
    pub instance: UpstreamKey,
    /// The beginning.
    pub prefix: PrefixId,
}
