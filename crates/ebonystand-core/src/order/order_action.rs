use super::*;

/// What an [`OrderDispatch`] wants done.
#[derive(Debug)]
pub enum OrderAction {
    /// Send the order to an upstream, or give the permit back.
    Dispatch(OrderPermit),
    /// Bring the command to the log of the order's region, and the outcome back to
    /// [`OrderDispatch::handle_outcome`]. It may get lost or come twice.
    Propose(OrderCommand),
    /// Answer the caller. Said once.
    Reply(OrderReply),
}
