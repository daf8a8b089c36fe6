use super::*;

/// Right to give one order to one upstream, under a fencing number.
#[derive(Debug)]
#[must_use]
pub struct FencePermit {
    pub(crate) fence: Fence,
    pub(crate) until: Duration,
}

impl FencePermit {
    /// Uses it, right before the order's first byte goes out: the number to send with the order.
    ///
    /// # Errors
    ///
    /// [`OrdererFault::Expired`] if the process was frozen for longer than its lease.
    pub fn redeem(self, now: Duration) -> Result<Fence, OrdererFault> {
        if now >= self.until {
            return Err(OrdererFault::Expired);
        }
        Ok(self.fence)
    }
}
