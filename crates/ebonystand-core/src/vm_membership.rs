use {
    super::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
};

/// The VMs of the fleet, kept by gossip at a cost that does not grow with their number.
///
/// In each [`VmMembership::PROBE_EVERY`] a VM probes one VM of its own region and one of another.
/// A VM of its own region that answers neither it nor three others becomes suspect, and dead if it
/// does not object within [`VmMembership::SUSPECT_FOR`]. Only a change is spread: carrying the
/// heartbeat of every VM within the same time would cost each VM a share that grows with the
/// fleet.
///
/// Nobody declares a VM of another region dead. A region that does not answer is unreachable:
/// [`VmMembership::live`] leaves its VMs out and keeps their records, so that a cut spreads no
/// news, and a heal is one answer away.
#[derive(Clone, Debug)]
pub struct VmMembership {
    heard: Duration,
    next_tick: Duration,
    prober: Prober,
    rng: Pcg64Mcg,
    round: u64,
    seeds: SeedAddresses,
    sync: bool,
    view: MembershipView,
}

impl VmMembership {
    /// After it, a record of a dead VM is forgotten.
    pub const FORGET_AFTER: Duration = Duration::from_secs(3_600);
    /// VMs that get a datagram of news in each tick that has any.
    pub const GOSSIP_FAN_OUT: usize = 2;
    /// After it, a probe's answer is asked for through other VMs.
    pub const PROBE_ANSWER: Duration = Duration::from_millis(400);
    /// Time between two probes of a VM.
    pub const PROBE_EVERY: Duration = Duration::from_millis(1_000);
    /// A region whose last answer to anybody of the own region is older is unreachable.
    pub const REGION_SILENCE: Duration = Duration::from_secs(6);
    /// A VM that has heard nobody for longer is itself cut off, or stood still.
    pub const SILENCE: Duration = Duration::from_secs(3);
    /// Time that a suspect has to object. Not shorter than [`VmMembership::SILENCE`]: a VM that
    /// stood still while a suspect objected then knows that it heard nobody before the time is
    /// over.
    pub const SUSPECT_FOR: Duration = Self::SILENCE;
    /// Time between two calls of [`VmMembership::tick`] that do something.
    pub const TICK: Duration = Duration::from_millis(500);

    const FORGET_EVERY_ROUNDS: u64 = 60;
    const SYNC_EVERY_ROUNDS: u64 = 20;

    /// A VM that knows itself and the addresses of `seeds`.
    #[must_use]
    pub fn new(own: VmRecord, seeds: Vec<SocketAddr>, now: Duration, seed: u64) -> Self {
        Self {
            heard: now,
            next_tick: now,
            prober: Prober::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            round: 0,
            seeds: SeedAddresses::new(own.peer, seeds),
            sync: true,
            view: MembershipView::new(own),
        }
    }

