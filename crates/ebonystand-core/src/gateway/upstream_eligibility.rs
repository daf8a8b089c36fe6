//! Upstreams that may get a request, and when a refused caller should retry.

use super::*;

impl UpstreamBook {
    /// Time after the list first showed that an upstream leaves for which streams of its software version may be
    /// taken up there; upstreams that leave serve for seconds.
    const LEAVING_RESUMPTION_TIME: Duration = Duration::from_secs(1);
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
            () if !self.is_software_allowed(now, query, known) => {
                Some(Ineligibility::OtherSoftware)
            }
            () if known.is_leaving() && !self.may_still_resume_at(now, query, known) => {
                Some(Ineligibility::Leaving)
            }
            () if query.evacuated.contains(&known.listed.zone) => Some(Ineligibility::Evacuated),
            () if known.is_address_reused => Some(Ineligibility::AddressReused),
            () if query.excluded.contains(&known.listed.instance) => Some(Ineligibility::Excluded),
            () if is_cold() => Some(Ineligibility::Cold),
            () if known.limit_opens_at().is_none() => Some(Ineligibility::Limited),
            () if known.is_paused(now) => Some(Ineligibility::Paused),
            () => None,
        }
    }

    /// Returns the only software version of a service at which a stream that is at most `max_age` old can have
    /// begun. A list of the own region alone tells nothing of streams that began in another one.
    #[must_use]
    pub fn only_software(
        &self,
        now: Duration,
        service: &str,
        max_age: Duration,
    ) -> Option<&SoftwareVersion> {
        match self.lists_other_regions() {
            true => self.software.only_version(now, service, max_age),
            false => None,
        }
    }

    /// Returns whether the software version of an upstream may get the request.
    fn is_software_allowed(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        known: &KnownUpstream,
    ) -> bool {
        let ListedUpstream {
            service, software, ..
        } = &known.listed;
        match query.software {
            SoftwareRule::Known => self.software.may_begin(now, service, software),
            SoftwareRule::Any | SoftwareRule::Only(_) => is_bound_version(query, known),
        }
    }

    /// Returns whether a stream may be taken up at an upstream that has begun to leave, because all others of
    /// its software version are leaving too.
    fn may_still_resume_at(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        known: &KnownUpstream,
    ) -> bool {
        let is_early = known
            .leaving_since
            .is_some_and(|since| now < since + Self::LEAVING_RESUMPTION_TIME);
        matches!(query.software, SoftwareRule::Only(_))
            && is_early
            && !known.has_announced_leaving
            && !self
                .upstreams
                .values()
                .any(|other| self.is_usable(query, other))
    }

    /// Returns whether an upstream serves the request's service and is neither gone, leaving nor
    /// evacuated; its region, backoff and load are ignored.
    pub(super) fn is_usable(&self, query: &ChoiceQuery, known: &KnownUpstream) -> bool {
        *known.listed.service == *query.service
            && is_bound_version(query, known)
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
                Some(Ineligibility::OtherSoftware) => &mut counts.other_software,
                Some(Ineligibility::Paused) => &mut counts.paused,
                Some(Ineligibility::AddressReused) | None => continue,
            };
            *count += 1;
        }
        counts
    }
}

/// Returns whether an upstream runs the version that a stream was begun at, if the request takes one up.
fn is_bound_version(query: &ChoiceQuery, known: &KnownUpstream) -> bool {
    match query.software {
        SoftwareRule::Any | SoftwareRule::Known => true,
        SoftwareRule::Only(software) => *known.listed.software == *software,
    }
}
