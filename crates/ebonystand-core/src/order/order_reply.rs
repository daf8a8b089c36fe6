use super::*;

/// What a caller is told of its order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The answer of the one run.
    Answer {
        /// What the upstream answered.
        answer: OrderAnswer,
        /// It comes from the journal: the order ran for an earlier request.
        replayed: bool,
    },
    /// No answer, and whether the order ran.
    Refusal(Refusal),
}

impl OrderReply {
    /// Time after which the answer of a running order is worth asking for.
    pub const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Reply to a request whose grant is not known when its time is up.
    pub(crate) fn late() -> Self {
        Self::Refusal(
            Refusal::possibly_run(
                RefusalCode::Deadline,
                "the order is not settled in time; send it again under the same key",
            )
            .with_retry_after(Self::RETRY_AFTER),
        )
    }

    /// Reply that an outcome of a grant or an abandonment amounts to, if it settles the request.
    pub(crate) fn of(outcome: &OrderOutcome) -> Option<Self> {
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
            OrderOutcome::Unknown => Self::unanswered(),
            OrderOutcome::Granted
            | OrderOutcome::Pruned { .. }
            | OrderOutcome::Stale(_)
            | OrderOutcome::Stored => return None,
        };
        Some(Self::Refusal(refusal))
    }

    /// Refusal of a request whose order was sent without an answer.
    pub(crate) fn unanswered() -> Refusal {
        Refusal::possibly_run(
            RefusalCode::OrderUnknown,
            "the order was sent and got no answer; it may have run and is never sent again",
        )
    }
}
