use super::*;

/// Command that changes an [`OrderJournal`], replicated through the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderCommand {
    /// Records that the holder will not send the order. A later grant to the same holder, still on
    /// its way, is then rejected as stale.
    Abandon {
        /// Hash of the order's request. A request with another body must not get the answer.
        body: BodyHash,
        /// Holder that abandons the order.
        holder: OrderHolder,
        /// Workspace and key of the order to abandon.
        id: OrderId,
    },
    /// Records the upstream's answer.
    Answer {
        /// Response that the upstream gave to the order.
        answer: OrderAnswer,
        /// Holder that received the answer.
        holder: OrderHolder,
        /// Workspace and key of the order that was answered.
        id: OrderId,
    },
    /// Requests the grant, that is, the exclusive right to send the order.
    Grant {
        /// Wall clock of the requesting VM, in seconds since 1970. It only limits how far in the
        /// future a key may be minted; the safety of a grant doesn't depend on it.
        at: u64,
        /// Hash of the order's request.
        body: BodyHash,
        /// Holder that requests the grant.
        holder: OrderHolder,
        /// Workspace and key of the order to grant.
        id: OrderId,
    },
    /// Records that the holder has sent the order, at least in part, and will receive no answer.
    MarkUnknown {
        /// Holder that sent the order.
        holder: OrderHolder,
        /// Workspace and key of the order that was sent.
        id: OrderId,
    },
    /// Deletes the records of orders whose keys were minted before the floor, and rejects such keys
    /// from now on.
    Prune {
        /// Floor in seconds since 1970. The journal lowers it to [`OrderLimits::retention`] before
        /// the newest granted key, so that one wrong clock expires no key in use.
        floor: u64,
    },
}
