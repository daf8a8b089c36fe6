use super::*;

/// Right to give one order to one upstream, under a fencing number.
#[derive(Debug)]
#[must_use]
pub struct FencePermit {
    pub(crate) fence: Fence,
    pub(crate) valid_until: Duration,
}

impl FencePermit {
    /// Uses it, right before the order's first byte goes out: the number to send with the order.
    ///
    /// # Errors
    ///
    /// [`FencedRoleError::LeaseExpired`] if the process was frozen for longer than its lease.
    pub fn redeem(self, now: Duration) -> Result<Fence, FencedRoleError> {
        if now >= self.valid_until {
            return Err(FencedRoleError::LeaseExpired);
        }
        Ok(self.fence)
    }
}
