use super::*;

/// Region that VMs and upstreams stand in, with its allowance holders and links.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Names of the VMs that hold the region's share of the allowances. Rendezvous hashing assigns
    /// each workspace to one of them. If empty, the region's VMs borrow from the holders of other
    /// regions.
    pub holders: Vec<VmId>,
    /// Links to other regions, by the other region's name.
    pub links: BTreeMap<RegionId, Link>,
}
