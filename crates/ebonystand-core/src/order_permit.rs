use super::*;

/// Right to send one order once.
///
/// Only an [`OrderDispatch`] creates a permit, from a durable grant, and at most once. A permit
/// can't be copied, and sending consumes it: a VM can't send an order without a grant or twice with
/// one. If a permit is dropped, its order stays granted and callers get the run state `unknown`.
#[derive(Debug)]
#[must_use = "an order whose permit is dropped stays unknown for ever"]
pub struct OrderPermit {
    pub(crate) dispatch_by: Duration,
    pub(crate) holder: OrderHolder,
    pub(crate) id: OrderId,
}

impl OrderPermit {
    /// Returns the permit unused.
    pub fn return_unused(self) -> UnsentOrder {
        UnsentOrder {
            holder: self.holder,
        }
    }

    /// Returns the ID of the order.
    #[must_use]
    pub fn id(&self) -> &OrderId {
        &self.id
    }

    /// Consumes the permit. Must be called immediately before the first byte is sent.
    ///
    /// A process that was frozen after its grant checks the clock here and sends nothing after the
    /// deadline. A freeze after this call goes unnoticed: the order is then sent late, but still
    /// only once, since nobody else gets a grant for it.
    ///
    /// # Errors
    ///
    /// Returns an [`UnsentOrder`] if the deadline for sending has passed.
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
