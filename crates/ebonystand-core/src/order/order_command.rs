use super::*;

/// Entry of the replicated log that an [`OrderJournal`] is made from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderCommand {
    /// The holder will not send the order. Also says so ahead of a grant that is still on its way.
    Abandon {
        /// What the order asks for: a request with another body must not be told the answer.
        body: BodyHash,
        /// Who says it.
        holder: OrderHolder,
        /// The order.
        id: OrderId,
    },
    /// The upstream has answered the holder.
    Answer {
        /// What it answered.
        answer: OrderAnswer,
        /// Who was answered.
        holder: OrderHolder,
        /// The order.
        id: OrderId,
    },
    /// The holder asks to be the one that sends the order.
    Grant {
        /// Wall clock of the asking VM, in seconds since 1970. Only bounds how far ahead a key may
        /// be minted; no grant is safe or unsafe by it.
        at: u64,
        /// What the order asks for.
        body: BodyHash,
        /// Who asks.
        holder: OrderHolder,
        /// The order.
        id: OrderId,
    },
    /// The holder has sent the order, wholly or in part, and will get no answer.
    MarkUnknown {
        /// Who sent it.
        holder: OrderHolder,
        /// The order.
        id: OrderId,
    },
    /// Forget the orders whose keys were minted before the floor, and refuse such keys from now on.
    Prune {
        /// Seconds since 1970. Lowered to what the newest key of the journal and
        /// [`OrderLimits::retention`] allow, so that one wrong clock expires nothing.
        floor: u64,
    },
}
