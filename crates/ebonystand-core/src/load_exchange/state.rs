use super::*;
use load_message::add_contacts;

/// One VM's side of the load exchange in its region.
///
/// A VM either reports to a relay or is a relay itself; in a small region every VM that is not
/// about to stop is one. A relay adds up the reports that it receives, sends the sum to the other
/// relays and returns the sum over the region to the VMs that report to it. A VM skips a relay that
/// has fallen silent; the reports that such a relay has received expire soon.
#[derive(Clone, Debug)]
pub struct LoadExchange {
    /// Newly cached prefixes to be sent to the other relays.
    cached_for_relays: Vec<CachedPrefix>,
    /// Newly cached prefixes to be sent to the VMs that report to this one.
    cached_for_reporters: Vec<CachedPrefix>,
    /// Contacts to be told to the other relays, or by a VM that is no relay to its own one.
    contacts_for_relays: ZoneContacts,
    /// Contacts to be told to the VMs that report to this one.
    contacts_for_reporters: ZoneContacts,
    /// Limits to be told to the other relays, or by a VM that is no relay to its own one.
    limits_for_relays: Vec<HeardLimit>,
    /// Limits to be told to the VMs that report to this one.
    limits_for_reporters: Vec<HeardLimit>,
    /// Speeds to be told to the other relays, or by a VM that is no relay to its own one.
    speeds_for_relays: SpeedQueue,
    /// Speeds to be told to the VMs that report to this one.
    speeds_for_reporters: SpeedQueue,
    /// Relays in the order in which this VM tries to report to them.
    relay_order: Vec<VmId>,
    own: VmId,
    /// Relays of the region.
    plan: RelayPlan,
    /// Relay that this VM reports to.
    current_relay: Option<CurrentRelay>,
    /// Loads received from relays: a relay has the sums of the other relays, any other VM has the
    /// sum over the region.
    relayed: PeerLoads,
    /// Number of the latest report of each VM that reports to this one.
    reporters: BTreeMap<VmId, u32>,
    /// Loads that VMs reported to this one.
    reported: PeerLoads,
    /// Latest reports of this VM.
    reports: ReportLog,
    /// Relays that have fallen silent.
    skipped_relays: BTreeMap<VmId, SkippedRelay>,
    /// Whether the last message to the other relays contained any load.
    has_sent_load: bool,
    zone: ZoneId,
}

/// Relay that this VM reports to, with the latest sign of its activity.
#[derive(Clone, Debug)]
struct CurrentRelay {
    /// When the relay last acknowledged a newer report of this VM, or was chosen.
    last_progress: Duration,
    /// Number of the latest acknowledged report; `None` before the first one.
    included_report: Option<u32>,
    vm: VmId,
}

/// Period for which a silent relay is skipped.
#[derive(Clone, Copy, Debug)]
struct SkippedRelay {
    /// Time until which the relay is skipped.
    until: Duration,
    /// Length of the period, which doubles with each further silence.
    skip_time: Duration,
}

impl LoadExchange {
    /// Time between two reports; short compared to the time that an engine takes to read a prompt.
    pub const REPORT_INTERVAL: Duration = Duration::from_millis(100);
    /// Time between two messages of a relay. Each relay on the path of a report adds up to this
    /// delay; there are at most two.
    pub const RELAY_INTERVAL: Duration = Duration::from_millis(75);
    /// Time until a report to a relay expires: long enough for a VM whose relay fell silent to
    /// report to another one. Until then, both relays count its load.
    const REPORT_LIFETIME: Duration = Duration::from_millis(600);
    /// Time until the sums received from a relay expire.
    const RELAYED_LIFETIME: Duration = Duration::from_millis(1_000);
    /// Time without acknowledgement of a newer report after which a relay is skipped; spans several
    /// of its intervals.
    const RELAY_TIMEOUT: Duration = Duration::from_millis(350);
    /// Time for which a silent relay is skipped at first; it doubles with each further silence.
    const MIN_SKIP_TIME: Duration = Duration::from_secs(2);
    /// Longest time for which a silent relay is skipped.
    const MAX_SKIP_TIME: Duration = Duration::from_secs(32);

