use super::*;

/// What [`Feed`] is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedInput {
    /// The log made a change; the document given with it has it. Only on members of the log.
    Committed {
        /// The change.
        change: AcceptedChange,
    },
    /// See [`MembershipOutput::PeerVersion`].
    PeerVersion {
        /// The other's version.
        version: Version,
        /// The other VM.
        vm: VmId,
        /// The other's [`Withdrawals::digest`].
        withdrawals: u64,
    },
    /// Whether this VM leads the log under a valid lease and has applied all that was committed.
    Leading {
        /// Whether it does.
        leading: bool,
    },
    /// A message from another VM.
    Message {
        /// The sender.
        from: VmId,
        /// The message.
        message: FeedMessage,
    },
    /// The VMs that are live now, this one left out.
    Peers {
        /// Those of other regions.
        far: Vec<VmId>,
        /// Those of this region.
        near: Vec<VmId>,
    },
    /// Time has passed.
    Tick,
    /// An operator withdraws a key on this VM.
    Withdraw {
        /// The key.
        key: KeyId,
    },
}
