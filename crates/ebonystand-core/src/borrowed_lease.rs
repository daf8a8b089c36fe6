use super::*;

/// Lease as its borrower sees it.
#[derive(Debug)]
pub(crate) struct BorrowedLease {
    /// Expiry on this VM's clock.
    pub(crate) expires_at: Duration,
    pub(crate) id: LeaseId,
    pub(crate) lender: VmId,
    pub(crate) part: AllowancePart,
    /// Time at which to request a renewal.
    pub(crate) renew_at: Duration,
}

impl BorrowedLease {
    /// Releases as much of `part_left` as the lease holds, and of `tokens_left` as its capacity
    /// allows, and subtracts what was released from both. Returns the released part and the return
    /// to send.
    pub(crate) fn release(
        &mut self,
        part_left: &mut AllowancePart,
        tokens_left: &mut MicroTokens,
        cx: &mut AllowanceCx,
    ) -> (AllowancePart, LeaseReturn) {
        let released = self.part.min(*part_left);
        let returned = self.part.capacity.min(*tokens_left);
        *part_left = part_left.saturating_sub(released);
        *tokens_left -= returned;
        self.part = self.part.saturating_sub(released);
        let hold = LeaseHold {
            lease: self.id,
            part: self.part,
        };
        let sequence = cx.next_sequence();
        let tokens = returned;
        (
            released,
            LeaseReturn {
                hold,
                sequence,
                tokens,
            },
        )
    }

    /// Time to renew a lease that was asked for or renewed at `asked_at`. A multiple of
    /// [`LeaseTerms::RENEWAL_INTERVAL`] lets all workspaces share messages, and it comes early
    /// enough to outlast a lost request.
    pub(crate) fn renewal_time(asked_at: Duration) -> Duration {
        let step = LeaseTerms::RENEWAL_INTERVAL.as_nanos();
        let due = (asked_at + LeaseTerms::RENEWAL_DELAY)
            .as_nanos()
            .div_ceil(step)
            * step;
        Duration::from_nanos(u64::try_from(due).unwrap_or(u64::MAX))
    }
}
