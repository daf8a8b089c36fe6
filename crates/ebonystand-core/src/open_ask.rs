use super::*;

/// Ask that may still be answered.
#[derive(Debug)]
pub(crate) struct OpenAsk {
    pub(crate) asked_at: Duration,
    /// Until when claims wait for the answer; an ask for stock has none wait.
    pub(crate) awaited_until: Duration,
    pub(crate) sequence: u64,
    pub(crate) to: VmId,
}
