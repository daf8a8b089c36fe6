use super::*;

/// Short name of an upstream in messages between VMs: a hash of its id.
///
/// Two upstreams of a region have the same one in fewer than 1 in 100,000 regions of 250; each then seems
/// to have the load of both.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct UpstreamKey(u32);

/// Load by upstream, those without any left out.
pub type UpstreamLoads = Vec<(UpstreamKey, UnderWay)>;

impl From<&str> for UpstreamKey {
    fn from(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()) as u32)
    }
}
