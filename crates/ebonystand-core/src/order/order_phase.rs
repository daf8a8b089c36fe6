use super::*;

/// How far an [`OrderDispatch`] has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OrderPhase {
    /// It will not send the order and asks the journal to say so.
    Abandoning {
        /// Its grant was known, so nothing but the abandonment itself frees the order.
        granted: bool,
    },
    /// It asks for the grant.
    Asking,
    /// All is done.
    Closed,
    /// The order was sent without an answer, which the journal is told.
    Marking,
    /// The permit is out.
    Permitted,
    /// The answer is on its way to the journal.
    Storing(OrderAnswer),
}
