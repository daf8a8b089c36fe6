use super::*;

/// Queued and running requests of one workspace in a [`FairQueue`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    pub(crate) entries: VecDeque<WaitingEntry>,
    /// Virtual time at which the workspace's last accepted request ends.
    pub(crate) finish: Tokens,
    pub(crate) queued: Tokens,
    pub(crate) running: u32,
}

/// A queued request with its virtual start time.
#[derive(Clone, Debug)]
pub(crate) struct WaitingEntry {
    pub(crate) entry: QueueEntry,
    pub(crate) start: Tokens,
}

impl Backlog {
    /// Queued tokens above which a backlog counts as a burst.
    const BURST_TOKENS: Tokens = 8_000;

    /// Whether the workspace may start a request. A burst may take a reserved slot only while it
    /// holds less than half of its equal share. Without this exception the workspace could wait
    /// without end behind many workspaces that have no burst.
    pub(crate) fn can_start(&self, is_only_reserve_left: bool, half_share: u32) -> bool {
        !is_only_reserve_left || self.queued <= Self::BURST_TOKENS || self.running < half_share
    }
}
