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
        let is_warm = now >= known.cold_until || query.cold.per_s <= 0.0;
        let is_open = is_warm || self.cold_opens_at(known).is_some_and(|at| now >= at);
        self.is_local(known)
            && query.is_region_allowed(&self.own_region)
            && self.is_usable(query, known)
            && is_open
            && known.limit_opens_at().is_some()
            && !query.excluded.contains(&known.listed.instance)
    }

    /// Returns whether an upstream serves the request's service and is neither gone, leaving nor
    /// evacuated; its region, backoff and load are ignored.
    pub(super) fn is_usable(&self, query: &ChoiceQuery, known: &KnownUpstream) -> bool {
        *known.listed.service == *query.service
            && !known.is_address_reused
            && !known.listed.leaving
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
            gate.max(limited)
                .max(known.backoff_until)
                .saturating_sub(now)
        });
        let opens = opens.min().unwrap_or(Self::MAX_RETRY_AFTER);
        opens.clamp(Self::MIN_RETRY_AFTER, Self::MAX_RETRY_AFTER)
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
        if known.limit_opens_at().is_none_or(|at| now < at) {
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
            let is_closed = self.cold_opens_at(known).is_none_or(|at| now < at);
            let is_cold = now < known.cold_until && is_closed;
            let count = match () {
                () if !self.is_local(known) => &mut counts.elsewhere,
                () if known.listed.leaving => &mut counts.leaving,
                () if query.evacuated.contains(&known.listed.zone) => &mut counts.evacuated,
                () if query.excluded.contains(&known.listed.instance) => &mut counts.excluded,
                () if is_cold => &mut counts.cold,
                () if known.limit_opens_at().is_none() => &mut counts.limited,
                () => continue,
            };
            *count += 1;
        }
        counts
    }
}
