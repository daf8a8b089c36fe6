use super::*;

/// What [`VmMembership`] asks its process to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipOutput {
    /// A VM's configuration is newer, or its withdrawn keys differ: pass it to
    /// [`FeedInput::Heard`].
    Heard {
        /// The other's version.
        version: Version,
        /// The other VM.
        vm: VmId,
        /// The other's [`Withdrawals::digest`].
        withdrawals: u64,
    },
    /// Send a datagram.
    Send {
        /// What.
        message: Box<MembershipMessage>,
        /// Where to.
        to: SocketAddr,
    },
}
