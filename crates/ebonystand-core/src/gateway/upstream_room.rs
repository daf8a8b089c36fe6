//! Room of a region: what it offers to the other regions, and what this VM may send to them.

use super::*;

impl UpstreamBook {
    /// Share of a service's slots, in permille, that a region keeps for its own callers.
    const RESERVE_PERMILLE: u64 = 20;
    /// Most calls that one slot of a plain service is expected to take between two reports.
    const MAX_TURNS: f64 = 16.0;

    /// Returns the room that this region offers to the others for each service that has upstreams here. `is_engine`
    /// tells whether a service takes prompts.
    ///
    /// Requests that wait in this region keep as many slots. A VM that has lost its path to the upstreams of a service
    /// doesn't speak for it.
    #[must_use]
    pub fn offer_room(
        &self,
        now: Duration,
        evacuated: &BTreeSet<ZoneId>,
        is_engine: impl Fn(&str) -> bool,
    ) -> Vec<(ServiceId, OfferedRoom)> {
        let services: BTreeSet<_> = self.upstreams.values().map(|u| &u.listed.service).collect();
        let services = services.into_iter();
        let services = services.filter(|service| !self.paths.is_cut(service));
        let offer = |service: &ServiceId| {
            let (free, slots) = self.free_room(now, evacuated, service, is_engine(service));
            let reserve = u64::from(slots) * Self::RESERVE_PERMILLE / 1_000;
            let reserve = u32::try_from(reserve).unwrap_or(u32::MAX);
            // The requests that other regions sent in the last period leave their slots in the next one.
            let returned = self.arrivals_from_regions(now, service).min(slots);
            let kept = reserve.saturating_add(self.waiting_requests(service));
            let offered = free.slots.saturating_add(returned).saturating_sub(kept);
            let per_slot = free.tokens / u64::from(free.slots.max(1));
            let room = OfferedRoom {
                slots: offered,
                tokens: per_slot.saturating_mul(u64::from(offered)),
            };
            (service.clone(), room)
        };
        services.map(offer).collect()
    }

    /// Records how many requests wait on this VM for room of a service.
    pub fn set_waiting(&mut self, service: &str, requests: u32) {
        match requests {
            0 => {
                self.waiting.remove(service);
            }
            _ => {
                self.waiting.insert(service.into(), requests);
            }
        }
    }

    /// Records that a request with `work` prompt tokens is sent to another region. Returns how many more this VM may
    /// send there before the region's next report; `None` if the region tells no room.
    pub fn record_sent_away(
        &mut self,
        region: &RegionId,
        service: &str,
        work: Tokens,
    ) -> Option<u64> {
        let key = (region.clone(), ServiceId::from(service));
        let budget = self.region_budgets.get_mut(&key)?;
        budget.record_sent(work);
        Some(budget.slots())
    }

    /// Records that a request arrived from another region. Until the next period, this VM sends none of the service
    /// there.
    pub fn record_arrival_from(&mut self, now: Duration, region: &RegionId, service: &str) {
        let meter = self.region_arrivals.entry(service.into()).or_default();
        meter.record(now, region);
    }

    /// Replaces the number of VMs of each region that serve callers.
    pub fn set_region_vms(&mut self, vms: BTreeMap<RegionId, usize>) {
        self.region_vms = vms;
    }

    /// Refills this VM's part of the room that `region` has just offered.
    pub(super) fn refill_region_budget(
        &mut self,
        now: Duration,
        region: &RegionId,
        service: &ServiceId,
        offered: Option<OfferedRoom>,
    ) {
        let key = (region.clone(), service.clone());
        let Some(mut room) = offered else {
            self.region_budgets.remove(&key);
            return;
        };
        if self.lists_other_regions() {
            let of_region = self.upstreams.values().filter(|known| {
                known.listed.service == *service && known.region.as_ref() == Some(region)
            });
            let slots = of_region.fold(0_u32, |sum, known| sum.saturating_add(known.listed.slots));
            room.slots = room.slots.min(slots.saturating_mul(Self::MAX_TURNS as u32));
        }
        let vms = self.region_sharers(now, region, service);
        let random = xxh3_64_with_seed(
            format!("{} {region} {service}", self.vms.own()).as_bytes(),
            now.as_nanos() as u64,
        );
        let budget = self.region_budgets.entry(key).or_default();
        budget.refill(now, room, vms, random);
    }

    /// Empties this VM's part of a region's room until the region reports again.
    pub(super) fn clear_region_budget(&mut self, region: &RegionId, service: &str) {
        let key = (region.clone(), ServiceId::from(service));
        if let Some(budget) = self.region_budgets.get_mut(&key) {
            budget.clear();
        }
    }

    /// Returns whether this VM may send a request with `work` prompt tokens to another region: within its part of the
    /// room that the region offers, or always if the region has told none. A region whose requests have just come
    /// here gets none.
    pub(super) fn may_send_away(
        &self,
        now: Duration,
        region: &RegionId,
        service: &str,
        work: Tokens,
    ) -> bool {
        if !self.is_enabled(Mechanism::OfferedRoom) {
            return true;
        }
        let key = (region.clone(), ServiceId::from(service));
        let is_sender = self
            .region_arrivals
            .get(service)
            .is_some_and(|meter| meter.has_heard_from(now, region));
        let budget = self.region_budgets.get(&key);
        let budget = budget.filter(|budget| budget.is_fresh(now, Self::REGION_LATENCY_LIFETIME));
        budget.is_none_or(|budget| !is_sender && budget.has_room_for(work))
    }

