use super::*;

/// Result of proposing a command to a VM for the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Proposed {
    /// The command is committed and applied, with this outcome.
    Done(Box<CommandOutcome>),
    /// The VM is not the leader and appended nothing. Contains the leader if the VM knows it.
    Elsewhere(Option<VmId>),
    /// The result is unknown: the VM did not learn whether the command was committed, and it may still
    /// be.
    Nowhere,
}
