use super::*;

/// Stage of the request of an [`OrderDispatch`]. It decides which command is proposed to the
/// journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OrderPhase {
    /// The order will not be sent, and the journal is asked to record that.
    Abandoning {
        /// Whether the grant had arrived before. If so, the request ends only once the journal
        /// reports that the order is abandoned or its key has expired, since any other outcome
        /// would leave the order granted.
        granted: bool,
    },
    /// The journal is asked for the grant.
    AwaitingGrant,
    /// No further action is needed.
    Closed,
    /// The order was sent and got no answer, and the journal is asked to record that.
    MarkingUnknown,
    /// The permit was handed to the driver.
    Permitted,
    /// The journal is asked to store the answer.
    StoringAnswer(OrderAnswer),
}
