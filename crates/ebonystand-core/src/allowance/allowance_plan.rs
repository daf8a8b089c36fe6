use super::*;

/// Configuration of one workspace as it concerns this VM, and the level of its bucket while the
/// workspace is not in use here.
#[derive(Debug)]
pub(crate) struct AllowancePlan {
    /// Transition to a part that moved; kept after it has ended.
    pub(crate) handover: Option<Box<Handover>>,
    /// Micro-tokens in the bucket of the unused workspace at the time `idle_since`.
    pub(crate) idle_level: MicroTokens,
    /// Time from which tokens accrue in the bucket of the unused workspace, on top of `idle_level`.
    pub(crate) idle_since: Duration,
    /// Part that the configuration assigns to this VM.
    pub(crate) own_part: AllowancePart,
    /// Indices of the residency's regions in [`AllowanceFleet`].
    pub(crate) residency: Box<[u16]>,
    /// Hash of the regions and holders that the total is divided over.
    pub(crate) holders_hash: u64,
    /// Allowance of the workspace over the fleet.
    pub(crate) total: AllowancePart,
}

impl AllowancePlan {
    /// Part that this VM may use at `now`: none before `ready_at`, the smaller one during a
    /// handover.
    pub(crate) fn part_in_force(&self, now: Duration, ready_at: Duration) -> AllowancePart {
        if now < ready_at {
            return AllowancePart::ZERO;
        }
        self.configured_part(now)
    }

    /// Time of the next change of [`Self::part_in_force`] without a new configuration.
    pub(crate) fn next_part_change(&self, now: Duration, ready_at: Duration) -> Option<Duration> {
        let ends_at = self.handover.as_ref().map(|handover| handover.ends_at);
        [Some(ready_at), ends_at]
            .into_iter()
            .flatten()
            .filter(|at| *at > now)
            .min()
    }

    /// Micro-tokens in the bucket of an unused workspace at `now`. During a handover the bucket
    /// fills at the interim part's rate.
    pub(crate) fn level_at(&self, now: Duration, ready_at: Duration) -> MicroTokens {
        let part = self.part_in_force(now, ready_at);
        let since = match &self.handover {
            Some(handover) if now >= handover.ends_at => self.idle_since.max(handover.ends_at),
            _ => self.idle_since,
        };
        let gained = part.accrual(now.saturating_sub(since.max(ready_at)));
        self.idle_level.saturating_add(gained).min(part.capacity)
    }

    /// Replaces the plan by a newer one. A part that moved here grows only after the handover:
    /// until then its former holder may spend it, and both together would exceed the total.
    pub(crate) fn adopt(&mut self, newer: Self, now: Duration, ready_at: Duration) {
        let level = self.level_at(now, ready_at);
        let interim_part = self.configured_part(now).min(newer.own_part);
        if self.holders_hash != newer.holders_hash {
            let ends_at = now + LeaseTerms::HANDOVER_DELAY;
            self.handover = Some(Box::new(Handover {
                interim_part,
                ends_at,
            }));
        } else if let Some(handover) = &mut self.handover {
            handover.interim_part = handover.interim_part.min(newer.own_part);
        }
        self.idle_level = level;
        self.idle_since = now;
        self.own_part = newer.own_part;
        self.residency = newer.residency;
        self.holders_hash = newer.holders_hash;
        self.total = newer.total;
        self.idle_level = self
            .idle_level
            .min(self.part_in_force(now, ready_at).capacity);
    }

    /// Part by the configuration and the handover, without regard to a restart or a freeze.
    fn configured_part(&self, now: Duration) -> AllowancePart {
        match &self.handover {
            Some(handover) if now < handover.ends_at => handover.interim_part,
            _ => self.own_part,
        }
    }
}
