//! Deterministic simulation of a few replicas with in-memory disks and links, driven by one seed.

use {
    super::{
        node::{Batch, Node},
        observer::Observer,
    },
    ebonystand_core::{
        DurableState, LogPayload, MemberId, ProposalId, Replica, ReplicaConfig, ReplicaInput,
        ReplicaMessage, ReplicaMessageBody, ReplicaOutput, ReplicaRole, VmId,
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Simulated time between two steps.
const TICK: Duration = Duration::from_millis(5);

struct InFlightMessage {
    at: Duration,
    from: MemberId,
    message: ReplicaMessage,
    to: VmId,
}

/// Probabilities of link faults, in permille of the messages.
#[derive(Default)]
pub struct LinkFaults {
    pub duplicated: u32,
    pub late: u32,
    pub lost: u32,
    pub reordered: u32,
}

pub struct Net {
    /// Pairs of sender and receiver whose messages are dropped.
    pub cut_links: BTreeSet<(VmId, VmId)>,
    in_flight: Vec<InFlightMessage>,
    members: BTreeSet<VmId>,
    next_id: u64,
    pub nodes: BTreeMap<VmId, Node>,
    pub now: Duration,
    pub observer: Observer,
    /// Commands that wait for their result, by VM and proposal.
    open_proposals: BTreeMap<(VmId, ProposalId), Vec<u8>>,
    pub rng: Pcg64Mcg,
    /// Protocol events seen since a cell last cleared the set.
    pub events_seen: BTreeSet<&'static str>,
    pub link_faults: LinkFaults,
}

impl Net {
    pub fn new(vms: &[&str], seed: u64) -> Self {
        let mut net = Self {
            cut_links: BTreeSet::new(),
            in_flight: Vec::new(),
            members: vms.iter().map(|vm| VmId::from(*vm)).collect(),
            next_id: 0,
            nodes: BTreeMap::new(),
            now: Duration::ZERO,
            observer: Observer::default(),
            open_proposals: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            events_seen: BTreeSet::new(),
            link_faults: LinkFaults::default(),
        };
        vms.iter().for_each(|vm| net.add(&VmId::from(*vm)));
        net
    }

    /// Starts a VM with an empty disk.
    pub fn add(&mut self, vm: &VmId) {
        let node = Node {
            applied: 0,
            disk: DurableState::empty(self.rng.random()),
            frozen: false,
            replica: None,
            state: Vec::new(),
            clock_permille: self.rng.random_range(970..=1_030),
            unsynced: Vec::new(),
        };
        self.nodes.insert(vm.clone(), node);
        self.start(vm);
    }

    /// Returns the leader of the newest term among the running replicas, whether or not a majority
    /// still follows it.
    pub fn leader(&self) -> Option<VmId> {
        self.nodes
            .iter()
            .filter_map(|(vm, node)| Some((vm, node.replica.as_ref()?.status())))
            .filter(|(_, status)| status.role == ReplicaRole::Leader)
            .max_by_key(|(_, status)| status.term)
            .map(|(vm, _)| vm.clone())
    }

    pub fn node(&mut self, vm: &VmId) -> &mut Node {
        self.nodes.get_mut(vm).expect("a VM of the net")
    }

    /// Stops a process. The first `torn` unsynced records survive on disk.
    pub fn kill(&mut self, vm: &VmId, torn: usize) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        node.replica = None;
        node.frozen = false;
        let unsynced = std::mem::take(&mut node.unsynced);
        let records = unsynced.into_iter().flat_map(|batch| batch.records);
        records
            .take(torn)
            .for_each(|record| node.disk.apply(record));
        self.open_proposals.retain(|(from, _), _| from != vm);
    }

    pub fn start(&mut self, vm: &VmId) {
        let seed = self.rng.random();
        let now = self.now;
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        let id = MemberId {
            incarnation: node.disk.incarnation,
            vm: vm.clone(),
        };
        let cfg = ReplicaConfig {
            snapshot_threshold: 12,
            id,
            ..ReplicaConfig::new(vm.clone(), self.members.clone())
        };
        node.state.clear();
        node.replica = Some(Replica::new(cfg, node.disk.clone(), node.clock(now), seed));
    }

    /// Requests a read barrier from every replica that considers itself the leader.
    fn request_reads(&mut self) {
        self.next_id += 1;
        let id = self.next_id;
        self.observer.record_read_request(id);
        for vm in self.nodes.keys().cloned().collect::<Vec<_>>() {
            let leads = self.nodes[&vm]
                .replica
                .as_ref()
                .is_some_and(|replica| replica.status().role == ReplicaRole::Leader);
            if leads {
                self.input(&vm, ReplicaInput::ReadBarrier { id });
            }
        }
    }

    /// Proposes a command to the leader.
    pub fn propose(&mut self) {
        let Some(vm) = self.leader() else {
            return;
        };
        self.next_id += 1;
        let id = self.next_id;
        // Large enough that a snapshot takes several chunks.
        let command = format!("{id:1000}").into_bytes();
        self.open_proposals
            .insert((vm.clone(), id), command.clone());
        let command = command.into();
        self.input(&vm, ReplicaInput::Propose { command, id });
    }

    /// Advances time until `until` holds, for at most `time`; returns whether it held. Proposes a
    /// command every `every` ticks.
    pub fn run(
        &mut self,
        time: Duration,
        every: u32,
        mut until: impl FnMut(&Self) -> bool,
    ) -> bool {
        let end = self.now + time;
        let mut tick = 0;
        while self.now < end {
            tick += 1;
            if tick % every == 0 {
                self.propose();
                self.request_reads();
            }
            self.tick();
            if until(self) {
                return true;
            }
        }
        false
    }

    /// Returns whether all VMs run, are voters and have applied the whole log.
    pub fn has_converged(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let Some(status) = self.nodes[&leader].replica.as_ref().map(Replica::status) else {
            return false;
        };
        let ids: BTreeSet<_> = self.nodes.iter().map(|(vm, node)| node.id(vm)).collect();
        status.members.voters == ids
            && status.members.learners.is_empty()
            && self.nodes.values().all(|node| {
                node.applied == status.last_position.index && node.replica.is_some() && !node.frozen
            })
    }

    /// Asserts that every state contains all acknowledged commands.
    pub fn assert_states(&self) {
        for (vm, node) in &self.nodes {
            self.observer
                .assert_holds_acknowledged(&node.id(vm), node.applied, &node.state);
        }
    }

    pub fn input(&mut self, vm: &VmId, input: ReplicaInput) {
        self.inputs(vm, vec![input]);
    }

    /// Delivers due messages: those for one VM go into one step, and those for a frozen VM wait.
    fn deliver(&mut self) {
        let (due, rest): (Vec<_>, _) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.at <= self.now && !self.nodes[&message.to].frozen);
        self.in_flight = rest;
        let mut inputs: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for InFlightMessage {
            from, message, to, ..
        } in due
        {
            let input = ReplicaInput::Message { from, message };
            inputs.entry(to).or_default().push(input);
        }
        for (vm, inputs) in inputs {
            self.inputs(&vm, inputs);
        }
    }

    fn inputs(&mut self, vm: &VmId, inputs: Vec<ReplicaInput>) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        let clock = node.clock(now);
        let outputs = match &mut node.replica {
            Some(replica) if !node.frozen => replica.step_all(clock, inputs),
            _ => return,
        };
        outputs
            .into_iter()
            .for_each(|output| self.handle_output(vm, output));
    }

    fn handle_output(&mut self, vm: &VmId, output: ReplicaOutput) {
        let now = self.now;
        let sync = Duration::from_millis(self.rng.random_range(1..60));
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        let id = node.id(vm);
        match output {
            ReplicaOutput::Commit { entry } => {
                self.observer.record_commit(&id, &entry);
                node.applied = entry.position.index;
                if let LogPayload::Command(command) = &entry.payload {
                    node.state.push((node.applied, command.to_vec()));
                }
            }
            ReplicaOutput::InstallSnapshot { snapshot } => {
                node.applied = snapshot.position.index;
                node.state = postcard::from_bytes(&snapshot.state).unwrap_or_default();
                self.observer.record_installed(&id, node.applied);
                self.observer
                    .assert_holds_acknowledged(&id, node.applied, &node.state);
            }
            ReplicaOutput::Persist { records, token } => node.unsynced.push(Batch {
                records,
                synced_at: now + sync,
                token,
            }),
            ReplicaOutput::ProposalDone { id, result } => {
                let command = self.open_proposals.remove(&(vm.clone(), id));
                if let (Ok(index), Some(command)) = (result, command) {
                    self.observer.record_acknowledged(index, &command);
                }
            }
            ReplicaOutput::ReadBarrierDone { id: read, result } => {
                if let Ok(index) = result {
                    assert!(node.applied >= index);
                    self.observer.record_read(&id, read, index);
                }
            }
            ReplicaOutput::RoleChanged { role, .. } => {
                if matches!(role, ReplicaRole::Candidate | ReplicaRole::PreCandidate) {
                    self.events_seen.insert("candidate");
                }
            }
            ReplicaOutput::Send { message, to } => self.send(&id, &to, &message),
            ReplicaOutput::TakeSnapshot { index } => {
                self.events_seen.insert("snapshot");
                let state = postcard::to_stdvec(&node.state).expect("a vector").into();
                self.input(vm, ReplicaInput::SnapshotTaken { index, state });
            }
        }
    }

    /// Puts a message on the network, subject to cut links and link faults.
    fn send(&mut self, from: &MemberId, to: &VmId, message: &ReplicaMessage) {
        match &message.body {
            ReplicaMessageBody::Append { entries, .. } if !entries.is_empty() => {
                self.events_seen.insert("append");
                if entries
                    .iter()
                    .any(|entry| matches!(entry.payload, LogPayload::Members(_)))
                {
                    self.events_seen.insert("members");
                }
            }
            ReplicaMessageBody::SnapshotChunk { .. } => {
                self.events_seen.insert("chunk");
            }
            _ => {}
        }
        let LinkFaults {
            duplicated,
            late,
            lost,
            reordered,
        } = self.link_faults;
        let mut happens = |permille| self.rng.random_range(0..1_000) < permille;
        if self.cut_links.contains(&(from.vm.clone(), to.clone())) || happens(lost) {
            return;
        }
        let copies = 1 + u32::from(happens(duplicated));
        for _ in 0..copies {
            let mut millis = self.rng.random_range(8..12);
            if self.rng.random_range(0..1_000) < reordered {
                millis += self.rng.random_range(0..200);
            }
            if self.rng.random_range(0..1_000) < late {
                millis += self.rng.random_range(1_500..4_000);
            }
            self.in_flight.push(InFlightMessage {
                at: self.now + Duration::from_millis(millis),
                from: from.clone(),
                message: message.clone(),
                to: to.clone(),
            });
        }
    }

    fn sync_disk(&mut self, vm: &VmId) {
        let now = self.now;
        while let Some(node) = self.nodes.get_mut(vm) {
            let due = node.unsynced.first().is_some_and(|b| b.synced_at <= now);
            if node.frozen || !due {
                return;
            }
            let batch = node.unsynced.remove(0);
            batch
                .records
                .into_iter()
                .for_each(|record| node.disk.apply(record));
            let token = batch.token;
            self.input(vm, ReplicaInput::Persisted { token });
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.deliver();
        for vm in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.sync_disk(&vm);
            let node = &self.nodes[&vm];
            let due = node.clock(self.now);
            if node.replica.as_ref().is_some_and(|r| r.deadline() <= due) {
                self.input(&vm, ReplicaInput::Tick);
            }
        }
        let leaders: Vec<_> = self
            .nodes
            .iter()
            .filter_map(|(vm, node)| {
                let replica = node.replica.as_ref()?;
                let status = replica.status();
                let lease = replica.holds_lease(node.clock(self.now));
                (status.role == ReplicaRole::Leader).then(|| (node.id(vm), status.term, lease))
            })
            .collect();
        self.observer.record_leaders(&leaders);
    }
}
