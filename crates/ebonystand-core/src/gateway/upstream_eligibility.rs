//! Upstreams that may get a request, and when a refused caller should retry.

use super::*;

impl UpstreamBook {
    /// Shortest time after which a refused caller is told to retry.
    const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
    /// Longest time after which a refused caller is told to retry.
    const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

    /// Returns whether an upstream may get the request and is not backed off.
    pub(super) fn is_candidate(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        known: &KnownUpstream,
    ) -> bool {
        now >= known.backoff_until && self.is_open(now, query, known)
    }

    /// Returns whether an upstream may get the request, regardless of its backoff.
    pub(super) fn is_open(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        known: &KnownUpstream,
    ) -> bool {
        *known.listed.service == *query.service
            && query.is_region_allowed(&self.own_region)
            && self.ineligibility(now, query, known).is_none()
    }

    /// Returns why an upstream of the request's service gets no request now, regardless of its
    /// backoff and load; `None` if it may get one.
    fn ineligibility(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        known: &KnownUpstream,
    ) -> Option<Ineligibility> {
        let is_cold = || {
            now < known.cold_until
                && query.cold.per_s > 0.0
                && self.cold_opens_at(known).is_none_or(|at| now < at)
        };
        match () {
            () if !self.is_local(known) => Some(Ineligibility::OtherRegion),
            () if known.is_leaving() => Some(Ineligibility::Leaving),
            () if query.evacuated.contains(&known.listed.zone) => Some(Ineligibility::Evacuated),
            () if known.is_address_reused => Some(Ineligibility::AddressReused),
            () if query.excluded.contains(&known.listed.instance) => Some(Ineligibility::Excluded),
            () if is_cold() => Some(Ineligibility::Cold),
            () if known.limit_opens_at().is_none() => Some(Ineligibility::Limited),
            () if known.is_paused(now) => Some(Ineligibility::Paused),
            () => None,
        }
    }

    /// Returns whether an upstream serves the request's service and is neither gone, leaving nor
    /// evacuated; its region, backoff and load are ignored.
    pub(super) fn is_usable(&self, query: &ChoiceQuery, known: &KnownUpstream) -> bool {
        *known.listed.service == *query.service
            && !known.is_address_reused
            && !known.is_leaving()
            && !query.evacuated.contains(&known.listed.zone)
    }

    /// Returns the time after which a refused caller should retry: when the first upstream may
    /// accept its request.
    ///
    /// If this region may not serve the request, the regions that may are unreachable. They remain
    /// so until the network partition ends, whether or not a local upstream is ready before:
    /// callers told to retry after 250 ms would be refused a second time.
    pub(super) fn retry_after(&self, now: Duration, query: &ChoiceQuery) -> Duration {
        if !query.is_region_allowed(&self.own_region) {
            return Self::MAX_RETRY_AFTER;
        }
        let opens = self
            .upstreams
            .values()
            .filter(|known| self.is_local(known) && self.is_usable(query, known));
        let opens = opens.map(|known| {
            let gate = if now < known.cold_until {
                let opens = self.cold_opens_at(known).unwrap_or(known.cold_until);
                opens.min(known.cold_until)
            } else {
                Duration::ZERO
            };
            let limited = known
                .limit_opens_at()
                .unwrap_or(now + Self::MAX_RETRY_AFTER);
            let opens = gate.max(limited).max(known.backoff_until);
            opens
                .saturating_sub(now)
                .clamp(Self::MIN_RETRY_AFTER, Self::MAX_RETRY_AFTER)
                .max(known.pause_remaining(now))
        });
        opens.min().unwrap_or(Self::MAX_RETRY_AFTER)
    }

    /// Returns the earliest time at which this VM may send to a cold upstream; `None` if it may not
    /// while the upstream is cold.
    fn cold_opens_at(&self, known: &KnownUpstream) -> Option<Duration> {
        let senders = self.vms.cold_sender_count(&known.listed.instance);
        senders.map(|_| known.cold_limiter.next_send_at())
    }

    /// Returns whether an upstream has room for a request with `work` prompt tokens.
    pub(super) fn can_accept(
        &self,
        now: Duration,
        known: &KnownUpstream,
        is_engine: bool,
        work: u64,
    ) -> bool {
        if known.is_paused(now) || known.limit_opens_at().is_none_or(|at| now < at) {
            return false;
        }
        let others = self.peer_load(known);
        match self.is_enabled(Mechanism::Windows) {
            true => known.can_accept(now, is_engine, work, others),
            false => known.has_free_slot(now, is_engine, others),
        }
    }

    /// Counts the service's upstreams by the reason why they cannot get the request.
    pub(super) fn count_ineligible(
        &self,
        now: Duration,
        query: &ChoiceQuery,
    ) -> IneligibleUpstreams {
        let mut counts = IneligibleUpstreams {
            is_home: query.is_region_allowed(&self.own_region),
            ..IneligibleUpstreams::default()
        };
        let of_service = self.upstreams.values();
        let of_service = of_service.filter(|known| *known.listed.service == *query.service);
        for known in of_service {
            counts.listed += 1;
            let count = match self.ineligibility(now, query, known) {
                Some(Ineligibility::OtherRegion) => &mut counts.elsewhere,
                Some(Ineligibility::Leaving) => &mut counts.leaving,
                Some(Ineligibility::Evacuated) => &mut counts.evacuated,
                Some(Ineligibility::Excluded) => &mut counts.excluded,
                Some(Ineligibility::Cold) => &mut counts.cold,
                Some(Ineligibility::Limited) => &mut counts.limited,
                Some(Ineligibility::Paused) => &mut counts.paused,
                Some(Ineligibility::AddressReused) | None => continue,
            };
            *count += 1;
        }
        counts
    }
}
