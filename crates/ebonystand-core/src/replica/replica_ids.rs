//! Numbers of the replicated log.

/// Place of an entry in the log; the founding snapshot is at 1.
pub type LogIndex = u64;
/// Number of a batch of records, in the order in which they are handed to the storage.
pub type PersistToken = u64;
/// Proposer's own number for a proposal or a read barrier; it never leaves the VM.
pub type ProposalId = u64;
/// Number of an election; at most one leader has it.
pub type Term = u64;
