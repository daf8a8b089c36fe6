use super::*;

/// Ask for a lease that may still be answered.
#[derive(Debug)]
pub(crate) struct OpenAsk {
    pub(crate) asked_at: Duration,
    /// Time until which claims wait for the answer; already past for an ask that prefetches.
    pub(crate) awaited_until: Duration,
    pub(crate) sequence: u64,
    /// Holder that was asked.
    pub(crate) to: VmId,
}
