use super::*;

/// Token bucket of one workspace on one VM, whose rate and capacity change as parts move.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    /// Time up to which tokens have accrued.
    updated_at: Duration,
    /// Content of the bucket in micro-tokens at the time `updated_at`.
    level: MicroTokens,
    /// Granted tokens that may still be spent; they count against the capacity.
    locked: MicroTokens,
    /// Rate and capacity of the bucket.
    part: AllowancePart,
    slack: SlackHistory,
}

impl TokenBucket {
    /// Creates a bucket without rate, capacity and tokens.
    pub(crate) fn new(now: Duration, mark: u64) -> Self {
        Self {
            updated_at: now,
            level: 0,
            locked: 0,
            part: AllowancePart::ZERO,
            slack: SlackHistory::new(mark),
        }
    }

    /// Accrues tokens up to `now`.
    pub(crate) fn advance(&mut self, now: Duration) {
        let gained = self.part.accrual(now.saturating_sub(self.updated_at));
        if gained == 0 {
            return;
        }
        self.updated_at = now;
        self.set_level(self.level.saturating_add(gained));
    }

    /// Moves tokens from the level to a grant that may be spent later.
    pub(crate) fn lock(&mut self, tokens: MicroTokens) {
        self.level = self.level.saturating_sub(tokens);
        self.locked = self.locked.saturating_add(tokens);
    }

    /// Frees the capacity of an expired grant. Its tokens can be refunded from now on, as a
    /// reservation at `mark`.
    pub(crate) fn release_locked(&mut self, now: Duration, mark: u64, tokens: MicroTokens) {
        self.advance_clock(now);
        self.locked = self.locked.saturating_sub(tokens);
        self.slack.record_reservation(mark, self.room());
    }

    /// Moves tokens of a grant that won't be spent back to the level.
    pub(crate) fn return_locked(&mut self, now: Duration, tokens: MicroTokens) {
        self.advance(now);
        self.locked = self.locked.saturating_sub(tokens);
        self.set_level(self.level.saturating_add(tokens));
    }

    /// Micro-tokens that fit in before the bucket is full.
    pub(crate) fn room(&self) -> MicroTokens {
        self.part
            .capacity
            .saturating_sub(self.locked)
            .saturating_sub(self.level)
    }

    /// Micro-tokens of grants that may still be spent.
    pub(crate) fn locked(&self) -> MicroTokens {
        self.locked
    }

    /// Micro-tokens that the bucket held when it last advanced.
    pub(crate) fn level(&self) -> MicroTokens {
        self.level
    }

    /// Rate and capacity of the bucket.
    pub(crate) fn part(&self) -> AllowancePart {
        self.part
    }

    /// Adds to rate, capacity and tokens.
    pub(crate) fn add(&mut self, now: Duration, part: AllowancePart, tokens: MicroTokens) {
        self.advance_clock(now);
        self.part = self.part.saturating_add(part);
        self.set_level(self.level.saturating_add(tokens));
    }

    /// Credits the unused tokens of a reservation, up to what the bucket could have held since it
    /// was made.
    pub(crate) fn refund(&mut self, now: Duration, mark: u64, unused: MicroTokens) {
        self.advance(now);
        self.level += self.slack.take_refund(mark, unused);
    }

    /// Takes tokens for a request; returns false and takes none if there are too few.
    pub(crate) fn reserve(&mut self, mark: u64, tokens: MicroTokens) -> bool {
        let Some(rest) = self.level.checked_sub(tokens) else {
            return false;
        };
        self.level = rest;
        self.slack.record_reservation(mark, self.room());
        true
    }

    /// Removes rate, capacity and tokens; tokens beyond the remaining capacity are lost.
    pub(crate) fn remove(&mut self, now: Duration, part: AllowancePart, tokens: MicroTokens) {
        self.advance_clock(now);
        self.part = self.part.saturating_sub(part);
        self.set_level(self.level.saturating_sub(tokens));
    }

    /// Time until the bucket holds `tokens`; `None` if it never will.
    pub(crate) fn time_until_level(&self, tokens: MicroTokens) -> Option<Duration> {
        if tokens > self.part.capacity || self.part.rate == 0 {
            return None;
        }
        Some(accrual_time(
            tokens.saturating_sub(self.level),
            self.part.rate,
        ))
    }

    /// Sets the level, limited by the capacity, and records the slack.
    fn set_level(&mut self, level: MicroTokens) {
        self.level = level.min(self.part.capacity.saturating_sub(self.locked));
        self.slack.record_slack(self.room());
    }

    /// Accrues tokens up to `now`, so that a change of the rate applies only from then on.
    fn advance_clock(&mut self, now: Duration) {
        self.advance(now);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Time in which `tokens` accrue at `rate` per second, rounded up to a microsecond.
pub(crate) fn accrual_time(tokens: MicroTokens, rate: MicroTokens) -> Duration {
    let micros = (u128::from(tokens) * 1_000_000).div_ceil(u128::from(rate.max(1)));
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Computes `value` × `numerator` ÷ `denominator` without overflow, saturating at the largest
/// value.
pub(crate) fn mul_div(
    value: MicroTokens,
    numerator: MicroTokens,
    denominator: MicroTokens,
) -> MicroTokens {
    let scaled = u128::from(value) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
