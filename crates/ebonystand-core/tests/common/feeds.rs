//! Simulated fleet of VMs that distribute the configuration over a network that loses, duplicates
//! and reorders messages. VM 0 is the only member of the log and its leader.

use {
    ebonystand_core::{
        Catalog, Change, ChangeOutcome, ChangeRequest, Document, Feed, FeedInput, FeedMessage,
        FeedOutput, Key, KeyHash, Version, VmId, Withdrawals, Workspace,
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Step of the simulated clock.
pub const STEP: Duration = Duration::from_millis(50);

/// VM of the simulated fleet.
pub struct Vm {
    pub catalog: Catalog,
    pub feed: Feed,
    /// Highest version that the VM had in force while it was ready, kept over restarts.
    pub highest_served: Version,
}

/// Link of a VM, which carries one message after another in each direction.
#[derive(Clone)]
pub struct Link {
    pub bytes_per_s: f64,
    /// Time when the inbound direction is next idle.
    free_in: Duration,
    /// Time when the outbound direction is next idle.
    free_out: Duration,
}

/// VMs, their network and the observer that checks each version in force.
pub struct FeedFleet {
    /// Bytes sent by all VMs.
    pub bytes: u64,
    /// Pairs of VMs that cannot reach each other in either direction.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Document of each version on the log's member.
    pub history: BTreeMap<Version, Document>,
    /// Links of the VMs; empty if they have unlimited bandwidth.
    pub links: Vec<Link>,
    /// Probability that a message is lost, and that it is duplicated.
    pub loss: f64,
    /// Number of messages sent by each VM.
    pub messages: Vec<u64>,
    pub now: Duration,
    pub rng: Pcg64Mcg,
    pub vms: Vec<Vm>,
    /// Messages by time of arrival, with sender and receiver.
    in_flight: Vec<(Duration, usize, usize, FeedMessage)>,
}

pub fn name(vm: usize) -> VmId {
    format!("vm-{vm:04}").into()
}

pub fn put_workspace(id: &str, rate: u64) -> Change {
    Change::PutWorkspace {
        id: id.into(),
        workspace: Workspace {
            burst: 10,
            home: "r0".into(),
            rate,
            residency: BTreeSet::from(["r0".into()]),
        },
    }
}

pub fn give_key(id: &str, workspace: &str) -> Change {
    Change::GiveKey {
        id: id.into(),
        key: Key {
            hash: KeyHash::from_secret(id),
            withdrawn: false,
            workspace: workspace.into(),
        },
    }
}

impl Link {
    pub fn new(megabits_per_s: f64) -> Self {
        Self {
            bytes_per_s: megabits_per_s * 1e6 / 8.0,
            free_in: Duration::ZERO,
            free_out: Duration::ZERO,
        }
    }

    /// Returns the time when `bytes` that enter the link at `at` have passed it, in the direction
    /// whose idle time `free` selects.
    fn carry(
        &mut self,
        at: Duration,
        bytes: u64,
        free: fn(&mut Self) -> &mut Duration,
    ) -> Duration {
        let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let free = free(self);
        *free = at.max(*free) + takes;
        *free
    }
}

impl FeedFleet {
    pub fn new(count: usize, seed: u64) -> Self {
        let vms = (0..count).map(|vm| Self::new_vm(vm, Catalog::default(), Duration::ZERO, seed));
        let mut feeds = Self {
            bytes: 0,
            cut_links: BTreeSet::new(),
            in_flight: Vec::new(),
            history: BTreeMap::new(),
            links: Vec::new(),
            loss: 0.0,
            messages: vec![0; count],
            now: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            vms: vms.collect(),
        };
        (0..count).for_each(|vm| feeds.set_peers(vm));
        feeds.change(Change::PutRegion {
            id: "r0".into(),
            region: Default::default(),
        });
        feeds
    }

    /// Applies a change on the log's member; a faulty one changes nothing.
    pub fn change(&mut self, change: Change) {
        let version = self.vms[0].catalog.version();
        let req = ChangeRequest {
            change: change.clone(),
            expected_version: Some(version),
            request_id: format!("{version}-{}", self.now.as_millis()).into(),
        };
        let ChangeOutcome::Accepted { version } = self.vms[0].catalog.apply(&req) else {
            return;
        };
        let document = self.vms[0].catalog.document().clone();
        self.history.insert(version, document);
        let change = ebonystand_core::AcceptedChange { change, version };
        self.input(0, FeedInput::Committed { change });
    }

    /// Passes an input to a VM's feed, and carries out the outputs.
    pub fn input(&mut self, vm: usize, input: FeedInput) {
        let Vm { catalog, feed, .. } = &mut self.vms[vm];
        let outputs = feed.step(self.now, catalog.document(), input);
        for output in outputs {
            self.output(vm, output);
        }
        self.check_version_in_force(vm);
    }

    /// Advances the simulation by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let due: Vec<_> = self
                .in_flight
                .extract_if(.., |(at, ..)| *at <= now)
                .collect();
            for (_, from, to, message) in due {
                let from = name(from);
                self.input(to, FeedInput::Message { from, message });
            }
            for vm in 0..self.vms.len() {
                if self.vms[vm].feed.deadline() <= self.now {
                    self.gossip(vm);
                    self.input(vm, FeedInput::Tick);
                }
            }
        }
    }

    /// Restarts a VM that has no disk.
    pub fn restart(&mut self, vm: usize) {
        let highest_served = self.vms[vm].highest_served;
        let seed = self.rng.random();
        self.vms[vm] = Self::new_vm(vm, Catalog::default(), self.now, seed);
        self.vms[vm].highest_served = highest_served;
        self.set_peers(vm);
    }

    pub fn version(&self, vm: usize) -> Version {
        self.vms[vm].catalog.version()
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_links.contains(&(from, to)) || self.cut_links.contains(&(to, from))
    }

    /// Simulates gossip: tells a VM the version of another random VM.
    fn gossip(&mut self, vm: usize) {
        let other = self.rng.random_range(0..self.vms.len());
        if other == vm || self.is_cut(vm, other) || self.rng.random_bool(self.loss) {
            return;
        }
        let withdrawals = Withdrawals::digest(self.vms[other].feed.withdrawals());
        let input = FeedInput::PeerVersion {
            version: self.version(other),
            vm: name(other),
            withdrawals,
        };
        self.input(vm, input);
    }

    /// Tells a VM its live peers, a third of which are in its region, and whether it leads the log.
    fn set_peers(&mut self, vm: usize) {
        let all = (0..self.vms.len()).filter(|other| *other != vm);
        let (near, far) = all.partition(|other| other % 3 == vm % 3);
        let names = |vms: Vec<usize>| vms.into_iter().map(name).collect();
        let input = FeedInput::Peers {
            far: names(far),
            near: names(near),
        };
        self.input(vm, input);
        let leading = vm == 0;
        self.input(vm, FeedInput::Leading { leading });
    }

    /// Checks that a ready VM has in force the log's document of its version, and never an older
    /// version than it had before.
    fn check_version_in_force(&mut self, vm: usize) {
        let Vm {
            catalog,
            feed,
            highest_served,
        } = &mut self.vms[vm];
        if !feed.is_ready() {
            return;
        }
        let version = catalog.version();
        assert!(
            *highest_served <= version,
            "VM {vm} reverts from {highest_served} to {version}"
        );
        if *highest_served < version {
            let mut document = self.history.get(&version).cloned();
            if vm > 0
                && let Some(document) = &mut document
            {
                document.routing.source = Box::default();
            }
            assert_eq!(document.as_ref(), Some(catalog.document()), "VM {vm}");
        }
        *highest_served = version;
    }

    /// Carries out an output of a VM's feed.
    fn output(&mut self, vm: usize, output: FeedOutput) {
        match output {
            FeedOutput::Apply { change } => {
                assert!(
                    self.vms[vm].catalog.apply_accepted(&change),
                    "change out of sequence"
                );
            }
            FeedOutput::Install { document } => {
                assert!(
                    self.vms[vm].catalog.install_document(*document),
                    "installed document is not newer"
                );
            }
            FeedOutput::Propose { req } => self.change(req.change),
            FeedOutput::PullEnded { .. } | FeedOutput::Ready | FeedOutput::Withdrawn { .. } => {}
            FeedOutput::Send { message, to } => {
                let to: usize = to[3..].parse().expect("the name ends in the VM's number");
                self.send(vm, to, &message);
            }
        }
    }

    /// Returns the time when a message that leaves now has passed the links of both VMs.
    fn carry(&mut self, from: usize, to: usize, delay: Duration, bytes: u64) -> Duration {
        let sent = match self.links.get_mut(from) {
            Some(link) => link.carry(self.now, bytes, |link| &mut link.free_out),
            None => self.now,
        };
        match self.links.get_mut(to) {
            Some(link) => link.carry(sent + delay, bytes, |link| &mut link.free_in),
            None => sent + delay,
        }
    }

    /// Puts a message on the network, which may lose or duplicate it.
    fn send(&mut self, from: usize, to: usize, message: &FeedMessage) {
        self.messages[from] += 1;
        let message_bytes = postcard::to_stdvec(message).expect("the message can be encoded");
        let bytes = lz4_flex::compress(&message_bytes).len() as u64;
        self.bytes += bytes;
        if self.is_cut(from, to) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.loss));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..400));
            let message = message.clone();
            let at = self.carry(from, to, delay, bytes);
            self.in_flight.push((at, from, to, message));
        }
    }

    fn new_vm(vm: usize, catalog: Catalog, now: Duration, seed: u64) -> Vm {
        Vm {
            catalog,
            feed: Feed::new(name(vm), vec![name(0)], now, seed ^ vm as u64),
            highest_served: 0,
        }
    }
}
