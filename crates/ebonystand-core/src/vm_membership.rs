use {
    super::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
};

/// Failure detector and membership list of the fleet's VMs, maintained by gossip at a cost per VM
/// that does not grow with the fleet.
///
/// In each [`VmMembership::PROBE_INTERVAL`] a VM probes one VM of its own region and one of another
/// region. A VM of its own region that answers neither it nor three others becomes suspect, and
/// dead if it does not refute the suspicion within [`VmMembership::SUSPICION_TIMEOUT`]. Only
/// changes are gossiped: spreading every VM's heartbeat within the same time would cost each VM
/// traffic proportional to the fleet.
///
/// No VM declares a VM of another region dead. A region that does not answer is unreachable:
/// [`VmMembership::live`] leaves its VMs out but keeps their records. A network partition therefore
/// causes no gossip, and the first answer after it heals restores the region.
#[derive(Clone, Debug)]
pub struct VmMembership {
    /// Time of the last datagram from another VM.
    last_received: Duration,
    next_tick: Duration,
    prober: Prober,
    rng: Pcg64Mcg,
    /// Number of rounds so far; each tick that is due starts one.
    round: u64,
    seeds: SeedAddresses,
    /// Whether the next tick compares digests with another VM without waiting for its turn.
    needs_sync: bool,
    view: MembershipView,
}

