use super::*;

/// Recall of leases that is waiting for the borrowers' answers.
#[derive(Debug)]
pub(crate) struct Recall {
    pub(crate) id: u64,
    /// Time from which answers are not waited for any more.
    pub(crate) expires_at: Duration,
    /// Borrowers that have not answered yet.
    pub(crate) unanswered: BTreeSet<VmId>,
}
