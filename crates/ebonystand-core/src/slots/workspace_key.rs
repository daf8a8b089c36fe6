use super::*;

/// Short identifier of a workspace in messages about slots: a hash of its name.
///
/// Two workspaces that share a key share one share of the slots.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WorkspaceKey(u32);

impl From<&str> for WorkspaceKey {
    fn from(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}
