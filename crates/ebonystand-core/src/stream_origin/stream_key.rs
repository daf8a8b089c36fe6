use super::*;

/// Hash of the attempt that brought the first event of a stream, and of its workspace. A caller cannot
/// take up a stream of another workspace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Creates the key of the stream whose first event came with `attempt`.
    #[must_use]
    pub fn new(workspace: Option<&str>, attempt: &str) -> Self {
        let workspace = workspace.map_or(0, |workspace| xxh3_64(workspace.as_bytes()));
        Self(xxh3_64_with_seed(attempt.as_bytes(), workspace))
    }

    /// Returns the order in which VMs and regions hold the stream's origin.
    pub(super) fn preference(self) -> RendezvousHash {
        RendezvousHash::new(self.0)
    }
}