impl VmMembership {
    /// Time after which the record of a dead VM is forgotten.
    pub const FORGET_DEAD_AFTER: Duration = Duration::from_secs(3_600);
    /// Number of VMs that get a gossip datagram in each tick that has updates to spread.
    pub const GOSSIP_FAN_OUT: usize = 2;
    /// Time after which an unanswered probe is repeated through other VMs.
    pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
    /// Time between two probes that a VM sends.
    pub const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
    /// Time without an answer to any VM of the local region after which a region is unreachable.
    pub const REGION_TIMEOUT: Duration = Duration::from_secs(6);
    /// Time without any datagram after which a VM assumes that it is itself partitioned or was
    /// suspended.
    pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);
    /// Time that a suspect has to refute the suspicion. It is not shorter than
    /// [`VmMembership::ISOLATION_TIMEOUT`], so that a VM that was suspended while a suspect refuted
    /// notices its own isolation before the suspicion expires.
    pub const SUSPICION_TIMEOUT: Duration = Self::ISOLATION_TIMEOUT;
    /// Time between two calls of [`VmMembership::tick`] that start a new round.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(500);

    /// Number of rounds between two removals of VMs that have been dead for too long.
    const FORGET_EVERY_ROUNDS: u64 = 60;
    /// Number of rounds between two comparisons of digests with another VM.
    const SYNC_EVERY_ROUNDS: u64 = 20;

    /// Creates the membership of a VM that knows only its own record and the addresses of `seeds`.
    #[must_use]
    pub fn new(own: VmRecord, seeds: Vec<SocketAddr>, now: Duration, seed: u64) -> Self {
        Self {
            last_received: now,
            next_tick: now,
            prober: Prober::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            round: 0,
            seeds: SeedAddresses::new(own.peer, seeds),
            needs_sync: true,
            view: MembershipView::new(own),
        }
    }

    /// Adds addresses at which other VMs may be reached.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        seeds.iter().for_each(|seed| self.seeds.add(*seed));
    }

    /// Returns the time when [`VmMembership::tick`] is next due.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        let due = self.prober.indirect_probe_due();
        due.map_or(self.next_tick, |due| due.min(self.next_tick))
    }

    /// Iterates over all known VMs, dead and unreachable ones included.
    pub fn entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.view.table.entries()
    }

    /// Returns the health of a VM, which is `Unreachable` if it is not dead but its region does not
    /// answer.
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

    /// Returns the entry of a VM, if it is known.
    #[must_use]
    pub fn get(&self, vm: &VmId) -> Option<&VmEntry> {
        self.view.table.get(vm)
    }

    /// Applies the platform's list of VMs. The list lags: an unknown VM is only contacted, and
    /// `leaving` holds until the VM restarts or the list says otherwise.
    pub fn apply_hints(&mut self, hints: &[VmHint]) {
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

    /// Returns whether a region has answered within [`VmMembership::REGION_TIMEOUT`]; the local
    /// region always has.
    #[must_use]
    pub fn is_reachable(&self, now: Duration, region: &str) -> bool {
        self.view.contacts.is_reachable(now, region)
    }

    /// Announces that this VM takes no new work, and returns the datagrams that spread it.
    pub fn leave(&mut self, now: Duration) -> Vec<MembershipOutput> {
        self.view.own.leaving = true;
        self.view.announce(now);
        self.view
            .gossip(now, 2 * Self::GOSSIP_FAN_OUT, &mut self.rng)
    }

    /// Iterates over the unsuspected VMs of reachable regions, including this VM and leaving ones.
    /// If this VM is isolated, only it is returned.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &VmEntry> {
        let is_isolated = self.is_isolated(now);
        self.view
            .table
            .entries()
            .filter(|entry| entry.state == VmState::Alive)
            .filter(move |entry| !is_isolated || entry.record.vm == self.view.own.vm)
            .filter(move |entry| self.is_reachable(now, &entry.record.region))
    }

    /// Returns the inputs that [`Self::live`] depends on, to tell whether a cached result is still
    /// valid.
    #[must_use]
    pub fn liveness_snapshot(&self, now: Duration) -> LivenessSnapshot {
        let regions = self.view.table.regions();
        LivenessSnapshot {
            is_isolated: self.is_isolated(now),
            reachable: regions
                .map(|region| self.is_reachable(now, region))
                .collect(),
            revision: self.view.table.revision(),
        }
    }

    /// Returns this VM's own record.
    #[must_use]
    pub fn own_record(&self) -> &VmRecord {
        &self.view.own
    }

    /// Processes a datagram from another VM.
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
        if self.is_isolated(now) {
            self.recover_from_isolation(now);
        }
        self.last_received = now;
        let is_sync_reply = matches!(body, MembershipBody::Records { .. });
        let peer_version = self.view.detect_peer_difference(&from, withdrawals);
        self.view
            .merge_update(now, &MembershipUpdate::Alive(from.clone()), true);
        for update in &updates {
            let fresh = self.view.merge_update(now, update, !is_sync_reply);
            self.needs_sync |= fresh && is_sync_reply;
        }
        if from.region == self.view.own.region {
            self.view.contacts.merge(now, &contacts);
        }
        let mut outputs = self.handle_body(now, &from, body);
        outputs.extend(peer_version);
        outputs
    }

    /// Returns a number that grows with each change of the table, by which a caller can tell
    /// whether a result derived from it is still valid. It does not cover the reachability of
    /// regions, which changes with time alone.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.view.table.revision()
    }

    /// Sets where this VM takes forwarded requests, if it takes any now, and spreads a change at once.
    pub fn set_forwards(
        &mut self,
        now: Duration,
        forwards: Option<SocketAddr>,
    ) -> Vec<MembershipOutput> {
        if self.view.own.forwards == forwards {
            return Vec::new();
        }
        self.view.own.forwards = forwards;
        self.view.announce(now);
        self.view
            .gossip(now, 2 * Self::GOSSIP_FAN_OUT, &mut self.rng)
    }

    /// Sets whether callers may be sent to this VM, and spreads a change at once.
    pub fn set_takes_callers(&mut self, now: Duration, takes: bool) -> Vec<MembershipOutput> {
        if self.view.own.takes_callers == takes {
            return Vec::new();
        }
        self.view.own.takes_callers = takes;
        self.view.announce(now);
        self.view
            .gossip(now, 2 * Self::GOSSIP_FAN_OUT, &mut self.rng)
    }

    /// Sets how many times this VM's capacity is halved at present, and spreads a change at once.
    pub fn set_capacity_halvings(&mut self, now: Duration, halvings: u8) -> Vec<MembershipOutput> {
        if self.view.own.capacity_halvings == halvings {
            return Vec::new();
        }
        self.view.own.capacity_halvings = halvings;
        self.view.announce(now);
        self.view
            .gossip(now, 2 * Self::GOSSIP_FAN_OUT, &mut self.rng)
    }

    /// Sets the version of the configuration that this VM advertises.
    pub fn set_version(&mut self, version: Version) {
        self.view.set_version(version);
    }

    /// Sets the digest of withdrawn keys that this VM advertises.
    pub fn set_withdrawals(&mut self, digest: u64) {
        self.view.withdrawals = digest;
    }

    /// Carries out the probes, timeouts, gossip and comparison of tables that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<MembershipOutput> {
        let mut outputs = Vec::new();
        if let Some((vm, sent)) = self.prober.take_unanswered(now) {
            self.view
                .send_indirect_probes(now, &vm, sent, &mut self.rng, &mut outputs);
        }
        if now < self.next_tick {
            return outputs;
        }
        self.next_tick = now + Self::TICK_INTERVAL;
        self.round += 1;
        if self.round % 2 == 1 {
            self.finish_probe(now);
            self.declare_expired_suspects_dead(now);
            self.view.ping_suspects(now, &mut outputs);
            self.start_probe(now, &mut outputs);
            self.view.probe_regions(now, &mut self.rng, &mut outputs);
            self.ping_absent(now, &mut outputs);
        }
        if self.round.is_multiple_of(Self::FORGET_EVERY_ROUNDS) {
            self.view
                .table
                .forget_dead_before(now.saturating_sub(Self::FORGET_DEAD_AFTER));
        }
        if !self.view.updates.is_empty() {
            outputs.extend(self.view.gossip(now, Self::GOSSIP_FAN_OUT, &mut self.rng));
        }
        if self.needs_sync || self.round.is_multiple_of(Self::SYNC_EVERY_ROUNDS) {
            self.needs_sync = false;
            self.start_sync(now, &mut outputs);
        }
        outputs
    }

    /// Drops the open probe and all suspicions after a time without any datagram. Answers that
    /// other VMs sent meanwhile were lost. Without this, a VM that is resumed or reconnected would
    /// declare its suspects dead before they can refute; they are probed anew instead.
    fn recover_from_isolation(&mut self, now: Duration) {
        self.prober.finish();
        self.last_received = now;
        self.view.clear_suspicions();
    }

    /// Updates the state by the message's body, and returns the answers to it.
    fn handle_body(
        &mut self,
        now: Duration,
        from: &VmRecord,
        body: MembershipBody,
    ) -> Vec<MembershipOutput> {
        match body {
            MembershipBody::Ack { relay, sent_ms, vm } => {
                let Some(prober) = relay else {
                    self.receive_ack(now, sent_ms, &vm);
                    return Vec::new();
                };
                let relay = None;
                let body = MembershipBody::Ack { relay, sent_ms, vm };
                vec![self.view.build_message(now, prober, None, body)]
            }
            MembershipBody::Gossip | MembershipBody::Records { more: false } => Vec::new(),
            MembershipBody::Ping { relay, sent_ms } => {
                vec![self.view.answer_ping(now, from, relay, sent_ms)]
            }
            MembershipBody::PingRequest { sent_ms, target } => {
                let relay = Some(from.peer);
                let body = MembershipBody::Ping { relay, sent_ms };
                vec![self.view.build_message(now, target, None, body)]
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

    /// Declares suspects of the local region dead once their timeout is over. An isolated VM
    /// declares none dead, since it is itself the one that is cut off.
    fn declare_expired_suspects_dead(&mut self, now: Duration) {
        if self.is_isolated(now) {
            return;
        }
        for id in self.view.expired_suspects(now) {
            self.view
                .merge_update(now, &MembershipUpdate::Dead(id), true);
        }
    }

    /// Pings one VM that no regular probe covers: a seed address at which no known VM listens, or a
    /// dead VM of the local region, which may only have been cut off.
    fn ping_absent(&mut self, now: Duration, outputs: &mut Vec<MembershipOutput>) {
        const EVERY_ROUNDS: u64 = 10;
        let is_alone = self.view.table.present_count() <= 1;
        if !is_alone && self.round % EVERY_ROUNDS != 1 {
            return;
        }
        let dead = self
            .view
            .table
            .entries()
            .filter(|entry| entry.is_dead() && entry.record.region == self.view.own.region)
            .map(|entry| (Some(entry.record.vm.clone()), entry.record.peer));
        let unknown = self.seeds.unknown_addresses(&self.view.table);
        let unknown = unknown.into_iter().map(|seed| (None, seed));
        let mut absent: Vec<_> = dead.chain(unknown).collect();
        if absent.is_empty() {
            return;
        }
        let (vm, to) = absent.swap_remove(self.rng.random_range(0..absent.len()));
        if let Some(vm) = vm {
            self.view.queue_state_of(now, &vm);
        }
        self.view.ping(now, to, None, outputs);
    }

    /// Closes the open probe, and suspects its target if it has not answered.
    fn finish_probe(&mut self, now: Duration) {
        let Some(target) = self.prober.finish() else {
            return;
        };
        if !self.is_isolated(now) {
            self.view
                .merge_update(now, &MembershipUpdate::Suspect(target), true);
        }
    }

    /// Returns whether no VM has been heard for longer than [`VmMembership::ISOLATION_TIMEOUT`].
    fn is_isolated(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_received) > Self::ISOLATION_TIMEOUT
    }

    /// Opens the next probe and pings its target.
    fn start_probe(&mut self, now: Duration, outputs: &mut Vec<MembershipOutput>) {
        let started = self
            .prober
            .start_next(now, &self.view.table, &self.view.own, &mut self.rng);
        let Some(entry) = started.as_ref().and_then(|vm| self.view.table.get(vm)) else {
            return;
        };
        let VmRecord {
            peer, region, vm, ..
        } = entry.record.clone();
        self.view.queue_state_of(now, &vm);
        self.view.ping(now, peer, Some(&region), outputs);
    }

    /// Sends the digests of the table to a random VM, in three of four cases one of the local
    /// region. A VM that knows no other one sends them to a seed, and tries again at each tick
    /// until it knows one.
    fn start_sync(&mut self, now: Duration, outputs: &mut Vec<MembershipOutput>) {
        let picked = match self.rng.random_range(0..4) {
            0 => self.view.table.pick_any(&mut self.rng),
            _ => self
                .view
                .table
                .pick_in_region(&self.view.own.region, &mut self.rng),
        };
        let digests = self.view.table.digests();
        match picked.filter(|entry| entry.record.vm != self.view.own.vm) {
            Some(entry) => {
                let (to, region) = (entry.record.peer, entry.record.region.clone());
                let body = MembershipBody::Sync { digests };
                outputs.push(self.view.build_message(now, to, Some(&region), body));
            }
            None if self.view.table.present_count() > 1 => self.needs_sync = true,
            None => {
                self.needs_sync = true;
                let Some(to) = self.seeds.pick(&mut self.rng) else {
                    return;
                };
                let body = MembershipBody::Sync { digests };
                outputs.push(self.view.build_message(now, to, None, body));
            }
        }
    }

    /// Records the answer to a probe. It counts only within two probe intervals of the probe: an
    /// older answer does not show that the VM is alive now.
    fn receive_ack(&mut self, now: Duration, sent_ms: u64, vm: &VmId) {
        if millis(now).saturating_sub(sent_ms) > millis(2 * Self::PROBE_INTERVAL) {
            return;
        }
        self.prober.record_answer(vm);
        let Some(entry) = self.view.table.get(vm) else {
            return;
        };
        self.view.contacts.record_answer(now, &entry.record.region);
    }
}
