use super::*;

/// Grants made by a holder: those that may still be spent, and those of which tokens may still be
/// returned.
///
/// A granted token counts against the bucket's capacity until its grant expires. If the bucket
/// filled up meanwhile, a window could see both the granted token and the one that replaced it.
#[derive(Debug, Default)]
pub(crate) struct GrantLedger {
    /// Expired grants, sorted by sequence number.
    expired: VecDeque<ExpiredGrant>,
    /// Grants that may still be spent, sorted by sequence number.
    open: VecDeque<OpenGrant>,
}

/// Grant whose tokens may still be spent.
#[derive(Debug)]
struct OpenGrant {
    expires_at: Duration,
    sequence: u64,
    /// Sequence number of the newest refund.
    last_refund: u64,
    tokens: MicroTokens,
}

/// Grant that has expired and of which tokens may still be refunded.
#[derive(Debug)]
struct ExpiredGrant {
    /// Position in the bucket's slack history at which the grant expired.
    mark: u64,
    sequence: u64,
    /// Sequence number of the newest refund.
    last_refund: u64,
    tokens: MicroTokens,
    /// Time at which the grant is forgotten.
    forget_at: Duration,
}

impl GrantLedger {
    /// Whether no tokens of any grant can be returned any more.
    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty() && self.expired.is_empty()
    }

    /// Takes tokens out of the bucket for a claim; returns the grant's sequence number.
    pub(crate) fn grant(
        &mut self,
        now: Duration,
        tokens: MicroTokens,
        bucket: &mut TokenBucket,
        cx: &mut AllowanceCx,
    ) -> u64 {
        let sequence = cx.next_sequence();
        bucket.lock(tokens);
        self.open.push_back(OpenGrant {
            expires_at: now + LeaseTerms::HOLDER_GRANT_TERM,
            sequence,
            last_refund: 0,
            tokens,
        });
        sequence
    }

    /// Expires grants that can't be spent any more, and forgets those past their refund window.
    pub(crate) fn expire(&mut self, now: Duration, bucket: &mut TokenBucket, cx: &mut AllowanceCx) {
        while let Some(grant) = self.open.pop_front_if(|grant| grant.expires_at <= now) {
            let mark = cx.next_sequence();
            bucket.release_locked(now, mark, grant.tokens);
            self.expired.push_back(ExpiredGrant {
                mark,
                sequence: grant.sequence,
                last_refund: grant.last_refund,
                tokens: grant.tokens,
                forget_at: grant.expires_at + LeaseTerms::REFUND_WINDOW,
            });
        }
        while self
            .expired
            .pop_front_if(|grant| grant.forget_at <= now)
            .is_some()
        {}
    }

    /// Credits unspent tokens, up to what the bucket could have held since the grant.
    pub(crate) fn refund(
        &mut self,
        now: Duration,
        returned: &GrantRefund,
        bucket: &mut TokenBucket,
    ) {
        let sequence = returned.grant.sequence;
        if let Ok(index) = self
            .open
            .binary_search_by_key(&sequence, |grant| grant.sequence)
        {
            let grant = &mut self.open[index];
            if returned.sequence > grant.last_refund {
                grant.last_refund = returned.sequence;
                let tokens = returned.tokens.min(grant.tokens);
                grant.tokens -= tokens;
                bucket.return_locked(now, tokens);
            }
        } else if let Ok(index) = self
            .expired
            .binary_search_by_key(&sequence, |grant| grant.sequence)
        {
            let grant = &mut self.expired[index];
            if returned.sequence > grant.last_refund {
                grant.last_refund = returned.sequence;
                let tokens = returned.tokens.min(grant.tokens);
                grant.tokens -= tokens;
                bucket.refund(now, grant.mark, tokens);
            }
        }
    }

    /// Time at which the next grant expires or, if all have expired, is forgotten.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        let open = self.open.front().map(|grant| grant.expires_at);
        open.or_else(|| self.expired.front().map(|grant| grant.forget_at))
    }
}