    /// Creates the exchange of the VM `own` in `zone`, which knows no other VM yet.
    #[must_use]
    pub fn new(own: VmId, zone: ZoneId) -> Self {
        Self {
            cached_for_relays: Vec::new(),
            cached_for_reporters: Vec::new(),
            contacts_for_relays: ZoneContacts::new(),
            contacts_for_reporters: ZoneContacts::new(),
            limits_for_relays: Vec::new(),
            limits_for_reporters: Vec::new(),
            speeds_for_relays: SpeedQueue::default(),
            speeds_for_reporters: SpeedQueue::default(),
            relay_order: Vec::new(),
            own,
            plan: RelayPlan::default(),
            current_relay: None,
            relayed: PeerLoads::new(Self::RELAYED_LIFETIME),
            reporters: BTreeMap::new(),
            reported: PeerLoads::new(Self::REPORT_LIFETIME),
            reports: ReportLog::default(),
            skipped_relays: BTreeMap::new(),
            has_sent_load: false,
            zone,
        }
    }

    /// Returns the requests that the other VMs of the region have in flight at an upstream.
    #[must_use]
    pub fn load_at(&self, upstream: UpstreamKey) -> UnderWay {
        let mut load = self.relayed.load_at(upstream);
        load.add(self.reported.load_at(upstream));
        load
    }

    /// Returns whether the region is small enough for each VM to send its load to all others.
    #[must_use]
    pub fn is_direct(&self) -> bool {
        self.plan.is_direct()
    }

    /// Returns the time between two calls of [`Self::build_messages`].
    #[must_use]
    pub fn message_interval(&self) -> Duration {
        match self.is_relay() && !self.plan.is_direct() {
            true => Self::RELAY_INTERVAL,
            false => Self::REPORT_INTERVAL,
        }
    }

    /// Removes the loads of VMs that have fallen silent, and forgets the skip times of relays that
    /// have been usable again for twice as long as they were skipped.
    pub fn remove_expired(&mut self, now: Duration) {
        self.relayed.remove_expired(now);
        self.reported.remove_expired(now);
        let Self {
            reported,
            reporters,
            ..
        } = self;
        reporters.retain(|vm, _| reported.has_report_from(vm));
        self.skipped_relays
            .retain(|_, skipped| now < skipped.until + 2 * skipped.skip_time);
    }

