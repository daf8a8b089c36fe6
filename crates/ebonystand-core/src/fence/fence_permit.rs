use super::*;

/// Permission to send one order to one upstream under a fencing token.
#[derive(Debug)]
#[must_use]
pub struct FencePermit {
    pub(crate) fence: Fence,
    pub(crate) valid_until: Duration,
}

impl FencePermit {
    /// Consumes the permit right before the order's first byte is sent, and returns the fencing
    /// token to send with the order.
    ///
    /// # Errors
    ///
    /// [`FencedRoleError::LeaseExpired`] if the lease ended in the meantime, such as when the
    /// process was frozen for longer than its lease.
    pub fn redeem(self, now: Duration) -> Result<Fence, FencedRoleError> {
        if now >= self.valid_until {
            return Err(FencedRoleError::LeaseExpired);
        }
        Ok(self.fence)
    }
}
