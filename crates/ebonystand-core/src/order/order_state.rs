use super::*;

/// State of an order in its journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum OrderState {
    /// The last holder sent nothing; the next attempt that asks gets the grant.
    Abandoned,
    /// The order ran; its answer is no longer stored.
    AnswerDropped,
    /// The order ran and got this answer.
    Answered(OrderAnswer),
    /// The holder may send the order at any time, or has crashed.
    Granted,
    /// The holder sent the order and got no answer.
    Unknown,
}
