//! Predicted latency of each service, in this region and as reported by other regions.

use super::*;

impl UpstreamBook {
    /// Records the time between two events of a stream from an upstream of this region.
    pub fn record_stream_event(&mut self, now: Duration, instance: &str, gap: Duration) {
        if let Some(known) = self.upstreams.get(instance) {
            let service = known.listed.service.clone();
            self.event_gaps
                .entry(service)
                .or_default()
                .record_gap(now, gap);
        }
    }

    /// Returns the recent average time between two stream events of a service in this region; zero
    /// if no stream was seen recently.
    pub(super) fn event_gap(&self, now: Duration, service: &str) -> Duration {
        self.event_gaps
            .get(service)
            .map_or(Duration::ZERO, |meter| meter.average(now))
    }

    /// Predicts the latency of each service that has upstreams in this region, to be sent to other
    /// regions. `is_engine` tells whether a service takes prompts; a predicted time to the first
    /// byte leaves out the reading of the prompt itself.
    #[must_use]
    pub fn predict_latencies(
        &self,
        now: Duration,
        evacuated: &BTreeSet<ZoneId>,
        is_engine: impl Fn(&str) -> bool,
    ) -> Vec<(ServiceId, ServiceLatency)> {
        let services: BTreeSet<_> = self.upstreams.values().map(|u| &u.listed.service).collect();
        let reachable = BTreeSet::new();
        let empty = Prompt::default();
        // A VM without a path to the upstreams doesn't speak for its region.
        let services = services.into_iter();
        let services = services.filter(|service| !self.paths.is_cut(service));
        let predicted = |service: &ServiceId| {
            let query = ChoiceQuery {
                software: SoftwareRule::Any,
                first_byte_target: Duration::MAX,
                cold: ColdTerms::default(),
                engine: None,
                evacuated,
                excluded: &[],
                homes: None,
                remaining_time: Duration::MAX,
                prompt: is_engine(service).then_some(&empty),
                reachable: &reachable,
                service,
            };
            let first_byte = match self.choose_local(now, &query) {
                TargetChoice::Upstream { predicted, .. } => predicted,
                // Another region that sends requests here must expect the same penalty as a local
                // request.
                TargetChoice::NoRoom { predicted } => predicted + Self::NO_ROOM_DELAY,
                TargetChoice::Forward { .. } | TargetChoice::Unavailable { .. } => return None,
            };
            let event_gap = self.event_gap(now, service);
            let latency = ServiceLatency {
                event_gap,
                first_byte,
                offered: None,
            };
            Some((service.clone(), latency))
        };
        services.filter_map(predicted).collect()
    }

    /// Records that another region refused a request for lack of room. No request is sent there
    /// until it reports room or this entry expires: each would cost a round trip, its bytes on a
    /// link between regions and part of its caller's time.
    pub fn record_region_refusal(&mut self, now: Duration, region: &RegionId, service: &str) {
        let key = (region.clone(), ServiceId::from(service));
        let known = self.region_latencies.get(&key).map(|(_, latency)| *latency);
        let no_room = ServiceLatency {
            first_byte: Self::NO_ROOM_DELAY,
            ..known.unwrap_or_default()
        };
        self.clear_region_budget(region, service);
        self.region_latencies.insert(key, (now, no_room));
    }

    /// Records the latencies that a VM of another region has just predicted for its own region.
    pub fn receive_region_latencies(
        &mut self,
        now: Duration,
        region: &RegionId,
        latencies: Vec<(ServiceId, ServiceLatency)>,
    ) {
        for (service, latency) in latencies {
            self.record_region_latency(now, region, service, latency);
        }
    }

    pub(super) fn record_region_latency(
        &mut self,
        at: Duration,
        region: &RegionId,
        service: ServiceId,
        latency: ServiceLatency,
    ) {
        let key = (region.clone(), service);
        if self
            .region_latencies
            .get(&key)
            .is_none_or(|(known, _)| *known <= at)
        {
            self.refill_region_budget(at, region, &key.1, latency.offered);
            self.region_latencies.insert(key, (at, latency));
        }
    }

    /// Returns the unexpired latencies reported by other regions, for the relays' messages.
    pub(super) fn recent_region_latencies(&self, now: Duration) -> Vec<RelayedLatency> {
        let reported = self.region_latencies.iter();
        let reported = reported.map(|((region, service), (at, latency))| {
            let age = now.saturating_sub(*at);
            (age < Self::REGION_LATENCY_LIFETIME).then(|| RelayedLatency {
                age_ms: age.as_millis() as u64,
                event_gap_ms: latency.event_gap.as_millis() as u64,
                first_byte_ms: latency.first_byte.as_millis() as u64,
                offered: latency.offered,
                region: region.clone(),
                service: service.clone(),
            })
        });
        reported.flatten().collect()
    }
}
