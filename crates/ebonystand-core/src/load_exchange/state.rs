use super::*;

/// One VM's part in telling one another of the load at a region's upstreams.
///
/// A VM either reports to a relay or relays. A relay adds up what is reported to it, tells the sum to the
/// other relays and gives the sum over the region back. A relay that falls silent is passed over; what was
/// reported to it counts for a short time only.
#[derive(Clone, Debug)]
pub struct LoadExchange {
    /// News for the other relays.
    cached_for_relays: Vec<CachedPrefix>,
    /// News for the VMs that report to this one.
    cached_for_reporters: Vec<CachedPrefix>,
    /// Relays in the order in which this VM reports to them.
    order: Vec<VmId>,
    own: VmId,
    plan: RelayPlan,
    /// The relay that this VM reports to.
    relay: Option<Relay>,
    /// What relays have told: a relay hears the sums of the others, any other VM the sum over the region.
    relayed: PeerLoads,
    /// Number of the last report of each VM that reports to this one.
    reporters: BTreeMap<VmId, u32>,
    /// What was reported to this VM.
    reported: PeerLoads,
    reports: ReportLog,
    /// Relays that have fallen silent.
    silent: BTreeMap<VmId, PassedOver>,
    /// Whether the last message told of any load.
    told_some: bool,
    zone: ZoneId,
}

#[derive(Clone, Debug)]
struct Relay {
    /// When it last told of a newer report of this VM, or was first reported to.
    heard: Duration,
    /// Number of that report.
    included: Option<u32>,
    vm: VmId,
}

/// For how long a relay is passed over.
#[derive(Clone, Copy, Debug)]
struct PassedOver {
    until: Duration,
    wait: Duration,
}

impl LoadExchange {
    /// Time between two reports: short against the time that a prompt takes to be read.
    pub const REPORT_EVERY: Duration = Duration::from_millis(100);
    /// Time between two messages of a relay. It delays what passes it, twice where two relays are on the
    /// way.
    pub const RELAY_EVERY: Duration = Duration::from_millis(75);
    /// What was reported counts for so long: until a VM whose relay fell silent has reported to another
    /// one. It is counted at both until then.
    const REPORT_LIFE: Duration = Duration::from_millis(600);
    /// What a relay tells counts for so long.
    const RELAYED_LIFE: Duration = Duration::from_millis(1_000);
    /// A relay that tells of no newer report for longer is passed over: several of its turns.
    const RELAY_SILENCE: Duration = Duration::from_millis(350);
    /// Time for which a silent relay is passed over at first; it doubles with each further silence.
    const PASSED_OVER: Duration = Duration::from_secs(2);
    /// Longest such time.
    const LONGEST_PASSED_OVER: Duration = Duration::from_secs(32);

    /// Exchange of the VM `own` in `zone`, as yet alone.
    #[must_use]
    pub fn new(own: VmId, zone: ZoneId) -> Self {
        Self {
            cached_for_relays: Vec::new(),
            cached_for_reporters: Vec::new(),
            order: Vec::new(),
            own,
            plan: RelayPlan::default(),
            relay: None,
            relayed: PeerLoads::new(Self::RELAYED_LIFE),
            reporters: BTreeMap::new(),
            reported: PeerLoads::new(Self::REPORT_LIFE),
            reports: ReportLog::default(),
            silent: BTreeMap::new(),
            told_some: false,
            zone,
        }
    }

    /// What the other VMs of the region have under way at an upstream.
    #[must_use]
    pub fn at(&self, upstream: UpstreamKey) -> UnderWay {
        let mut load = self.relayed.at(upstream);
        load.add(self.reported.at(upstream));
        load
    }

    /// Time until [`Self::tick`] is due again.
    #[must_use]
    pub fn every(&self) -> Duration {
        match self.is_relay() && !self.plan.is_direct() {
            true => Self::RELAY_EVERY,
            false => Self::REPORT_EVERY,
        }
    }

    /// Forgets what VMs told that have fallen silent.
    pub fn forget_silent(&mut self, now: Duration) {
        self.relayed.forget_silent(now);
        self.reported.forget_silent(now);
        let Self {
            reported,
            reporters,
            ..
        } = self;
        reporters.retain(|vm, _| reported.hears(vm));
        self.silent
            .retain(|_, passed| now < passed.until + 2 * passed.wait);
    }

