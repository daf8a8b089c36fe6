use super::*;

/// What one workspace has in a [`FairQueue`].
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceBacklog {
    pub(crate) entries: VecDeque<WaitingEntry>,
    /// Virtual time at which the last request that it took ends.
    pub(crate) finish: Tokens,
    pub(crate) queued: Tokens,
    pub(crate) running: u32,
}

/// A waiting request and the virtual time of its start.
#[derive(Clone, Debug)]
pub(crate) struct WaitingEntry {
    pub(crate) entry: QueueEntry,
    pub(crate) start: Tokens,
}

impl WorkspaceBacklog {
    /// Queued tokens from which on a backlog counts as a burst.
    const BURST_TOKENS: Tokens = 8_000;

    /// Whether it may start a request. A burst may take one of the reserved slots only while it
    /// holds less than half its equal share; else it could starve behind many calm workspaces.
    pub(crate) fn can_start(&self, is_only_reserve_left: bool, half_share: u32) -> bool {
        !is_only_reserve_left || self.queued <= Self::BURST_TOKENS || self.running < half_share
    }
}
