use super::*;

/// How far an order has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum OrderState {
    /// Its last holder sent nothing; the next one to ask gets it.
    Abandoned,
    /// It ran; the answer is gone.
    AnswerDropped,
    /// It ran, with this answer.
    Answered(OrderAnswer),
    /// Its holder may send it at any time, or has died.
    Granted,
    /// Its holder sent it and got no answer.
    Unknown,
}