    /// Whether this VM relays: it is one of those that do, or another VM holds it for one.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.plan.relays().any(|vm| *vm == self.own) || !self.reporters.is_empty()
    }

    /// Takes what a VM of the region tells.
    pub fn receive(&mut self, now: Duration, from: &VmId, message: LoadMessage) {
        match message {
            LoadMessage::Group { under_way, .. } => {
                self.reported.forget(from);
                self.reporters.remove(from);
                self.relayed.tell(now, from.clone(), under_way);
            }
            LoadMessage::Region {
                included,
                under_way,
                ..
            } => self.receive_region(now, from, included, under_way),
            LoadMessage::Report {
                number, under_way, ..
            } => {
                self.relayed.forget(from);
                self.reporters.insert(from.clone(), number);
                self.reported.tell(now, from.clone(), under_way);
            }
        }
    }

    /// Takes what engines keep, news that came with a message, to pass it on if this VM relays.
    pub fn pass_on(&mut self, cached: &[CachedPrefix], news: CacheNews) {
        if !self.is_relay() {
            return;
        }
        Self::extend(&mut self.cached_for_reporters, cached);
        if news == CacheNews::Reported {
            Self::extend(&mut self.cached_for_relays, cached);
        }
    }

    /// The VMs that relay, this one included if it does.
    pub fn relays(&self) -> impl Iterator<Item = &VmId> {
        self.plan.relays()
    }

    /// VMs that report to this one.
    pub fn reporters(&self) -> impl Iterator<Item = &VmId> {
        self.reporters.keys()
    }

    /// Takes over which VMs of the region live.
    pub fn set_vms(&mut self, vms: &[RegionVm]) {
        let plan = RelayPlan::new(vms);
        if plan != self.plan {
            self.order = plan.order(&self.own, &self.zone);
            self.plan = plan;
        }
    }

    /// What is to be told now, and to whom: `own` is the load of this VM, `cached` what it has learnt that
    /// engines keep, `pressures` what other regions have told.
    pub fn tick(
        &mut self,
        now: Duration,
        own: UpstreamLoads,
        cached: Vec<CachedPrefix>,
        pressures: &[ToldPressure],
    ) -> Vec<(VmId, LoadMessage)> {
        self.forget_silent(now);
        match self.is_relay() {
            true => self.relay(own, &cached, pressures),
            false => self.report(now, own, cached).into_iter().collect(),
        }
    }

    fn extend(news: &mut Vec<CachedPrefix>, cached: &[CachedPrefix]) {
        let room = CacheDirectory::MOST.saturating_sub(news.len());
        news.extend(cached.iter().take(room).cloned());
    }

    fn receive_region(
        &mut self,
        now: Duration,
        from: &VmId,
        included: u32,
        under_way: UpstreamLoads,
    ) {
        let relay = self.relay.as_mut().filter(|relay| relay.vm == *from);
        let Some(relay) = relay else {
            return;
        };
        if relay.included != Some(included) {
            relay.included = Some(included);
            relay.heard = now;
        }
        let others = self.reports.without_own(included, under_way);
        self.relayed.forget_others(from);
        self.relayed.tell(now, from.clone(), others);
    }

    fn relay(
        &mut self,
        own: UpstreamLoads,
        cached: &[CachedPrefix],
        pressures: &[ToldPressure],
    ) -> Vec<(VmId, LoadMessage)> {
        self.relay = None;
        Self::extend(&mut self.cached_for_relays, cached);
        Self::extend(&mut self.cached_for_reporters, cached);
        let for_relays = std::mem::take(&mut self.cached_for_relays);
        let for_reporters = std::mem::take(&mut self.cached_for_reporters);
        let mut sums = own.into_iter().collect::<FxHashMap<_, _>>();
        add(&mut sums, self.reported.sums());
        let group = loads(&sums);
        let mut messages = Vec::new();
        // Once more when nothing is left, or the others would go by the last word.
        let tells = self.told_some || !group.is_empty() || !for_relays.is_empty();
        self.told_some = !group.is_empty();
        if tells || !self.reporters.is_empty() {
            let planned = self.plan.relays().chain(self.relayed.vms());
            let relays = planned.filter(|vm| **vm != self.own && !self.reporters.contains_key(*vm));
            for vm in relays.collect::<BTreeSet<_>>() {
                let message = LoadMessage::Group {
                    cached: for_relays.clone(),
                    under_way: group.clone(),
                };
                messages.push((vm.clone(), message));
            }
        }
        add(&mut sums, self.relayed.sums());
        let region = loads(&sums);
        for (vm, included) in &self.reporters {
            let message = LoadMessage::Region {
                cached: for_reporters.clone(),
                included: *included,
                pressures: pressures.to_vec(),
                under_way: region.clone(),
            };
            messages.push((vm.clone(), message));
        }
        messages
    }

    fn report(
        &mut self,
        now: Duration,
        own: UpstreamLoads,
        cached: Vec<CachedPrefix>,
    ) -> Option<(VmId, LoadMessage)> {
        let vm = self.relay_now(now)?;
        let number = self.reports.push(own.clone());
        let message = LoadMessage::Report {
            cached,
            number,
            under_way: own,
        };
        Some((vm, message))
    }

    /// The relay to report to: the first in order that is not silent, or the first if all are.
    fn relay_now(&mut self, now: Duration) -> Option<VmId> {
        let is_silent =
            |relay: &mut Relay| now.saturating_sub(relay.heard) > LoadExchange::RELAY_SILENCE;
        if let Some(relay) = self.relay.take_if(is_silent) {
            let before = self.silent.get(&relay.vm);
            let wait = before.map_or(Self::PASSED_OVER, |passed| passed.wait * 2);
            let wait = wait.min(Self::LONGEST_PASSED_OVER);
            let until = now + wait;
            self.silent.insert(relay.vm, PassedOver { until, wait });
        }
        let is_sound = |vm: &&VmId| {
            self.silent
                .get(*vm)
                .is_none_or(|passed| now >= passed.until)
        };
        let sound = self.order.iter().find(is_sound);
        let vm = sound.or(self.order.first())?.clone();
        if self.relay.as_ref().is_none_or(|relay| relay.vm != vm) {
            self.relay = Some(Relay {
                heard: now,
                included: None,
                vm: vm.clone(),
            });
        }
        Some(vm)
    }
}

fn add(
    sums: &mut FxHashMap<UpstreamKey, UnderWay>,
    loads: impl Iterator<Item = (UpstreamKey, UnderWay)>,
) {
    for (upstream, load) in loads {
        sums.entry(upstream).or_default().add(load);
    }
}

fn loads(sums: &FxHashMap<UpstreamKey, UnderWay>) -> UpstreamLoads {
    sums.iter()
        .map(|(upstream, load)| (*upstream, *load))
        .collect()
}
