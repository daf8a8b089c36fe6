use super::*;

/// Command for the replicated state machine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Changes nothing. State read after the barrier is committed contains every change
    /// acknowledged before the barrier was proposed.
    Barrier,
    /// Changes the configuration.
    Change(ChangeRequest),
    /// Changes the journal of once-only orders.
    Order(OrderCommand),
}
