use super::*;

/// What the configuration says of one workspace, and what this VM's part of it held when the
/// workspace was last in use here.
#[derive(Debug)]
pub(crate) struct AllowancePlan {
    pub(crate) handover: Option<Box<Handover>>,
    pub(crate) idle_level: MicroTokens,
    pub(crate) idle_since: Duration,
    /// Part of this VM.
    pub(crate) own: AllowancePart,
    /// Regions of the residency, as places in [`AllowanceFleet`].
    pub(crate) residency: Box<[u16]>,
    /// Hash of the regions and holders that the whole is divided over.
    pub(crate) structure: u64,
    pub(crate) whole: AllowancePart,
}

impl AllowancePlan {
    /// Part in force.
    pub(crate) fn part(&self, now: Duration, ready: Duration) -> AllowancePart {
        if now < ready {
            return AllowancePart::ZERO;
        }
        self.settled_part(now)
    }

    /// When the part in force next changes by itself.
    pub(crate) fn part_changes(&self, now: Duration, ready: Duration) -> Option<Duration> {
        let until = self.handover.as_ref().map(|handover| handover.until);
        [Some(ready), until]
            .into_iter()
            .flatten()
            .filter(|at| *at > now)
            .min()
    }

    /// Tokens that an unused part holds. A part under handover fills at its smaller rate.
    pub(crate) fn level(&self, now: Duration, ready: Duration) -> MicroTokens {
        let part = self.part(now, ready);
        let since = match &self.handover {
            Some(handover) if now >= handover.until => self.idle_since.max(handover.until),
            _ => self.idle_since,
        };
        let gained = part.accrual(now.saturating_sub(since.max(ready)));
        self.idle_level.saturating_add(gained).min(part.capacity)
    }

    /// Takes over a newer plan. A part that moved grows only after the handover: its former holder
    /// may spend it until then, and both together would exceed the whole.
    pub(crate) fn adopt(&mut self, newer: Self, now: Duration, ready: Duration) {
        let level = self.level(now, ready);
        let interim = self.settled_part(now).min(newer.own);
        if self.structure != newer.structure {
            let until = now + LeaseTerms::HANDOVER_DELAY;
            self.handover = Some(Box::new(Handover { interim, until }));
        } else if let Some(handover) = &mut self.handover {
            handover.interim = handover.interim.min(newer.own);
        }
        self.idle_level = level;
        self.idle_since = now;
        self.own = newer.own;
        self.residency = newer.residency;
        self.structure = newer.structure;
        self.whole = newer.whole;
        self.idle_level = self.idle_level.min(self.part(now, ready).capacity);
    }

    fn settled_part(&self, now: Duration) -> AllowancePart {
        match &self.handover {
            Some(handover) if now < handover.until => handover.interim,
            _ => self.own,
        }
    }
}
