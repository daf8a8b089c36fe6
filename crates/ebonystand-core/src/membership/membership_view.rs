use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg};

/// What a VM knows of the fleet, and the datagrams that carry it.
#[derive(Clone, Debug)]
pub(crate) struct MembershipView {
    pub(crate) contacts: RegionContacts,
    pub(crate) own: VmRecord,
    pub(crate) table: VmTable,
    pub(crate) updates: MembershipUpdates,
    pub(crate) withdrawals: u64,
}

impl MembershipView {
    /// News in a datagram, in bytes. Two probes, two answers and four datagrams of news a second
    /// each way stay below 10 KB a second with it, whatever happens in the fleet.
    const NEWS_BYTES: usize = 400;

    pub(crate) fn new(own: VmRecord) -> Self {
        let mut table = VmTable::default();
        table.merge(Duration::ZERO, &MembershipUpdate::Alive(own.clone()));
        Self {
            contacts: RegionContacts::new(own.region.clone()),
            own,
            table,
            updates: MembershipUpdates::default(),
            withdrawals: 0,
        }
    }

    /// Writes a new record of this VM and spreads it.
    pub(crate) fn announce(&mut self, now: Duration) {
        self.own.heartbeat += 1;
        let update = MembershipUpdate::Alive(self.own.clone());
        self.table.merge(now, &update);
        self.updates.push(now, update);
    }

    pub(crate) fn answer_ping(
        &mut self,
        now: Duration,
        from: &VmRecord,
        relay: Option<SocketAddr>,
        sent_ms: u64,
    ) -> MembershipOutput {
        let vm = self.own.vm.clone();
        let body = MembershipBody::Ack { relay, sent_ms, vm };
        self.tell_what_is_believed_of(now, &from.vm);
        self.message(now, from.peer, Some(&from.region), body)
    }

    pub(crate) fn answer_sync(
        &self,
        from: &VmRecord,
        digests: &[u8],
        rng: &mut Pcg64Mcg,
    ) -> Vec<MembershipOutput> {
        let mut differing = self.table.differing(digests);
        if differing.is_empty() {
            return Vec::new();
        }
        let start = rng.random_range(0..differing.len());
        differing.rotate_left(start);
        let updates = differing
            .iter()
            .flat_map(|bucket| self.table.updates_of(*bucket));
        let messages = MembershipMessage::records(&self.own, self.withdrawals, updates);
        let send = |message| MembershipOutput::Send {
            message: Box::new(message),
            to: from.peer,
        };
        messages.into_iter().map(send).collect()
    }

    pub(crate) fn ask_others(
        &mut self,
        now: Duration,
        target: &VmId,
        sent: Duration,
        rng: &mut Pcg64Mcg,
        outputs: &mut Vec<MembershipOutput>,
    ) {
        const ASKED_OTHERS: usize = 3;
        let Some(target_peer) = self.table.get(target).map(|entry| entry.record.peer) else {
            return;
        };
        for _ in 0..ASKED_OTHERS {
            let Some(other) = self.table.pick(&self.own.region, rng) else {
                return;
            };
            if other.record.vm == *target || other.record.vm == self.own.vm {
                continue;
            }
            let (to, region) = (other.record.peer, other.record.region.clone());
            let body = MembershipBody::PingRequest {
                sent_ms: millis(sent),
                target: target_peer,
            };
            outputs.push(self.message(now, to, Some(&region), body));
        }
    }

    /// Drops all suspicions of VMs of the own region.
    pub(crate) fn clear_suspicions(&mut self) {
        let suspects: Vec<_> = self
            .table
            .present(&self.own.region)
            .iter()
            .filter(|vm| self.suspect_since(vm).is_some())
            .cloned()
            .collect();
        for vm in suspects {
            if let Some(entry) = self.table.get_mut(&vm) {
                entry.state = VmState::Alive;
            }
        }
    }

    pub(crate) fn gossip(
        &mut self,
        now: Duration,
        fan_out: usize,
        rng: &mut Pcg64Mcg,
    ) -> Vec<MembershipOutput> {
        let mut outputs = Vec::new();
        for count in 0..fan_out {
            let picked = if count % 2 == 0 {
                self.table.pick_any(rng)
            } else {
                self.table.pick(&self.own.region, rng)
            };
            let Some(other) = picked.filter(|entry| entry.record.vm != self.own.vm) else {
                continue;
            };
            let (to, region) = (other.record.peer, other.record.region.clone());
            outputs.push(self.message(now, to, Some(&region), MembershipBody::Gossip));
        }
        outputs
    }

    pub(crate) fn heard_of(&self, from: &VmRecord, withdrawals: u64) -> Option<MembershipOutput> {
        let news = from.version > self.own.version || withdrawals != self.withdrawals;
        news.then(|| MembershipOutput::Heard {
            version: from.version,
            vm: from.vm.clone(),
            withdrawals,
        })
    }

    pub(crate) fn message(
        &mut self,
        now: Duration,
        to: SocketAddr,
        region: Option<&RegionId>,
        body: MembershipBody,
    ) -> MembershipOutput {
        let contacts = match region {
            Some(region) if *region == self.own.region => self.contacts.shared(now),
            Some(_) | None => Vec::new(),
        };
        let mut message = MembershipMessage {
            body,
            contacts,
            from: self.own.clone(),
            updates: Vec::new(),
            withdrawals: self.withdrawals,
        };
        let room = MembershipMessage::MAX_BYTES.saturating_sub(message.weight());
        let room = room.min(Self::NEWS_BYTES);
        message.updates = self.updates.take(now, room, self.times());
        MembershipOutput::Send {
            message: Box::new(message),
            to,
        }
    }

