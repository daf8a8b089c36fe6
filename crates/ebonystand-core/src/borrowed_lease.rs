use super::*;

/// Lease on the borrower's side.
#[derive(Debug)]
pub(crate) struct BorrowedLease {
    /// End on the own clock.
    pub(crate) expires: Duration,
    pub(crate) id: LeaseId,
    pub(crate) lender: VmId,
    pub(crate) part: AllowancePart,
    /// When to ask for more time.
    pub(crate) renew_at: Duration,
}

impl BorrowedLease {
    /// Gives back what it has of the part and the tokens that the caller still has to give.
    pub(crate) fn give(
        &mut self,
        left: &mut AllowancePart,
        tokens: &mut MicroTokens,
        cx: &mut AllowanceCx,
    ) -> (AllowancePart, LeaseReturn) {
        let given = self.part.min(*left);
        let back = self.part.capacity.min(*tokens);
        *left = left.minus(given);
        *tokens -= back;
        self.part = self.part.minus(given);
        let hold = LeaseHold {
            lease: self.id,
            part: self.part,
        };
        let sequence = cx.next();
        let tokens = back;
        (
            given,
            LeaseReturn {
                hold,
                sequence,
                tokens,
            },
        )
    }

    /// When to renew a lease that was asked for at `asked_at`: early enough
    /// that an ask may be lost, at a moment that all workspaces share.
    pub(crate) fn renewal(asked_at: Duration) -> Duration {
        let step = LeaseTerms::RENEWAL_INTERVAL.as_nanos();
        let due = (asked_at + LeaseTerms::RENEWED).as_nanos().div_ceil(step) * step;
        Duration::from_nanos(u64::try_from(due).unwrap_or(u64::MAX))
    }
}