    /// Returns the requests under way at the upstreams that wait for room of a service on all VMs of the region.
    fn waiting_requests(&self, service: &str) -> u32 {
        let own = self.waiting.get(service).copied().unwrap_or_default();
        own.saturating_add(self.exchange.load_at(queue_key(service)).requests)
    }

    /// Returns the requests of the last period that came from other regions to all VMs of this region.
    fn arrivals_from_regions(&self, now: Duration, service: &str) -> u32 {
        let own = self.region_arrivals.get(service);
        let own = own.map_or(0, |meter| meter.count(now));
        own.saturating_add(self.exchange.load_at(arrivals_key(service)).requests)
    }

    /// Returns the requests that wait on this VM and that have come from other regions to it, for the load messages.
    pub(super) fn service_loads(&self, now: Duration) -> Vec<(UpstreamKey, UnderWay)> {
        let load = |requests| UnderWay {
            requests,
            unread: 0,
        };
        let waiting = self.waiting.iter();
        let waiting = waiting.map(|(service, requests)| (queue_key(service), load(*requests)));
        let arrived = self.region_arrivals.iter();
        let arrived =
            arrived.map(|(service, meter)| (arrivals_key(service), load(meter.count(now))));
        let all = waiting.chain(arrived);
        all.filter(|(_, load)| !load.is_idle()).collect()
    }

    /// Returns the free room of a service in this region, and the number of its slots.
    fn free_room(
        &self,
        now: Duration,
        evacuated: &BTreeSet<ZoneId>,
        service: &str,
        is_engine: bool,
    ) -> (OfferedRoom, u32) {
        let lost_zones = self.zone_health.lost_zones(now);
        let mut free = OfferedRoom::default();
        let mut slots = 0_u32;
        for known in self.upstreams.values() {
            let is_open = *known.listed.service == *service
                && self.is_local(known)
                && !known.is_leaving()
                && !known.is_address_reused
                && now >= known.backoff_until
                && now >= known.cold_until
                && !evacuated.contains(&known.listed.zone)
                && !lost_zones.contains(&&known.listed.zone);
            if !is_open {
                continue;
            }
            let others = self.peer_load(known);
            let pending = known.pending_requests(now, others);
            slots = slots.saturating_add(known.listed.slots);
            if !self.can_accept(now, known, is_engine, 1) {
                continue;
            }
            let open = known.listed.slots.saturating_sub(pending);
            let turns = match is_engine {
                true => 1.0,
                false => Self::turns(known.call_duration),
            };
            let calls = (f64::from(open) * turns) as u32;
            free.slots = free.slots.saturating_add(calls);
            if is_engine && open > 0 {
                let tokens = Self::readable(known, others);
                free.tokens = free.tokens.saturating_add(tokens);
            }
        }
        (free, slots)
    }

    /// Returns the prompt tokens that an engine can take from other regions until the next report: what is free of its
    /// work window, and of what it reads meanwhile the part that its own callers leave.
    fn readable(known: &KnownUpstream, others: UnderWay) -> Tokens {
        let free = known.work_window.free(others.unread);
        let period = RegionBudget::PERIOD.as_secs_f64();
        let tokens_per_s = 1.0 / known.usual_reading_time(1).as_secs_f64();
        let share = free as f64 / known.work_window.limit().max(1.0);
        free.saturating_add((tokens_per_s * period * share) as Tokens)
    }

    /// Returns how many calls of this duration follow one another in a slot between two reports.
    fn turns(call_duration: Duration) -> f64 {
        let turns = RegionBudget::PERIOD.as_secs_f64() / call_duration.as_secs_f64().max(0.001);
        turns.clamp(1.0, Self::MAX_TURNS)
    }

    /// Returns the number of VMs that may use the room of `region`: those of this region, and those of other regions
    /// that have no room themselves or have told nothing lately.
    fn region_sharers(&self, now: Duration, region: &RegionId, service: &ServiceId) -> usize {
        let has_room = |other: &RegionId| {
            let reported = self.region_latencies.get(&(other.clone(), service.clone()));
            reported.is_some_and(|(at, latency)| {
                now.saturating_sub(*at) < Self::REGION_LATENCY_LIFETIME
                    && latency.offered.is_some_and(|room| room.slots > 0)
            })
        };
        let regions = self.region_vms.iter();
        let sharing = regions.filter(|(other, _)| {
            **other != *region && (**other == self.own_region || !has_room(other))
        });
        sharing.map(|(_, vms)| vms).sum()
    }
}

/// Returns the key under which the load messages tell how many requests for a service have come from other regions: a
/// name that no upstream has.
fn arrivals_key(service: &str) -> UpstreamKey {
    UpstreamKey::from(&*format!("sent here for {service}"))
}

/// Returns the key under which the load messages tell how many requests wait for a service: a name that no upstream
/// has.
fn queue_key(service: &str) -> UpstreamKey {
    UpstreamKey::from(&*format!("waiting for {service}"))
}
