use super::*;

/// A shared beginning of prompts that an engine keeps, as VMs tell one another.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CachedPrefix {
    /// The engine.
    pub instance: UpstreamId,
    /// The beginning.
    pub prefix: PrefixId,
}
