use super::*;

/// Entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Changes nothing. What is read after its outcome came is as new as anything that was answered
    /// before it was asked for.
    Barrier,
    /// Changes the configuration.
    Change(ChangeRequest),
    /// Grants, answers or settles a once-only order.
    Order(OrderCommand),
}
