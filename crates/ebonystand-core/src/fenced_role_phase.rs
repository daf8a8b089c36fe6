use super::*;

/// Phase of a [`FencedRole`] on one VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum FencedRolePhase {
    /// The VM has claimed the role and waits for the result.
    Claiming {
        /// Fencing token of the holder that the claim succeeds.
        after: Fence,
    },
    /// The VM holds the role.
    Holding {
        /// Fencing token under which the VM holds the role.
        fence: Fence,
        /// Time at which the lease expires.
        lease_end: Duration,
        /// Time from which the predecessor's orders can no longer take effect.
        open_at: Duration,
        /// Sequence number of the last renewal.
        renewal: u64,
        /// Time at which the last renewal was first sent, while it is unanswered.
        renewal_sent: Option<Duration>,
    },
    /// The VM does not hold the role and watches its holder.
    Standby {
        /// Time at which this VM last saw the holder's grant or renewal change.
        since: Duration,
    },
}
