use super::*;

/// What a customer's callers run for: an allowance, keys and a residency.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Tokens that may be taken at once over all VMs.
    pub burst: Tokens,
    /// Region that its order keys belong to unless they name another.
    pub home: RegionId,
    /// Tokens a second over all VMs.
    pub rate: Tokens,
    /// Regions that its requests may be served in; never empty.
    pub residency: BTreeSet<RegionId>,
}
