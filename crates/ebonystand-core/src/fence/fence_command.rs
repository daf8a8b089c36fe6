use super::*;

/// Entry of the replicated log that a [`FenceRegistry`] is made from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FenceCommand {
    /// A process asks for a role.
    Claim {
        /// Number of the holder that it means to succeed; 0 if there was none.
        after: Fence,
        /// Who asks.
        holder: FenceHolder,
        /// The role.
        role: RoleId,
    },
    /// The holder shows that it lives.
    Renew {
        /// Its number.
        fence: Fence,
        /// Number of the renewal, equal in each resend of it and above 0.
        renewal: u64,
        /// The role.
        role: RoleId,
    },
}
