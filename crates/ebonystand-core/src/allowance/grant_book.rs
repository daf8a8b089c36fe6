use super::*;

/// Grants of a holder that may still be spent, and those of which tokens may still come back.
///
/// A granted token may be spent until its grant ends. Until then it keeps its place in the bucket: were
/// that filled meanwhile, a window would see the granted token and the new one.
#[derive(Debug, Default)]
pub(crate) struct GrantBook {
    /// Grants that have ended, in order of names.
    ended: VecDeque<EndedGrant>,
    /// Grants that may be spent, in order of names.
    open: VecDeque<OpenGrant>,
}

#[derive(Debug)]
struct OpenGrant {
    ends: Duration,
    name: u64,
    returned: u64,
    tokens: MicroTokens,
}

#[derive(Debug)]
struct EndedGrant {
    /// Place in the bucket's history at which the grant ended.
    mark: u64,
    name: u64,
    returned: u64,
    tokens: MicroTokens,
    /// When it is forgotten.
    until: Duration,
}

impl GrantBook {
    /// Whether nothing of any grant can come back.
    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty() && self.ended.is_empty()
    }

    /// Takes tokens out of the bucket for a claim; the grant's name.
    pub(crate) fn grant(
        &mut self,
        now: Duration,
        tokens: MicroTokens,
        bucket: &mut TokenBucket,
        cx: &mut AllowanceCx,
    ) -> u64 {
        let name = cx.next();
        bucket.lock(tokens);
        self.open.push_back(OpenGrant {
            ends: now + LeaseTerms::GRANT_HOLD,
            name,
            returned: 0,
            tokens,
        });
        name
    }

    /// Ends what can be spent no more.
    pub(crate) fn expire(&mut self, now: Duration, bucket: &mut TokenBucket, cx: &mut AllowanceCx) {
        while let Some(grant) = self.open.pop_front_if(|grant| grant.ends <= now) {
            let mark = cx.next();
            bucket.unlock(now, mark, grant.tokens);
            self.ended.push_back(EndedGrant {
                mark,
                name: grant.name,
                returned: grant.returned,
                tokens: grant.tokens,
                until: grant.ends + LeaseTerms::REFUND,
            });
        }
        while self
            .ended
            .pop_front_if(|grant| grant.until <= now)
            .is_some()
        {}
    }

    /// Takes back what was not spent, as far as the bucket could have held it all along.
    pub(crate) fn refund(&mut self, now: Duration, back: &GrantRefund, bucket: &mut TokenBucket) {
        let name = back.grant.sequence;
        if let Ok(place) = self.open.binary_search_by_key(&name, |grant| grant.name) {
            let grant = &mut self.open[place];
            if back.sequence > grant.returned {
                grant.returned = back.sequence;
                let tokens = back.tokens.min(grant.tokens);
                grant.tokens -= tokens;
                bucket.take_unspent(now, tokens);
            }
        } else if let Ok(place) = self.ended.binary_search_by_key(&name, |grant| grant.name) {
            let grant = &mut self.ended[place];
            if back.sequence > grant.returned {
                grant.returned = back.sequence;
                let tokens = back.tokens.min(grant.tokens);
                grant.tokens -= tokens;
                bucket.refund(now, grant.mark, tokens);
            }
        }
    }

    /// When something ends next.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        let open = self.open.front().map(|grant| grant.ends);
        open.or_else(|| self.ended.front().map(|grant| grant.until))
    }
}
