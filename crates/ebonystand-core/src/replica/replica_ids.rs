//! Integer types of the replicated log.

/// Index of an entry in the log. The snapshot that founds a group has index 1.
pub type LogIndex = u64;
/// Number of a batch of records, increasing in the order in which batches are passed to the
/// storage.
pub type PersistToken = u64;
/// Number that a proposer or reader assigns to its request. It never leaves the VM.
pub type ProposalId = u64;
/// Number of an election; each term has at most one leader.
pub type Term = u64;
