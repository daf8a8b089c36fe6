use super::*;

/// What a journal knows about the run of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum OrderState {
    /// The last holder sent nothing; the next attempt that asks gets the grant.
    Abandoned,
    /// The order ran; its answer was dropped or was too large to store.
    AnswerDropped,
    /// The order ran and got this answer.
    Answered(OrderAnswer),
    /// The holder may send the order at any time, may have sent it, or has crashed.
    Granted,
    /// The holder sent the order and got no answer.
    Unknown,
}
