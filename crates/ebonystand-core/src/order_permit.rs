use super::*;

/// Right to send one order once.
///
/// Only an [`OrderDispatch`] makes it, from a grant that is durable, and never twice. It cannot
/// be copied, and sending takes it: a VM cannot send an order without a grant, nor twice on one.
/// A permit that is dropped leaves the order granted, and callers hear `unknown`.
#[derive(Debug)]
#[must_use = "an order whose permit is dropped stays unknown for ever"]
pub struct OrderPermit {
    pub(crate) dispatch_by: Duration,
    pub(crate) holder: OrderHolder,
    pub(crate) id: OrderId,
}

impl OrderPermit {
    /// Gives it back unused.
    pub fn return_unused(self) -> UnsentOrder {
        UnsentOrder {
            holder: self.holder,
        }
    }

    /// The order.
    #[must_use]
    pub fn id(&self) -> &OrderId {
        &self.id
    }

    /// Uses it, right before the first byte goes out.
    ///
    /// A process that was frozen after its grant reads the clock here and sends nothing past its
    /// time. A freeze after this call cannot be seen: the order then goes out late, but still
    /// once, since nobody else is granted it.
    ///
    /// # Errors
    ///
    /// [`UnsentOrder`] if it is too late to send.
    pub fn redeem(self, now: Duration) -> Result<InFlightOrder, UnsentOrder> {
        if now >= self.dispatch_by {
            return Err(self.return_unused());
        }
        Ok(InFlightOrder {
            dispatch_by: self.dispatch_by,
            holder: self.holder,
        })
    }
}