    /// Adds addresses of VMs to meet.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        seeds.iter().for_each(|seed| self.seeds.add(*seed));
    }

    /// When [`VmMembership::tick`] is next due.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        let due = self.prober.due();
        due.map_or(self.next_tick, |due| due.min(self.next_tick))
    }

    /// Everything known, dead and unreachable VMs included.
    pub fn entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.view.table.entries()
    }

    /// Whether a VM answers.
    #[must_use]
    pub fn health(&self, now: Duration, entry: &VmEntry) -> VmHealth {
        match entry.state {
            VmState::Dead { .. } => VmHealth::Dead,
            VmState::Alive | VmState::Suspect { .. }
                if !self.is_reachable(now, &entry.record.region) =>
            {
                VmHealth::Unreachable
            }
            VmState::Alive => VmHealth::Alive,
            VmState::Suspect { .. } => VmHealth::Suspect,
        }
    }

    /// What is known of a VM.
    #[must_use]
    pub fn get(&self, vm: &VmId) -> Option<&VmEntry> {
        self.view.table.get(vm)
    }

    /// Takes over the platform's list. It lags: an unknown VM is only contacted, and `leaving`
    /// holds until the VM starts anew or the list says otherwise.
    pub fn hint(&mut self, hints: &[VmHint]) {
        for hint in hints {
            if hint.vm == self.view.own.vm {
                continue;
            }
            match self.view.table.get_mut(&hint.vm) {
                Some(entry) => entry.hinted_leaving = hint.leaving,
                None => self.seeds.add(hint.peer),
            }
        }
    }

    /// Whether a region has answered lately; the own one always has.
    #[must_use]
    pub fn is_reachable(&self, now: Duration, region: &str) -> bool {
        self.view.contacts.is_reachable(now, region)
    }

    /// Announces that this VM takes no new work.
    pub fn leave(&mut self, now: Duration) -> Vec<MembershipOutput> {
        self.view.own.leaving = true;
        self.view.announce(now);
        self.view
            .gossip(now, 2 * Self::GOSSIP_FAN_OUT, &mut self.rng)
    }

    /// VMs in reachable regions that nobody suspects, this one included, leaving ones included.
    /// A VM that hears nobody has only itself.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &VmEntry> {
        let alone = self.hears_nobody(now);
        self.view
            .table
            .entries()
            .filter(|entry| entry.state == VmState::Alive)
            .filter(move |entry| !alone || entry.record.vm == self.view.own.vm)
            .filter(move |entry| self.is_reachable(now, &entry.record.region))
    }

    /// What [`Self::live`] derives its VMs from; it yields the same ones while this is equal.
    #[must_use]
    pub fn liveness(&self, now: Duration) -> Liveness {
        let regions = self.view.table.regions();
        Liveness {
            hears_nobody: self.hears_nobody(now),
            reachable: regions
                .map(|region| self.is_reachable(now, region))
                .collect(),
            revision: self.view.table.revision(),
        }
    }

    /// This VM's record.
    #[must_use]
    pub fn own(&self) -> &VmRecord {
        &self.view.own
    }

    /// Takes over a datagram from a VM.
    pub fn receive(&mut self, now: Duration, message: MembershipMessage) -> Vec<MembershipOutput> {
        let MembershipMessage {
            body,
            contacts,
            from,
            updates,
            withdrawals,
        } = message;
        if from.vm == self.view.own.vm {
            return Vec::new();
        }
        if self.hears_nobody(now) {
            self.after_silence(now);
        }
        self.heard = now;
        let synced = matches!(body, MembershipBody::Records { .. });
        let heard = self.view.heard_of(&from, withdrawals);
        self.view
            .take(now, &MembershipUpdate::Alive(from.clone()), true);
        for update in &updates {
            let fresh = self.view.take(now, update, !synced);
            self.sync |= fresh && synced;
        }
        if from.region == self.view.own.region {
            self.view.contacts.take(now, &contacts);
        }
        let mut outputs = self.answer(now, &from, body);
        outputs.extend(heard);
        outputs
    }

    /// Grows with each change of what is known, so that a caller may keep what it derived from it.
    /// Reachability of regions changes with time alone.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.view.table.revision()
    }

    /// Says whether callers may be sent to this VM, and spreads it if it is news.
    pub fn set_takes_callers(&mut self, now: Duration, takes: bool) -> Vec<MembershipOutput> {
        if self.view.own.takes_callers == takes {
            return Vec::new();
        }
        self.view.own.takes_callers = takes;
        self.view.announce(now);
        self.view
            .gossip(now, 2 * Self::GOSSIP_FAN_OUT, &mut self.rng)
    }

    /// Sets the version of the configuration that this VM tells others.
    pub fn set_version(&mut self, version: Version) {
        self.view.set_version(version);
    }

    /// Sets the digest of withdrawn keys that this VM tells others.
    pub fn set_withdrawals(&mut self, digest: u64) {
        self.view.withdrawals = digest;
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<MembershipOutput> {
        let mut outputs = Vec::new();
        if let Some((vm, sent)) = self.prober.late(now) {
            self.view
                .ask_others(now, &vm, sent, &mut self.rng, &mut outputs);
        }
        if now < self.next_tick {
            return outputs;
        }
        self.next_tick = now + Self::TICK;
        self.round += 1;
        if self.round % 2 == 1 {
            self.finish_probe(now);
            self.bury(now);
            self.view.ping_suspects(now, &mut outputs);
            self.start_probe(now, &mut outputs);
            self.view.probe_regions(now, &mut self.rng, &mut outputs);
            self.contact_absent(now, &mut outputs);
        }
        if self.round.is_multiple_of(Self::FORGET_EVERY_ROUNDS) {
            self.view
                .table
                .forget_dead_before(now.saturating_sub(Self::FORGET_AFTER));
        }
        if !self.view.updates.is_empty() {
            outputs.extend(self.view.gossip(now, Self::GOSSIP_FAN_OUT, &mut self.rng));
        }
        if self.sync || self.round.is_multiple_of(Self::SYNC_EVERY_ROUNDS) {
            self.sync = false;
            self.start_sync(now, &mut outputs);
        }
        outputs
    }

    /// While this process stood still or heard nobody, others answered in vain. Without this, a VM
    /// that thaws or is reached again takes for dead whom it suspected, before they can object; they
    /// are probed anew instead.
    fn after_silence(&mut self, now: Duration) {
        self.prober.stop();
        self.heard = now;
        self.view.clear_suspicions();
    }

    fn answer(
        &mut self,
        now: Duration,
        from: &VmRecord,
        body: MembershipBody,
    ) -> Vec<MembershipOutput> {
        match body {
            MembershipBody::Ack { relay, sent_ms, vm } => {
                let Some(prober) = relay else {
                    self.take_ack(now, sent_ms, &vm);
                    return Vec::new();
                };
                let relay = None;
                let body = MembershipBody::Ack { relay, sent_ms, vm };
                vec![self.view.message(now, prober, None, body)]
            }
            MembershipBody::Gossip | MembershipBody::Records { more: false } => Vec::new(),
            MembershipBody::Ping { relay, sent_ms } => {
                vec![self.view.answer_ping(now, from, relay, sent_ms)]
            }
            MembershipBody::PingRequest { sent_ms, target } => {
                let relay = Some(from.peer);
                let body = MembershipBody::Ping { relay, sent_ms };
                vec![self.view.message(now, target, None, body)]
            }
            MembershipBody::Records { more: true } => {
                let mut outputs = Vec::new();
                self.start_sync(now, &mut outputs);
                outputs
            }
            MembershipBody::Sync { digests } => {
                self.view.answer_sync(from, &digests, &mut self.rng)
            }
        }
    }

    /// Takes suspects of the own region for dead once their time is over. A VM that hears nobody
    /// is itself the one that is cut off, and declares nothing.
    fn bury(&mut self, now: Duration) {
        if self.hears_nobody(now) {
            return;
        }
        for mark in self.view.overdue_suspects(now) {
            self.view.take(now, &MembershipUpdate::Dead(mark), true);
        }
    }

    /// Keeps trying whom nobody else tries: seeds that no known VM has the address of, and dead
    /// VMs of the own region, which may only have been cut off.
    fn contact_absent(&mut self, now: Duration, outputs: &mut Vec<MembershipOutput>) {
        const EVERY_ROUNDS: u64 = 10;
        let alone = self.view.table.present_count() <= 1;
        if !alone && self.round % EVERY_ROUNDS != 1 {
            return;
        }
        let dead = self
            .view
            .table
            .entries()
            .filter(|entry| entry.is_dead() && entry.record.region == self.view.own.region)
            .map(|entry| (Some(entry.record.vm.clone()), entry.record.peer));
        let unknown = self.seeds.unknown(&self.view.table);
        let unknown = unknown.into_iter().map(|seed| (None, seed));
        let mut absent: Vec<_> = dead.chain(unknown).collect();
        if absent.is_empty() {
            return;
        }
        let (vm, to) = absent.swap_remove(self.rng.random_range(0..absent.len()));
        if let Some(vm) = vm {
            self.view.tell_what_is_believed_of(now, &vm);
        }
        self.view.ping(now, to, None, outputs);
    }

    fn finish_probe(&mut self, now: Duration) {
        let Some(target) = self.prober.stop() else {
            return;
        };
        if !self.hears_nobody(now) {
            self.view
                .take(now, &MembershipUpdate::Suspect(target), true);
        }
    }

    fn hears_nobody(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) > Self::SILENCE
    }

    fn start_probe(&mut self, now: Duration, outputs: &mut Vec<MembershipOutput>) {
        let started = self
            .prober
            .start(now, &self.view.table, &self.view.own, &mut self.rng);
        let Some(entry) = started.as_ref().and_then(|vm| self.view.table.get(vm)) else {
            return;
        };
        let VmRecord {
            peer, region, vm, ..
        } = entry.record.clone();
        self.view.tell_what_is_believed_of(now, &vm);
        self.view.ping(now, peer, Some(&region), outputs);
    }

    fn start_sync(&mut self, now: Duration, outputs: &mut Vec<MembershipOutput>) {
        let picked = match self.rng.random_range(0..4) {
            0 => self.view.table.pick_any(&mut self.rng),
            _ => self.view.table.pick(&self.view.own.region, &mut self.rng),
        };
        let digests = self.view.table.digests();
        match picked.filter(|entry| entry.record.vm != self.view.own.vm) {
            Some(entry) => {
                let (to, region) = (entry.record.peer, entry.record.region.clone());
                let body = MembershipBody::Sync { digests };
                outputs.push(self.view.message(now, to, Some(&region), body));
            }
            None if self.view.table.present_count() > 1 => self.sync = true,
            None => {
                self.sync = true;
                let Some(to) = self.seeds.pick(&mut self.rng) else {
                    return;
                };
                let body = MembershipBody::Sync { digests };
                outputs.push(self.view.message(now, to, None, body));
            }
        }
    }

    /// An answer counts if it is to a probe of the last seconds: an older one proves nothing.
    fn take_ack(&mut self, now: Duration, sent_ms: u64, vm: &VmId) {
        if millis(now).saturating_sub(sent_ms) > millis(2 * Self::PROBE_EVERY) {
            return;
        }
        self.prober.answered(vm);
        let Some(entry) = self.view.table.get(vm) else {
            return;
        };
        self.view.contacts.answered(now, &entry.record.region);
    }
}
