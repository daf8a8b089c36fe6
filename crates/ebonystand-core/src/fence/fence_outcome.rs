use super::*;

/// What became of a [`FenceCommand`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FenceOutcome {
    /// The process that asked holds the role.
    Held {
        /// Its number.
        fence: Fence,
        /// Renewal that is answered; 0 if it is the claim.
        renewal: u64,
    },
    /// Another process does, or none.
    Lost {
        /// Number of the last holder.
        fence: Fence,
    },
}
