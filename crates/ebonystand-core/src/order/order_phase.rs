use super::*;

/// Phase of an [`OrderDispatch`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OrderPhase {
    /// The order will not be sent, and the journal is asked to record that.
    Abandoning {
        /// Whether the grant was received, so that only the abandonment itself frees the order.
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
