use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg};

/// One VM's view of the fleet, and the gossip datagrams built from it.
#[derive(Clone, Debug)]
pub(crate) struct MembershipView {
    pub(crate) contacts: RegionContacts,
    pub(crate) own: VmRecord,
    pub(crate) table: VmTable,
    pub(crate) updates: UpdateQueue,
    pub(crate) withdrawals: u64,
}

impl MembershipView {
    /// Maximum size of the updates in one datagram, in bytes. With it, the two probes, two answers
    /// and four gossip datagrams that a VM sends and receives each second stay below 10 KB a
    /// second, whatever happens in the fleet.
    const MAX_UPDATE_BYTES: usize = 400;

    pub(crate) fn new(own: VmRecord) -> Self {
        let mut table = VmTable::default();
        table.merge(Duration::ZERO, &MembershipUpdate::Alive(own.clone()));
        Self {
            contacts: RegionContacts::new(own.region.clone()),
            own,
            table,
            updates: UpdateQueue::default(),
            withdrawals: 0,
        }
    }

    /// Publishes a new record of this VM and queues it for gossip.
    pub(crate) fn announce(&mut self, now: Duration) {
        self.own.heartbeat += 1;
        let update = MembershipUpdate::Alive(self.own.clone());
        self.table.merge(now, &update);
        self.updates.push(now, update);
    }

    /// Builds the answer to a ping from `from`, along with any suspicion held against `from`.
    pub(crate) fn answer_ping(
        &mut self,
        now: Duration,
        from: &VmRecord,
        relay: Option<SocketAddr>,
        sent_ms: u64,
    ) -> MembershipOutput {
        let vm = self.own.vm.clone();
        let body = MembershipBody::Ack { relay, sent_ms, vm };
        self.queue_state_of(now, &from.vm);
        self.build_message(now, from.peer, Some(&from.region), body)
    }

    /// Builds the datagrams that bring `from` up to date in the buckets that differ from its
    /// digests.
    ///
    /// They start at a random bucket, so that repeated answers cover all of them even if one answer
    /// holds only some.
    pub(crate) fn answer_sync(
        &self,
        from: &VmRecord,
        digests: &[u8],
        rng: &mut Pcg64Mcg,
    ) -> Vec<MembershipOutput> {
        let mut differing = self.table.differing_buckets(digests);
        if differing.is_empty() {
            return Vec::new();
        }
        let start = rng.random_range(0..differing.len());
        differing.rotate_left(start);
        let updates = differing
            .iter()
            .flat_map(|bucket| self.table.bucket_updates(*bucket));
        let messages = MembershipMessage::split_records(&self.own, self.withdrawals, updates);
        let send = |message| MembershipOutput::Send {
            message: Box::new(message),
            to: from.peer,
        };
        messages.into_iter().map(send).collect()
    }

