use super::*;

/// What an [`FencedRole`] is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum FencedRolePhase {
    /// It has asked for the role.
    Claiming {
        /// Whom it means to succeed.
        after: Fence,
    },
    /// It holds the role.
    Holding {
        /// Its number.
        fence: Fence,
        /// End of its lease.
        lease_end: Duration,
        /// When the predecessor's last order has taken effect.
        orders_open_at: Duration,
        /// Number of the last renewal that was sent.
        renewal: u64,
        /// When it was sent first, while it has no answer.
        renewal_sent: Option<Duration>,
    },
    /// It watches another holder.
    Standby {
        /// When the holder last showed that it lives, as seen here.
        since: Duration,
    },
}
