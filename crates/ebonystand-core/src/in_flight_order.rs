use super::*;

/// Proof that an order may be on its way to an upstream.
#[derive(Debug)]
#[must_use = "an order whose outcome is not told stays unknown for ever"]
pub struct InFlightOrder {
    pub(crate) dispatch_by: Duration,
    pub(crate) holder: OrderHolder,
}

impl InFlightOrder {
    /// Turns to another upstream, right before the first byte goes out to it. Only for a caller
    /// that knows that no byte of the order was handed to a connection so far.
    ///
    /// The time is checked again: opening the connection that failed may have taken all of it.
    ///
    /// # Errors
    ///
    /// [`UnsentOrder`] if it is too late to send.
    pub fn switch_upstream(self, now: Duration) -> Result<Self, UnsentOrder> {
        if now >= self.dispatch_by {
            return Err(self.into_unsent());
        }
        Ok(self)
    }

    /// Takes the sending back. Only for a caller that knows that no byte of the order was handed
    /// to a connection: the connection could not be opened, or was found closed before.
    pub fn into_unsent(self) -> UnsentOrder {
        UnsentOrder {
            holder: self.holder,
        }
    }
}
