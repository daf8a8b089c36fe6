use super::*;

/// What a journal reports after it has applied an [`OrderCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderOutcome {
    /// The order has no holder and was not sent, and the holder that asked gets no grant any more.
    Abandoned,
    /// Another attempt holds the order; it may be running or may have crashed.
    AlreadyGranted,
    /// The order ran; its answer was dropped or was too large to store.
    AnswerDropped,
    /// The order ran and got this answer.
    Answered(OrderAnswer),
    /// An order with the same key and another body is recorded already.
    Conflict,
    /// The key was minted before the floor; what happened to its order is no longer known.
    Expired,
    /// The journal, or the part of it that the workspace may use, has no room for another record;
    /// the holder has no grant.
    Full,
    /// The holder, and no other, may send the order.
    Granted,
    /// The key is malformed or was minted too far in the future; the journal has recorded nothing.
    KeyFault(OrderKeyError),
    /// Records of orders with keys minted before the floor were deleted.
    Pruned {
        /// Current floor, in seconds since 1970.
        floor: u64,
        /// Number of deleted records.
        records: u64,
    },
    /// The command was too late, or didn't come from the order's holder; nothing has changed.
    Stale(OrderStaleReason),
    /// The journal has the answer, or had it before it was dropped.
    Stored,
    /// The holder sent the order and got no answer.
    Unknown,
}
