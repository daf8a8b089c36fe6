//! VMs that distribute the configuration over a simulated network that loses, doubles and
//! reorders. VM 0 is the log's only member and leads it.

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

pub const STEP: Duration = Duration::from_millis(50);

pub struct Vm {
    pub catalog: Catalog,
    pub feed: Feed,
    /// Highest version that it had in force while it was ready; kept over restarts.
    pub served: Version,
}

/// A VM's link, which carries one message after another each way.
#[derive(Clone)]
pub struct Link {
    pub bytes_per_s: f64,
    free_in: Duration,
    free_out: Duration,
}

pub struct Feeds {
    /// Bytes sent by all VMs.
    pub bytes: u64,
    /// Links that are cut, both ways.
    pub cut: BTreeSet<(usize, usize)>,
    /// What each version's document is, by the log's member.
    pub history: BTreeMap<Version, Document>,
    /// Links of the VMs; empty if they carry any number of bytes at once.
    pub links: Vec<Link>,
    pub loss: f64,
    /// Messages sent by each VM.
    pub messages: Vec<u64>,
    pub now: Duration,
    pub rng: Pcg64Mcg,
    pub vms: Vec<Vm>,
    flying: Vec<(Duration, usize, usize, FeedMessage)>,
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
            hash: KeyHash::of(id),
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

impl Feeds {
    pub fn new(count: usize, seed: u64) -> Self {
        let vms = (0..count).map(|vm| Self::vm(vm, Catalog::default(), Duration::ZERO, seed));
        let mut feeds = Self {
            bytes: 0,
            cut: BTreeSet::new(),
            flying: Vec::new(),
            history: BTreeMap::new(),
            links: Vec::new(),
            loss: 0.0,
            messages: vec![0; count],
            now: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            vms: vms.collect(),
        };
        (0..count).for_each(|vm| feeds.introduce(vm));
        feeds.change(Change::PutRegion {
            id: "r0".into(),
            region: Default::default(),
        });
        feeds
    }

    /// Makes a change on the member; faulty ones change nothing.
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

    pub fn input(&mut self, vm: usize, input: FeedInput) {
        let Vm { catalog, feed, .. } = &mut self.vms[vm];
        let outputs = feed.step(self.now, catalog.document(), input);
        for output in outputs {
            self.output(vm, output);
        }
        self.observe(vm);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let due: Vec<_> = self.flying.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, from, to, message) in due {
                let from = name(from);
                self.input(to, FeedInput::Message { from, message });
            }
            for vm in 0..self.vms.len() {
                if self.vms[vm].feed.deadline() <= self.now {
                    self.hear(vm);
                    self.input(vm, FeedInput::Tick);
                }
            }
        }
    }

    /// Restarts a VM that has no disk.
    pub fn restart(&mut self, vm: usize) {
        let served = self.vms[vm].served;
        let seed = self.rng.random();
        self.vms[vm] = Self::vm(vm, Catalog::default(), self.now, seed);
        self.vms[vm].served = served;
        self.introduce(vm);
    }

    pub fn version(&self, vm: usize) -> Version {
        self.vms[vm].catalog.version()
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to)) || self.cut.contains(&(to, from))
    }

    /// Gossip: a VM hears of another's version, and so does the other.
    fn hear(&mut self, vm: usize) {
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

    fn introduce(&mut self, vm: usize) {
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

    /// The observer: what a ready VM has in force is the log's document of that version, and never
    /// one older than it had before.
    fn observe(&mut self, vm: usize) {
        let Vm {
            catalog,
            feed,
            served,
        } = &mut self.vms[vm];
        if !feed.is_ready() {
            return;
        }
        let version = catalog.version();
        assert!(
            *served <= version,
            "VM {vm} reverts from {served} to {version}"
        );
        if *served < version {
            let mut document = self.history.get(&version).cloned();
            if vm > 0
                && let Some(document) = &mut document
            {
                document.routing.source = Box::default();
            }
            assert_eq!(document.as_ref(), Some(catalog.document()), "VM {vm}");
        }
        *served = version;
    }

    fn output(&mut self, vm: usize, output: FeedOutput) {
        match output {
            FeedOutput::Apply { change } => {
                assert!(self.vms[vm].catalog.follow(&change), "out of sequence");
            }
            FeedOutput::Install { document } => {
                assert!(self.vms[vm].catalog.install(*document), "not newer");
            }
            FeedOutput::Propose { req } => self.change(req.change),
            FeedOutput::PullEnded { .. } | FeedOutput::Ready | FeedOutput::Withdrawn { .. } => {}
            FeedOutput::Send { message, to } => {
                let to: usize = to[3..].parse().expect("a VM's number");
                self.send(vm, to, &message);
            }
        }
    }

    /// When a message that leaves now has come through the links of both VMs.
    fn carry(&mut self, from: usize, to: usize, late: Duration, bytes: u64) -> Duration {
        let sent = match self.links.get_mut(from) {
            Some(link) => link.carry(self.now, bytes, |link| &mut link.free_out),
            None => self.now,
        };
        match self.links.get_mut(to) {
            Some(link) => link.carry(sent + late, bytes, |link| &mut link.free_in),
            None => sent + late,
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &FeedMessage) {
        self.messages[from] += 1;
        let message_bytes = postcard::to_stdvec(message).expect("it encodes");
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
            let late = Duration::from_millis(self.rng.random_range(1..400));
            let message = message.clone();
            let at = self.carry(from, to, late, bytes);
            self.flying.push((at, from, to, message));
        }
    }

    fn vm(vm: usize, catalog: Catalog, now: Duration, seed: u64) -> Vm {
        Vm {
            catalog,
            feed: Feed::new(name(vm), vec![name(0)], now, seed ^ vm as u64),
            served: 0,
        }
    }
}
