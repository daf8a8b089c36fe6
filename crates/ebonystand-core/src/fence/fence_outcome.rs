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
    /// Another process holds the role, or nobody does.
    Lost {
        /// Fencing token of the last holder; 0 if there was none.
        fence: Fence,
    },
}
