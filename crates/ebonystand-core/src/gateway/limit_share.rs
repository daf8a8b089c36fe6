use super::*;

/// Part that one VM takes in sending to an upstream with a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LimitShare {
    /// Time between two requests of this VM, if it is a sender.
    pub(crate) interval: Duration,
    /// Whether this VM is one of the few that send to the upstream.
    pub(crate) is_sender: bool,
    /// Time between two requests of this VM if all VMs of the region were senders.
    pub(crate) stale_interval: Duration,
    /// Part of [`Self::stale_interval`] that this VM waits at first, so that the VMs do not begin
    /// together.
    pub(crate) stale_phase: Duration,
}
