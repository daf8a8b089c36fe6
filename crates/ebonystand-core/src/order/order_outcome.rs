use super::*;

/// What became of an [`OrderCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderOutcome {
    /// Nobody holds the order, nothing of it was sent, and this holder gets no grant any more.
    Abandoned,
    /// Another holder has it; it may be running or dead.
    AlreadyGranted,
    /// It ran, and its answer is no longer stored or was too large for it.
    AnswerDropped,
    /// It ran; this is the answer.
    Answered(OrderAnswer),
    /// The key was used with another body.
    Conflict,
    /// The key was minted before the floor, and nothing is known of it any more.
    Expired,
    /// The journal takes no new order now; the holder has no grant.
    Full,
    /// The holder, and none but it, may send the order.
    Granted,
    /// The key is not of the form that [`OrderKeyParts`] takes.
    KeyFault(OrderKeyError),
    /// Orders with keys minted before this floor, in seconds since 1970, are forgotten.
    Pruned {
        /// Floor now in force.
        floor: u64,
        /// Records that went.
        records: u64,
    },
    /// The command came too late, or from one that does not hold the order; nothing has changed.
    Stale(OrderStaleReason),
    /// The answer is in the journal.
    Stored,
    /// Its holder sent it and got no answer.
    Unknown,
}
