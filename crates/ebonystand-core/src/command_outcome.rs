use super::*;

/// Outcome of a [`Command`].
#[derive(Clone, Debug, Deserialize, Eq, From, PartialEq, Serialize)]
pub enum CommandOutcome {
    /// Outcome of a barrier: the version of the configuration in force.
    #[from(ignore)]
    Barrier(Version),
    /// Outcome of a change of the configuration.
    Change(ChangeOutcome),
    /// Outcome of a command about a once-only order.
    Order(OrderOutcome),
}
