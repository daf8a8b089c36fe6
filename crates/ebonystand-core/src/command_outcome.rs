use super::*;

/// What became of a [`Command`].
#[derive(Clone, Debug, Deserialize, Eq, From, PartialEq, Serialize)]
pub enum CommandOutcome {
    /// Of a barrier: the version in force there.
    #[from(ignore)]
    Barrier(Version),
    /// Of a change of the configuration.
    Change(ChangeOutcome),
    /// Of an order.
    Order(OrderOutcome),
}
