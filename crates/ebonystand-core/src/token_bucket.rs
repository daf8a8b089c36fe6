use super::*;

/// Tokens of one workspace on one VM.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    at: Duration,
    level: MicroTokens,
    /// Tokens that were granted and may still be spent; they keep their place.
    locked: MicroTokens,
    part: AllowancePart,
    slack: SlackHistory,
}

impl TokenBucket {
    /// Bucket that holds nothing.
    pub(crate) fn new(now: Duration, mark: u64) -> Self {
        Self {
            at: now,
            level: 0,
            locked: 0,
            part: AllowancePart::ZERO,
            slack: SlackHistory::new(mark),
        }
    }

    /// Lets tokens come in up to `now`.
    pub(crate) fn advance(&mut self, now: Duration) {
        let gained = self.part.accrual(now.saturating_sub(self.at));
        if gained == 0 {
            return;
        }
        self.at = now;
        self.set_level(self.level.saturating_add(gained));
    }

    /// Takes tokens for a grant that may be spent later.
    pub(crate) fn lock(&mut self, tokens: MicroTokens) {
        self.level = self.level.saturating_sub(tokens);
        self.locked = self.locked.saturating_add(tokens);
    }

    /// Gives up the place of a grant's tokens, which can be spent no more.
    pub(crate) fn unlock(&mut self, now: Duration, mark: u64, tokens: MicroTokens) {
        self.settle_time(now);
        self.locked = self.locked.saturating_sub(tokens);
        self.slack.reserve(mark, self.room());
    }

    /// Takes back tokens of a grant that will not be spent.
    pub(crate) fn take_unspent(&mut self, now: Duration, tokens: MicroTokens) {
        self.advance(now);
        self.locked = self.locked.saturating_sub(tokens);
        self.set_level(self.level.saturating_add(tokens));
    }

    /// Tokens that can come in before it is full.
    pub(crate) fn room(&self) -> MicroTokens {
        self.part
            .capacity
            .saturating_sub(self.locked)
            .saturating_sub(self.level)
    }

    /// Tokens that were granted and may still be spent.
    pub(crate) fn locked(&self) -> MicroTokens {
        self.locked
    }

    /// Tokens held when last advanced.
    pub(crate) fn level(&self) -> MicroTokens {
        self.level
    }

    /// Rate and capacity.
    pub(crate) fn part(&self) -> AllowancePart {
        self.part
    }

    /// Adds a part and its tokens.
    pub(crate) fn put(&mut self, now: Duration, part: AllowancePart, tokens: MicroTokens) {
        self.settle_time(now);
        self.part = self.part.plus(part);
        self.set_level(self.level.saturating_add(tokens));
    }

    /// Gives back what a reservation did not use, as far as the bucket could have held it.
    pub(crate) fn refund(&mut self, now: Duration, mark: u64, unused: MicroTokens) {
        self.advance(now);
        self.level += self.slack.refund(mark, unused);
    }

    /// Takes tokens for a request; false if there are too few.
    pub(crate) fn reserve(&mut self, mark: u64, tokens: MicroTokens) -> bool {
        let Some(rest) = self.level.checked_sub(tokens) else {
            return false;
        };
        self.level = rest;
        self.slack.reserve(mark, self.room());
        true
    }

    /// Takes a part and tokens away; tokens beyond the capacity that is left are lost.
    pub(crate) fn take(&mut self, now: Duration, part: AllowancePart, tokens: MicroTokens) {
        self.settle_time(now);
        self.part = self.part.minus(part);
        self.set_level(self.level.saturating_sub(tokens));
    }

    /// Time until it holds `tokens`; `None` if it never will.
    pub(crate) fn time_until(&self, tokens: MicroTokens) -> Option<Duration> {
        if tokens > self.part.capacity || self.part.rate == 0 {
            return None;
        }
        Some(time_for(tokens.saturating_sub(self.level), self.part.rate))
    }

    fn set_level(&mut self, level: MicroTokens) {
        self.level = level.min(self.part.capacity.saturating_sub(self.locked));
        self.slack.observe(self.room());
    }

    /// Ends the time that counts at the present rate.
    fn settle_time(&mut self, now: Duration) {
        self.advance(now);
        self.at = self.at.max(now);
    }
}

/// Time in which `tokens` come in at `rate` a second, rounded up to a microsecond.
pub(crate) fn time_for(tokens: MicroTokens, rate: MicroTokens) -> Duration {
    let micros = (u128::from(tokens) * 1_000_000).div_ceil(u128::from(rate.max(1)));
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// `whole` × `part` ÷ `of`.
pub(crate) fn scale(whole: MicroTokens, part: MicroTokens, of: MicroTokens) -> MicroTokens {
    let scaled = u128::from(whole) * u128::from(part) / u128::from(of);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
