use super::*;

/// Event that [`Feed`] processes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedInput {
    /// The log has committed a change, which the document passed with this input already has. Only
    /// members of the log get this input.
    Committed {
        /// Committed change.
        change: AcceptedChange,
    },
    /// Gossip shows a peer with a newer version or other withdrawn keys; see
    /// [`MembershipOutput::PeerVersion`].
    PeerVersion {
        /// Version in force on the peer.
        version: Version,
        /// Name of the peer.
        vm: VmId,
        /// [`Withdrawals::digest`] of the peer's withdrawn keys.
        withdrawals: u64,
    },
    /// This VM has started or stopped leading the log under a valid lease with all committed
    /// changes applied.
    Leading {
        /// Whether the VM leads now.
        leading: bool,
    },
    /// A message from another VM has arrived.
    Message {
        /// Name of the VM that sent the message.
        from: VmId,
        /// Message that has arrived.
        message: FeedMessage,
    },
    /// The set of live VMs has changed; this VM is left out.
    Peers {
        /// Live VMs of other regions.
        far: Vec<VmId>,
        /// Live VMs of this region.
        near: Vec<VmId>,
    },
    /// [`Feed::deadline`] has passed.
    Tick,
    /// An operator withdraws a key on this VM.
    Withdraw {
        /// Name of the key to withdraw.
        key: KeyId,
    },
}
