use super::*;

/// Action that [`VmMembership`] asks the daemon to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipOutput {
    /// A peer's configuration is newer than this VM's, or its set of withdrawn keys differs; the
    /// daemon passes this on as [`FeedInput::PeerVersion`].
    PeerVersion {
        /// Version of the configuration in force on the peer.
        version: Version,
        /// Name of the peer.
        vm: VmId,
        /// [`Withdrawals::digest`] of the peer's withdrawn keys.
        withdrawals: u64,
    },
    /// A datagram is to be sent.
    Send {
        /// Datagram to send.
        message: Box<MembershipMessage>,
        /// Address of the receiver.
        to: SocketAddr,
    },
}
