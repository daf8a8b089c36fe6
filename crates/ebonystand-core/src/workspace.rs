use super::*;

/// Workspace of a customer: the allowance, home region and residency that apply to its callers'
/// requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Capacity of the token bucket, in tokens that all VMs together may take at once.
    pub burst: Tokens,
    /// Region that the workspace's order keys belong to unless they name another one.
    pub home: RegionId,
    /// Refill rate of the token bucket, in tokens per second for all VMs together.
    pub rate: Tokens,
    /// Regions in which the workspace's requests may be served; never empty.
    pub residency: BTreeSet<RegionId>,
}
