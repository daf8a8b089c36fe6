use super::*;

/// Command in the replicated log that changes a [`FenceRegistry`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FenceCommand {
    /// A process claims a role.
    Claim {
        /// Fencing token of the holder that the claim succeeds; 0 if there was none.
        after: Fence,
        /// Process that claims the role.
        holder: FenceHolder,
        /// Role that the process wants to hold.
        role: RoleId,
    },
    /// The holder of a role renews its lease.
    Renew {
        /// Fencing token of the holder.
        fence: Fence,
        /// Sequence number of the renewal, above 0. A resend has the same number.
        renewal: u64,
        /// Role whose lease the holder renews.
        role: RoleId,
    },
}
