use super::*;

/// Proof that an order's permit has been redeemed, so that the order may be on its way to an
/// upstream.
#[derive(Debug)]
#[must_use = "an order whose outcome is not recorded stays unknown for ever"]
pub struct InFlightOrder {
    pub(crate) dispatch_by: Duration,
    pub(crate) holder: OrderHolder,
}

impl InFlightOrder {
    /// Checks that the order may still be sent to another upstream. Must be called immediately
    /// before the first byte is sent to it, and only if no byte of the order was passed to a
    /// connection so far.
    ///
    /// The time is checked again: opening the connection that failed may have taken all of it.
    ///
    /// # Errors
    ///
    /// Returns an [`UnsentOrder`] if the deadline for sending has passed.
    pub fn switch_upstream(self, now: Duration) -> Result<Self, UnsentOrder> {
        if now >= self.dispatch_by {
            return Err(self.into_unsent());
        }
        Ok(self)
    }

    /// Reverts the order to unsent. Must be called only if no byte of the order was passed to a
    /// connection: the connection couldn't be opened, or was found closed beforehand.
    pub fn into_unsent(self) -> UnsentOrder {
        UnsentOrder {
            holder: self.holder,
        }
    }
}
