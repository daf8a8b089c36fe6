//! What requests have to expect of a service, here and in other regions.

use super::*;

impl UpstreamBook {
    /// Notes the time between two events of a stream from an upstream of this region.
    pub fn stream_event(&mut self, now: Duration, instance: &str, gap: Duration) {
        if let Some(known) = self.upstreams.get(instance) {
            let service = known.listed.service.clone();
            self.paces.entry(service).or_default().note(now, gap);
        }
    }

    /// Time between two events of a stream in this region.
    pub(super) fn event_gap(&self, now: Duration, service: &str) -> Duration {
        self.paces
            .get(service)
            .map_or(Duration::ZERO, |pace| pace.gap(now))
    }

    /// What requests have to expect of each service served in this region, for VMs of other regions.
    /// `is_engine` tells which services read prompts.
    #[must_use]
    pub fn pressures(
        &self,
        now: Duration,
        evacuated: &BTreeSet<ZoneId>,
        is_engine: impl Fn(&str) -> bool,
    ) -> Vec<(ServiceId, Pressure)> {
        let services: BTreeSet<_> = self.upstreams.values().map(|u| &u.listed.service).collect();
        let reachable = BTreeSet::new();
        let empty = Prompt::default();
        let predicted = |service: &ServiceId| {
            let query = ChoiceQuery {
                aim: Duration::MAX,
                cold: ColdTerms::default(),
                engine: None,
                evacuated,
                excluded: &[],
                homes: None,
                left: Duration::MAX,
                prompt: is_engine(service).then_some(&empty),
                reachable: &reachable,
                service,
            };
            let first_byte = match self.choose_here(now, &query) {
                Choice::Here { predicted, .. } => predicted,
                // Whoever would send more here is told to wait as long as a request here does.
                Choice::Full { predicted } => predicted + Self::FULL,
                Choice::Away { .. } | Choice::Nowhere { .. } => return None,
            };
            let event_gap = self.event_gap(now, service);
            let pressure = Pressure {
                event_gap,
                first_byte,
            };
            Some((service.clone(), pressure))
        };
        services.into_iter().filter_map(predicted).collect()
    }

    /// Notes that another region had no room for a request. None is sent there until it tells of
    /// room: each would cost a round trip and its bytes, and a part of its caller's time.
    pub fn refused_away(&mut self, now: Duration, region: &RegionId, service: &str) {
        let key = (region.clone(), ServiceId::from(service));
        let told = self.away.get(&key).map(|(_, pressure)| *pressure);
        let full = Pressure {
            first_byte: Self::FULL,
            ..told.unwrap_or_default()
        };
        self.away.insert(key, (now, full));
    }

    /// Takes what a VM of another region predicts there.
    pub fn told(
        &mut self,
        now: Duration,
        region: &RegionId,
        pressures: Vec<(ServiceId, Pressure)>,
    ) {
        for (service, pressure) in pressures {
            self.told_at(now, region, service, pressure);
        }
    }

    pub(super) fn told_at(
        &mut self,
        at: Duration,
        region: &RegionId,
        service: ServiceId,
        pressure: Pressure,
    ) {
        let key = (region.clone(), service);
        if self.away.get(&key).is_none_or(|(known, _)| *known <= at) {
            self.away.insert(key, (at, pressure));
        }
    }

    /// What other regions have told lately.
    pub(super) fn told_pressures(&self, now: Duration) -> Vec<ToldPressure> {
        let told = self.away.iter();
        let told = told.map(|((region, service), (at, pressure))| {
            let age = now.saturating_sub(*at);
            (age < Self::AWAY_LIFE).then(|| ToldPressure {
                age_ms: age.as_millis() as u64,
                event_gap_ms: pressure.event_gap.as_millis() as u64,
                first_byte_ms: pressure.first_byte.as_millis() as u64,
                region: region.clone(),
                service: service.clone(),
            })
        });
        told.flatten().collect()
    }
}
