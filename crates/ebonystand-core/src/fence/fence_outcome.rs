use super::*;

/// Result of applying a [`FenceCommand`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FenceOutcome {
    /// The process that sent the command holds the role.
    Held {
        /// Fencing token of the holder.
        fence: Fence,
        /// Sequence number of the renewal that this answers; 0 for a claim.
        renewal: u64,
    },
    /// The claim or renewal had no effect: the role has another holder, a newer token of the same
    /// process, or no holder.
    Lost {
        /// Fencing token of the last holder; 0 if there was none.
        fence: Fence,
    },
}
