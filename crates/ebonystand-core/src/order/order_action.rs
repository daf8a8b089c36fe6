use super::*;

/// Action that a driver must carry out for an [`OrderDispatch`].
#[derive(Debug)]
pub enum OrderAction {
    /// Send the order to an upstream, or return the permit unused.
    Dispatch(OrderPermit),
    /// Propose the command to the log of the order's region, and pass the outcome to
    /// [`OrderDispatch::handle_outcome`]. The network may lose or duplicate the command and the
    /// outcome.
    Propose(OrderCommand),
    /// Reply to the caller. Occurs at most once.
    Reply(OrderReply),
}