    /// VMs of the own region whose time to object is over.
    pub(crate) fn overdue_suspects(&self, now: Duration) -> Vec<VmMark> {
        self.table
            .present(&self.own.region)
            .iter()
            .filter(|vm| {
                self.suspect_since(vm)
                    .is_some_and(|since| now.saturating_sub(since) >= VmMembership::SUSPECT_FOR)
            })
            .filter_map(|vm| self.table.get(vm))
            .map(|entry| entry.record.mark())
            .collect()
    }

    pub(crate) fn ping(
        &mut self,
        now: Duration,
        to: SocketAddr,
        region: Option<&RegionId>,
        outputs: &mut Vec<MembershipOutput>,
    ) {
        let body = MembershipBody::Ping {
            relay: None,
            sent_ms: millis(now),
        };
        outputs.push(self.message(now, to, region, body));
    }

    /// Tells suspects of the own region what they are suspected of, and hears their objection from
    /// themselves. Left to gossip alone, one lost datagram in ten was enough that an objection
    /// came too late and a VM that answers was taken for dead.
    pub(crate) fn ping_suspects(&mut self, now: Duration, outputs: &mut Vec<MembershipOutput>) {
        const AT_ONCE: usize = 16;
        let suspects: Vec<_> = self
            .table
            .present(&self.own.region)
            .iter()
            .filter(|vm| self.suspect_since(vm).is_some())
            .filter_map(|vm| self.table.get(vm))
            .take(AT_ONCE)
            .map(|entry| entry.record.clone())
            .collect();
        for record in suspects {
            self.tell_what_is_believed_of(now, &record.vm);
            self.ping(now, record.peer, Some(&record.region), outputs);
        }
    }

    /// Pings a VM of another region, and of some regions that have not answered lately.
    pub(crate) fn probe_regions(
        &mut self,
        now: Duration,
        rng: &mut Pcg64Mcg,
        outputs: &mut Vec<MembershipOutput>,
    ) {
        const STALE_REGIONS_ASKED: usize = 3;
        let others: Vec<_> = self
            .table
            .regions()
            .filter(|region| **region != self.own.region)
            .cloned()
            .collect();
        if others.is_empty() {
            return;
        }
        let mut asked = BTreeSet::from([others[rng.random_range(0..others.len())].clone()]);
        let mut stale: Vec<_> = others
            .into_iter()
            .filter(|region| self.contacts.is_stale(now, region))
            .collect();
        for _ in 0..STALE_REGIONS_ASKED.min(stale.len()) {
            let index = rng.random_range(0..stale.len());
            asked.insert(stale.swap_remove(index));
        }
        for region in asked {
            let Some(entry) = self.table.pick(&region, rng) else {
                continue;
            };
            let to = entry.record.peer;
            self.ping(now, to, Some(&region), outputs);
        }
    }

    pub(crate) fn set_version(&mut self, version: Version) {
        self.own.version = version;
        if let Some(entry) = self.table.get_mut(&self.own.vm) {
            entry.record.version = version;
        }
    }

    /// Takes over news; whether it was new.
    pub(crate) fn take(&mut self, now: Duration, update: &MembershipUpdate, spread: bool) -> bool {
        if *update.vm() == self.own.vm {
            self.take_of_itself(now, update);
            return false;
        }
        let fresh = self.table.merge(now, update);
        if fresh && spread {
            self.updates.push(now, update.clone());
        }
        fresh
    }

    /// A VM that is taken for suspect or dead learns it with the next datagram, and objects.
    pub(crate) fn tell_what_is_believed_of(&mut self, now: Duration, vm: &VmId) {
        let Some(entry) = self.table.get(vm) else {
            return;
        };
        match entry.state {
            VmState::Alive => {}
            VmState::Dead { .. } => self
                .updates
                .push(now, MembershipUpdate::Dead(entry.record.mark())),
            VmState::Suspect { .. } => self
                .updates
                .push(now, MembershipUpdate::Suspect(entry.record.mark())),
        }
    }

    fn suspect_since(&self, vm: &str) -> Option<Duration> {
        match self.table.get(vm)?.state {
            VmState::Suspect { since } => Some(since),
            VmState::Alive | VmState::Dead { .. } => None,
        }
    }

    /// Objects to a suspicion, and rises above records of an earlier start of this VM, also when
    /// its wall clock, which the incarnation is taken from, went back in between.
    fn take_of_itself(&mut self, now: Duration, update: &MembershipUpdate) {
        let (age, alive) = match update {
            MembershipUpdate::Alive(record) => (record.age(), *record == self.own),
            MembershipUpdate::Dead(mark) | MembershipUpdate::Suspect(mark) => (mark.age(), false),
        };
        let same =
            matches!(update, MembershipUpdate::Alive(record) if record.age() == self.own.age());
        if age < self.own.age() || alive || same {
            return;
        }
        if age.0 > self.own.incarnation {
            self.own.incarnation = age.0 + 1;
        }
        self.own.heartbeat = self.own.heartbeat.max(age.1);
        self.announce(now);
    }

    /// Copies of each piece of news that this VM sends: enough that all get it with high
    /// probability, and growing with the logarithm of the fleet only.
    fn times(&self) -> u32 {
        const FACTOR: u32 = 3;
        FACTOR * (self.table.present_count() as u64 + 1).ilog2().max(1)
    }
}
