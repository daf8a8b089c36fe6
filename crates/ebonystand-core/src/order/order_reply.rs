use super::*;

/// Reply to the caller of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// Answer of the only run of the order.
    Answer {
        /// Response that the upstream gave to the order.
        answer: OrderAnswer,
        /// Whether the answer comes from the journal, that is, the order ran for an earlier
        /// request.
        replayed: bool,
    },
    /// Refusal, which says whether the order ran.
    Refusal(Refusal),
}

impl OrderReply {
    /// Delay after which a caller may ask again for the answer of a running order.
    pub const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Returns the reply to a request whose grant is still unknown at its deadline.
    pub(crate) fn deadline_passed() -> Self {
        Self::Refusal(
            Refusal::possibly_run(
                RefusalCode::Deadline,
                "the order is not settled in time; send it again under the same key",
            )
            .with_retry_after(Self::RETRY_AFTER),
        )
    }

    /// Returns the reply that follows from the outcome of a grant or an abandonment, if that
    /// outcome settles the request.
    pub(crate) fn from_outcome(outcome: &OrderOutcome) -> Option<Self> {
        let refusal = match outcome {
            OrderOutcome::Answered(answer) => {
                return Some(Self::Answer {
                    answer: answer.clone(),
                    replayed: true,
                });
            }
            OrderOutcome::Abandoned => Refusal::not_run(
                RefusalCode::Deadline,
                "the order was not sent; it may be sent again under the same key",
            ),
            OrderOutcome::AlreadyGranted => Refusal::possibly_run(
                RefusalCode::OrderUnknown,
                "the order was sent before and may be running; ask again for its answer",
            )
            .with_retry_after(Self::RETRY_AFTER),
            OrderOutcome::AnswerDropped => Refusal {
                code: RefusalCode::OrderAnswerDropped,
                message: "the order ran; its answer is no longer stored".into(),
                retry_after: None,
                run: RunState::Ran,
            },
            OrderOutcome::Conflict => Refusal::not_run(
                RefusalCode::OrderConflict,
                "the order key was used with another body; take a new key for a new order",
            ),
            OrderOutcome::Expired => Refusal::possibly_run(
                RefusalCode::OrderExpired,
                "the order key is too old; what became of its order is forgotten",
            ),
            OrderOutcome::Full => Refusal::not_run(
                RefusalCode::Overloaded,
                "the order journal is full; the order was not sent",
            )
            .with_retry_after(Self::RETRY_AFTER),
            OrderOutcome::KeyFault(fault) => fault.refusal(),
            OrderOutcome::Unknown => Self::no_answer_refusal(),
            OrderOutcome::Granted
            | OrderOutcome::Pruned { .. }
            | OrderOutcome::Stale(_)
            | OrderOutcome::Stored => return None,
        };
        Some(Self::Refusal(refusal))
    }

    /// Returns the refusal of a request whose order was sent and got no answer.
    pub(crate) fn no_answer_refusal() -> Refusal {
        Refusal::possibly_run(
            RefusalCode::OrderUnknown,
            "the order was sent and got no answer; it may have run and is never sent again",
        )
    }
}