    /// Asks up to three other VMs of the local region to ping `target`, which has not answered this
    /// VM.
    pub(crate) fn send_indirect_probes(
        &mut self,
        now: Duration,
        target: &VmId,
        sent: Duration,
        rng: &mut Pcg64Mcg,
        outputs: &mut Vec<MembershipOutput>,
    ) {
        const INDIRECT_PROBES: usize = 3;
        let Some(target_peer) = self.table.get(target).map(|entry| entry.record.peer) else {
            return;
        };
        for _ in 0..INDIRECT_PROBES {
            let Some(other) = self.table.pick_in_region(&self.own.region, rng) else {
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
            outputs.push(self.build_message(now, to, Some(&region), body));
        }
    }

    /// Clears the suspicion against every VM of the local region.
    pub(crate) fn clear_suspicions(&mut self) {
        let suspects: Vec<_> = self
            .table
            .present_in_region(&self.own.region)
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

    /// Builds update datagrams for up to `fan_out` random VMs, alternately of any region and of the
    /// local region.
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
                self.table.pick_in_region(&self.own.region, rng)
            };
            let Some(other) = picked.filter(|entry| entry.record.vm != self.own.vm) else {
                continue;
            };
            let (to, region) = (other.record.peer, other.record.region.clone());
            outputs.push(self.build_message(now, to, Some(&region), MembershipBody::Gossip));
        }
        outputs
    }

    /// Returns a [`MembershipOutput::PeerVersion`] if the peer has a newer configuration or another
    /// set of withdrawn keys.
    pub(crate) fn detect_peer_difference(
        &self,
        from: &VmRecord,
        withdrawals: u64,
    ) -> Option<MembershipOutput> {
        let differs = from.version > self.own.version || withdrawals != self.withdrawals;
        differs.then(|| MembershipOutput::PeerVersion {
            version: from.version,
            vm: from.vm.clone(),
            withdrawals,
        })
    }

    /// Builds a datagram with as many queued updates as fit. `region` is the receiver's, if known;
    /// only receivers in the local region get `contacts`.
    pub(crate) fn build_message(
        &mut self,
        now: Duration,
        to: SocketAddr,
        region: Option<&RegionId>,
        body: MembershipBody,
    ) -> MembershipOutput {
        let contacts = match region {
            Some(region) if *region == self.own.region => self.contacts.recent(now),
            Some(_) | None => Vec::new(),
        };
        let mut message = MembershipMessage {
            body,
            contacts,
            from: self.own.clone(),
            updates: Vec::new(),
            withdrawals: self.withdrawals,
        };
        let room = MembershipMessage::MAX_BYTES.saturating_sub(message.max_encoded_len());
        let room = room.min(Self::MAX_UPDATE_BYTES);
        message.updates = self.updates.take_batch(now, room, self.transmit_limit());
        MembershipOutput::Send {
            message: Box::new(message),
            to,
        }
    }

    /// Returns the suspects of the local region whose [`VmMembership::SUSPICION_TIMEOUT`] is over.
    pub(crate) fn expired_suspects(&self, now: Duration) -> Vec<VmRecordId> {
        self.table
            .present_in_region(&self.own.region)
            .iter()
            .filter(|vm| {
                self.suspect_since(vm).is_some_and(|since| {
                    now.saturating_sub(since) >= VmMembership::SUSPICION_TIMEOUT
                })
            })
            .filter_map(|vm| self.table.get(vm))
            .map(|entry| entry.record.id())
            .collect()
    }

    /// Pings the VM at `to` directly.
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
        outputs.push(self.build_message(now, to, region, body));
    }

    /// Pings suspects of the local region and tells them of the suspicion, so that they can refute
    /// it directly to this VM. With gossip alone, the loss of one datagram in ten delays a
    /// refutation beyond the timeout, and a VM that answers is declared dead.
    pub(crate) fn ping_suspects(&mut self, now: Duration, outputs: &mut Vec<MembershipOutput>) {
        const MAX_SUSPECTS: usize = 16;
        let suspects: Vec<_> = self
            .table
            .present_in_region(&self.own.region)
            .iter()
            .filter(|vm| self.suspect_since(vm).is_some())
            .filter_map(|vm| self.table.get(vm))
            .take(MAX_SUSPECTS)
            .map(|entry| entry.record.clone())
            .collect();
        for record in suspects {
            self.queue_state_of(now, &record.vm);
            self.ping(now, record.peer, Some(&record.region), outputs);
        }
    }

    /// Pings a VM of one random other region, and of up to three regions without a recent answer.
    pub(crate) fn probe_regions(
        &mut self,
        now: Duration,
        rng: &mut Pcg64Mcg,
        outputs: &mut Vec<MembershipOutput>,
    ) {
        const MAX_STALE_REGIONS: usize = 3;
        let others: Vec<_> = self
            .table
            .regions()
            .filter(|region| **region != self.own.region)
            .cloned()
            .collect();
        if others.is_empty() {
            return;
        }
        let mut probed = BTreeSet::from([others[rng.random_range(0..others.len())].clone()]);
        let mut stale: Vec<_> = others
            .into_iter()
            .filter(|region| self.contacts.is_stale(now, region))
            .collect();
        for _ in 0..MAX_STALE_REGIONS.min(stale.len()) {
            let index = rng.random_range(0..stale.len());
            probed.insert(stale.swap_remove(index));
        }
        for region in probed {
            let Some(entry) = self.table.pick_in_region(&region, rng) else {
                continue;
            };
            let to = entry.record.peer;
            self.ping(now, to, Some(&region), outputs);
        }
    }

    /// Sets the version of the configuration in this VM's record, without publishing a new record.
    pub(crate) fn set_version(&mut self, version: Version) {
        self.own.version = version;
        if let Some(entry) = self.table.get_mut(&self.own.vm) {
            entry.record.version = version;
        }
    }

    /// Merges an update into the table, and returns whether it was new. A new update is queued for
    /// gossip if `propagate` is set; an update about this VM is refuted instead if needed.
    pub(crate) fn merge_update(
        &mut self,
        now: Duration,
        update: &MembershipUpdate,
        propagate: bool,
    ) -> bool {
        if *update.vm() == self.own.vm {
            self.refute(now, update);
            return false;
        }
        let fresh = self.table.merge(now, update);
        if fresh && propagate {
            self.updates.push(now, update.clone());
        }
        fresh
    }

    /// Queues the suspicion or death recorded against `vm`, so that the next datagram to it carries
    /// the update and `vm` can refute it.
    pub(crate) fn queue_state_of(&mut self, now: Duration, vm: &VmId) {
        let Some(entry) = self.table.get(vm) else {
            return;
        };
        match entry.state {
            VmState::Alive => {}
            VmState::Dead { .. } => self
                .updates
                .push(now, MembershipUpdate::Dead(entry.record.id())),
            VmState::Suspect { .. } => self
                .updates
                .push(now, MembershipUpdate::Suspect(entry.record.id())),
        }
    }

    /// Returns the time since which `vm` is a suspect, if it is one.
    fn suspect_since(&self, vm: &str) -> Option<Duration> {
        match self.table.get(vm)?.state {
            VmState::Suspect { since } => Some(since),
            VmState::Alive | VmState::Dead { .. } => None,
        }
    }

    /// Publishes a newer record if `update` supersedes this VM's record: it refutes a suspicion or
    /// a death, and supersedes records of an earlier start of this VM. The latter matters when the
    /// wall clock, from which the incarnation is taken, went back between the two starts.
    fn refute(&mut self, now: Duration, update: &MembershipUpdate) {
        let (epoch, alive) = match update {
            MembershipUpdate::Alive(record) => (record.epoch(), *record == self.own),
            MembershipUpdate::Dead(id) | MembershipUpdate::Suspect(id) => (id.epoch(), false),
        };
        let same =
            matches!(update, MembershipUpdate::Alive(record) if record.epoch() == self.own.epoch());
        if epoch < self.own.epoch() || alive || same {
            return;
        }
        if epoch.0 > self.own.incarnation {
            self.own.incarnation = epoch.0 + 1;
        }
        self.own.heartbeat = self.own.heartbeat.max(epoch.1);
        self.announce(now);
    }

    /// Returns the number of times that this VM transmits each update: enough to reach every VM
    /// with high probability, and logarithmic in the size of the fleet.
    fn transmit_limit(&self) -> u32 {
        const TRANSMIT_MULTIPLIER: u32 = 3;
        TRANSMIT_MULTIPLIER * (self.table.present_count() as u64 + 1).ilog2().max(1)
    }
}