    /// Returns whether this VM is a relay: by its own view of the region, or because another VM
    /// reports to it.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.plan.relays().any(|vm| *vm == self.own) || !self.reporters.is_empty()
    }

    /// Processes a message from a VM of the region.
    pub fn handle_message(&mut self, now: Duration, from: &VmId, message: LoadMessage) {
        match message {
            LoadMessage::Group { under_way, .. } => {
                self.reported.remove(from);
                self.reporters.remove(from);
                self.relayed.record_report(now, from.clone(), under_way);
            }
            LoadMessage::Region {
                included,
                under_way,
                ..
            } => self.handle_region_load(now, from, included, under_way),
            LoadMessage::Report {
                number, under_way, ..
            } => {
                self.relayed.remove(from);
                self.reporters.insert(from.clone(), number);
                self.reported.record_report(now, from.clone(), under_way);
            }
            // Contacts, limits and speeds are kept by the book.
            LoadMessage::Contacts { .. }
            | LoadMessage::Limits { .. }
            | LoadMessage::Speeds { .. } => {}
        }
    }

    /// Queues contacts of this VM to be told to the other VMs of the region.
    pub(crate) fn report_contacts(&mut self, contacts: &ZoneContacts) {
        add_contacts(&mut self.contacts_for_relays, contacts);
        add_contacts(&mut self.contacts_for_reporters, contacts);
    }

    /// Queues contacts that `from` has told to be passed on, if this VM is a relay.
    pub(crate) fn forward_contacts(&mut self, from: &VmId, contacts: &ZoneContacts) {
        if !self.is_relay() {
            return;
        }
        add_contacts(&mut self.contacts_for_reporters, contacts);
        if self.reporters.contains_key(from) {
            add_contacts(&mut self.contacts_for_relays, contacts);
        }
    }

    /// Queues a limit to be told to the other VMs of the region.
    pub(crate) fn report_limit(&mut self, heard: HeardLimit) {
        Self::queue_limit(&mut self.limits_for_relays, heard);
        Self::queue_limit(&mut self.limits_for_reporters, heard);
    }

    /// Returns whether another limit fits into the next messages.
    pub(crate) fn has_room_for_limits(&self) -> bool {
        self.limits_for_relays
            .len()
            .max(self.limits_for_reporters.len())
            < LimitNews::MAX_IN_MESSAGE
    }

    /// Queues limits that `from` has told to be passed on, if this VM is a relay.
    pub(crate) fn forward_limits(&mut self, from: &VmId, heard: &[HeardLimit]) {
        if !self.is_relay() {
            return;
        }
        for heard in heard {
            Self::queue_limit(&mut self.limits_for_reporters, *heard);
            if self.reporters.contains_key(from) {
                Self::queue_limit(&mut self.limits_for_relays, *heard);
            }
        }
    }

    /// Queues speeds to be told to the other VMs of the region, by `queue`.
    pub(crate) fn report_speeds(&mut self, queue: impl Fn(&mut SpeedQueue)) {
        queue(&mut self.speeds_for_relays);
        queue(&mut self.speeds_for_reporters);
    }

    /// Queues speeds that `from` has told to be passed on, by `queue`, if this VM is a relay.
    pub(crate) fn forward_speeds(&mut self, from: &VmId, queue: impl Fn(&mut SpeedQueue)) {
        if !self.is_relay() {
            return;
        }
        queue(&mut self.speeds_for_reporters);
        if self.reporters.contains_key(from) {
            queue(&mut self.speeds_for_relays);
        }
    }

    /// Queues cached prefixes that arrived with a message to be passed on, if this VM is a relay.
    /// `origin` tells which VMs know them already.
    pub fn forward_cached(&mut self, cached: &[CachedPrefix], origin: CacheNewsOrigin) {
        if !self.is_relay() {
            return;
        }
        Self::append_bounded(&mut self.cached_for_reporters, cached);
        if origin == CacheNewsOrigin::Reporter {
            Self::append_bounded(&mut self.cached_for_relays, cached);
        }
    }

    /// Returns the relays of the region, including this VM if it is one.
    pub fn relays(&self) -> impl Iterator<Item = &VmId> {
        self.plan.relays()
    }

    /// Returns the VMs that report to this one.
    pub fn reporters(&self) -> impl Iterator<Item = &VmId> {
        self.reporters.keys()
    }

    /// Replaces the live VMs of the region, and chooses the relays anew if that changes them.
    pub fn set_vms(&mut self, vms: &[RegionVm]) {
        let plan = RelayPlan::new(vms);
        if plan != self.plan {
            self.relay_order = plan.relay_order(&self.own, &self.zone);
            self.plan = plan;
        }
    }

    /// Returns the messages to be sent now with their recipients. `own` is the load of this VM,
    /// `cached` the prefixes that it has found to be cached by engines, and `region_latencies` the
    /// reports of other regions.
    pub fn build_messages(
        &mut self,
        now: Duration,
        own: UpstreamLoads,
        cached: Vec<CachedPrefix>,
        region_latencies: &[RelayedLatency],
    ) -> Vec<(VmId, LoadMessage)> {
        self.remove_expired(now);
        let mut messages = match self.is_relay() {
            true => self.relay_messages(own, &cached, region_latencies),
            false => self.report_message(now, own, cached).into_iter().collect(),
        };
        messages.append(&mut self.contact_messages());
        messages.append(&mut self.limit_messages(now));
        let for_relays = self.speeds_for_relays.take_message(now);
        let for_reporters = self.speeds_for_reporters.take_message(now);
        messages.append(&mut self.news_messages(for_relays, for_reporters));
        messages
    }

    /// Queues a limit, in place of an older one of the same upstream.
    fn queue_limit(queue: &mut Vec<HeardLimit>, heard: HeardLimit) {
        queue.retain(|other| other.upstream != heard.upstream);
        if queue.len() < LimitNews::MAX_IN_MESSAGE {
            queue.push(heard);
        }
    }

    /// Builds the messages about limits.
    fn limit_messages(&mut self, now: Duration) -> Vec<(VmId, LoadMessage)> {
        let for_relays = std::mem::take(&mut self.limits_for_relays);
        let for_reporters = std::mem::take(&mut self.limits_for_reporters);
        let message = |heard: Vec<HeardLimit>| {
            let news = heard.into_iter().map(|heard| heard.into_news(now));
            let news = news.collect::<Vec<_>>();
            (!news.is_empty()).then_some(LoadMessage::Limits { news })
        };
        self.news_messages(message(for_relays), message(for_reporters))
    }

    /// Builds the messages about contacts.
    fn contact_messages(&mut self) -> Vec<(VmId, LoadMessage)> {
        let for_relays = std::mem::take(&mut self.contacts_for_relays);
        let for_reporters = std::mem::take(&mut self.contacts_for_reporters);
        let message =
            |zones: ZoneContacts| (!zones.is_empty()).then_some(LoadMessage::Contacts { zones });
        self.news_messages(message(for_relays), message(for_reporters))
    }

    /// Addresses news: a relay tells the other relays and the VMs that report to it, any other VM
    /// tells its relay.
    fn news_messages(
        &self,
        for_relays: Option<LoadMessage>,
        for_reporters: Option<LoadMessage>,
    ) -> Vec<(VmId, LoadMessage)> {
        let (relays, reporters) = match self.is_relay() {
            true => (
                self.other_relays(),
                self.reporters.keys().cloned().collect(),
            ),
            false => {
                let relay = self.current_relay.as_ref().map(|relay| relay.vm.clone());
                (relay.into_iter().collect(), Vec::new())
            }
        };
        let address = |vms: Vec<VmId>, message: Option<LoadMessage>| {
            let pairs = vms
                .into_iter()
                .filter_map(move |vm| Some((vm, message.clone()?)));
            pairs.collect::<Vec<_>>()
        };
        let mut messages = address(relays, for_relays);
        messages.append(&mut address(reporters, for_reporters));
        messages
    }

    /// Returns the VMs that act as relays beside this one.
    fn other_relays(&self) -> Vec<VmId> {
        let relays = self.plan.relays().chain(self.relayed.vms());
        let relays = relays.filter(|vm| **vm != self.own && !self.reporters.contains_key(*vm));
        let relays = relays.cloned().collect::<BTreeSet<_>>();
        relays.into_iter().collect()
    }

    /// Appends prefixes to a queue that holds at most [`CacheDirectory::MAX_PREFIXES`]; the rest is
    /// dropped.
    fn append_bounded(queue: &mut Vec<CachedPrefix>, cached: &[CachedPrefix]) {
        let room = CacheDirectory::MAX_PREFIXES.saturating_sub(queue.len());
        queue.extend(cached.iter().take(room).cloned());
    }

    /// Records the load of the region from the current relay, with this VM's own share subtracted.
    fn handle_region_load(
        &mut self,
        now: Duration,
        from: &VmId,
        included: u32,
        under_way: UpstreamLoads,
    ) {
        let relay = self
            .current_relay
            .as_mut()
            .filter(|relay| relay.vm == *from);
        let Some(relay) = relay else {
            return;
        };
        if relay.included_report != Some(included) {
            relay.included_report = Some(included);
            relay.last_progress = now;
        }
        let others = self.reports.subtract_own(included, under_way);
        self.relayed.retain_only(from);
        self.relayed.record_report(now, from.clone(), others);
    }

    /// Builds the messages of a relay, to the other relays and to the VMs that report to it.
    fn relay_messages(
        &mut self,
        own: UpstreamLoads,
        cached: &[CachedPrefix],
        region_latencies: &[RelayedLatency],
    ) -> Vec<(VmId, LoadMessage)> {
        self.current_relay = None;
        Self::append_bounded(&mut self.cached_for_relays, cached);
        Self::append_bounded(&mut self.cached_for_reporters, cached);
        let for_relays = std::mem::take(&mut self.cached_for_relays);
        let for_reporters = std::mem::take(&mut self.cached_for_reporters);
        let mut sums = own.into_iter().collect::<FxHashMap<_, _>>();
        add_loads(&mut sums, self.reported.sums());
        let group = collect_loads(&sums);
        let mut messages = Vec::new();
        // An empty sum that follows one with load is sent as well. Otherwise the other relays would
        // count the former load until it expires.
        let tells = self.has_sent_load || !group.is_empty() || !for_relays.is_empty();
        self.has_sent_load = !group.is_empty();
        if tells || !self.reporters.is_empty() {
            for vm in self.other_relays() {
                let message = LoadMessage::Group {
                    cached: for_relays.clone(),
                    under_way: group.clone(),
                };
                messages.push((vm, message));
            }
        }
        add_loads(&mut sums, self.relayed.sums());
        let region = collect_loads(&sums);
        for (vm, included) in &self.reporters {
            let message = LoadMessage::Region {
                cached: for_reporters.clone(),
                included: *included,
                region_latencies: region_latencies.to_vec(),
                under_way: region.clone(),
            };
            messages.push((vm.clone(), message));
        }
        messages
    }

    /// Builds the report to the current relay, if there is any.
    fn report_message(
        &mut self,
        now: Duration,
        own: UpstreamLoads,
        cached: Vec<CachedPrefix>,
    ) -> Option<(VmId, LoadMessage)> {
        let vm = self.select_relay(now)?;
        let number = self.reports.push(own.clone());
        let message = LoadMessage::Report {
            cached,
            number,
            under_way: own,
        };
        Some((vm, message))
    }

    /// Returns the relay to report to: the first in order that is not skipped, or the first if all
    /// are.
    fn select_relay(&mut self, now: Duration) -> Option<VmId> {
        let is_silent = |relay: &mut CurrentRelay| {
            now.saturating_sub(relay.last_progress) > LoadExchange::RELAY_TIMEOUT
        };
        if let Some(relay) = self.current_relay.take_if(is_silent) {
            let before = self.skipped_relays.get(&relay.vm);
            let wait = before.map_or(Self::MIN_SKIP_TIME, |skipped| skipped.skip_time * 2);
            let wait = wait.min(Self::MAX_SKIP_TIME);
            let until = now + wait;
            self.skipped_relays.insert(
                relay.vm,
                SkippedRelay {
                    until,
                    skip_time: wait,
                },
            );
        }
        let is_sound = |vm: &&VmId| {
            self.skipped_relays
                .get(*vm)
                .is_none_or(|skipped| now >= skipped.until)
        };
        let sound = self.relay_order.iter().find(is_sound);
        let vm = sound.or(self.relay_order.first())?.clone();
        if self
            .current_relay
            .as_ref()
            .is_none_or(|relay| relay.vm != vm)
        {
            self.current_relay = Some(CurrentRelay {
                last_progress: now,
                included_report: None,
                vm: vm.clone(),
            });
        }
        Some(vm)
    }
}

/// Adds loads to the sums by upstream.
fn add_loads(
    sums: &mut FxHashMap<UpstreamKey, UnderWay>,
    loads: impl Iterator<Item = (UpstreamKey, UnderWay)>,
) {
    for (upstream, load) in loads {
        sums.entry(upstream).or_default().add(load);
    }
}

/// Returns the sums as a list.
fn collect_loads(sums: &FxHashMap<UpstreamKey, UnderWay>) -> UpstreamLoads {
    sums.iter()
        .map(|(upstream, load)| (*upstream, *load))
        .collect()
}
