use {
    super::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    vm::{Open, Vm},
};

/// What puts the first VM out of step, in milliseconds of the play.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// What is sent to it or by it arrives at the end; callers reach it.
    Cut { from: u64, list_too: bool, to: u64 },
    /// It does nothing.
    Frozen { from: u64, to: u64 },
    /// What is sent to it comes late by this time, to which it has grown before the play, and later and later within it.
    Late { by: u64, permille: u64, to: u64 },
}

/// VMs of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    regions: usize,
    vms: usize,
}

/// What happens to the versions on the platform's list.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Release {
    ComesAndGoes,
    Joins,
    Replaces,
}

/// One play of a release, with what came of the streams.
pub(crate) struct Play {
    faults: &'static [Fault],
    fleet: Fleet,
    pub(crate) gone_on: usize,
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    /// Streams that went on at another version.
    pub(crate) mixed: Vec<String>,
    next: u64,
    now: u64,
    /// VM out of step.
    odd: usize,
    pub(crate) refused: usize,
    /// Longest time until the platform answers a read.
    read_time: u64,
    release: Release,
    rng: Pcg64Mcg,
    streams: Vec<Stream>,
    vms: Vec<Vm>,
}

struct Stream {
    began_at: u64,
    by: usize,
    key: StreamKey,
    software: SoftwareVersion,
}

#[derive(Clone, Debug)]
enum Message {
    Answer {
        answer: OriginAnswer,
        from: VmId,
        id: u64,
    },
    Ask {
        from: usize,
        id: u64,
        key: StreamKey,
    },
    Began {
        stream: usize,
    },
    Hold {
        key: StreamKey,
        origin: StreamOrigin,
    },
    Listed(ListReading, BTreeSet<SoftwareVersion>),
    ListWanted {
        from: usize,
    },
    Read(ListReading, BTreeSet<SoftwareVersion>),
    TakenUp {
        stream: usize,
    },
    WantsList,
    Whole(ListReading, BTreeSet<SoftwareVersion>, Vec<SoftwareVersion>),
}

impl Fleet {
    pub(crate) const FIVE_REGIONS: Self = Self {
        regions: 5,
        vms: 15,
    };
    pub(crate) const ONE_A_REGION: Self = Self { regions: 3, vms: 3 };
    pub(crate) const THREE_REGIONS: Self = Self { regions: 3, vms: 9 };
}

impl Release {
    /// Time of the release in the play.
    const AT: u64 = START + 6_000;

    fn listed(self, at: u64) -> BTreeSet<SoftwareVersion> {
        let versions: &[&str] = match (self, at.checked_sub(Self::AT)) {
            (_, None) => &["v1"],
            (Self::Replaces, Some(5_000..)) => &["v2"],
            (Self::ComesAndGoes, Some(4_000..)) => &["v1"],
            (_, Some(_)) => &["v1", "v2"],
        };
        versions.iter().copied().map(Into::into).collect()
    }
}

/// Time at which the play begins, after lists with one version for long.
const START: u64 = 610_000;
const STEP: u64 = 10;

impl Play {
    /// Longest age of the platform's list.
    const LIST_LAG: u64 = 800;
    /// Time until the deadlines of all callers.
    const LIFETIME: Duration = Duration::from_secs(30);

    pub(crate) fn run(
        seed: u64,
        fleet: Fleet,
        release: Release,
        faults: &'static [Fault],
        restarts: bool,
    ) -> Self {
        let mut play = Self {
            faults,
            fleet,
            gone_on: 0,
            messages: BTreeMap::new(),
            mixed: Vec::new(),
            next: 0,
            now: START,
            odd: if seed % 4 < 2 {
                0
            } else {
                fleet.vms - fleet.regions
            },
            read_time: if seed.is_multiple_of(2) { 40 } else { 900 },
            refused: 0,
            release,
            rng: Pcg64Mcg::seed_from_u64(seed),
            streams: Vec::new(),
            vms: Vec::new(),
        };
        for n in 0..fleet.vms {
            let mut vm = play.vm(n, 0);
            let most_late = faults.iter().map(|fault| match fault {
                Fault::Late { by, .. } if n == play.odd => *by,
                _ => 0,
            });
            let most_late = most_late.max().unwrap_or(0);
            for at in (0..=START).step_by(1_000) {
                let late = most_late.saturating_sub((START - at) * 3 / 10);
                let reading = play.reading(vm.region, at);
                let listed = release.listed(at);
                match at + late <= START {
                    true => vm.hear(at + late, reading, &listed),
                    false => play.push(at + late, n, Message::Listed(reading, listed)),
                }
            }
            vm.next_read = START + play.rng.random_range(0..200);
            play.vms.push(vm);
        }
        let odd = play.odd;
        let restarted_at = Release::AT + play.rng.random_range(0..3_000);
        while play.now < START + play.length() {
            if restarts && play.now / STEP == restarted_at / STEP {
                // All but the one out of step.
                for n in (0..fleet.vms).filter(|n| n % 2 == 1 && *n != odd) {
                    play.restart(n);
                }
            }
            play.step();
            play.now += STEP;
        }
        play
    }

    /// Returns a read of a VM, whose clock has nothing in common with those of others.
    fn reading(&self, by: usize, at: u64) -> ListReading {
        ListReading {
            began_ms: at + Self::clock_shift(by),
            incarnation: 1,
            reader: self.record(by).vm,
        }
    }

    fn clock_shift(vm: usize) -> u64 {
        vm as u64 * 77_000
    }

    /// Returns when a read of the VM itself began.
    fn own_time(by: usize, reading: &ListReading) -> u64 {
        reading.began_ms - Self::clock_shift(by)
    }

    /// Starts a VM anew; it asks the others of its region for the list until it has one.
    fn restart(&mut self, n: usize) {
        self.vms[n] = self.vm(n, self.now);
        // It waits until it knows the others.
        self.vms[n].next_read = self.now + 500;
        self.post(n, 250, Message::WantsList);
    }

    /// Returns the time until the release and all faults are over, in milliseconds.
    fn length(&self) -> u64 {
        let ends = self.faults.iter().map(|fault| match fault {
            Fault::Cut { to, .. } | Fault::Frozen { to, .. } | Fault::Late { to, .. } => to + 2_000,
        });
        ends.max().unwrap_or(0).max(14_000)
    }

    fn vm(&self, n: usize, now: u64) -> Vm {
        let records = (0..self.fleet.vms).map(|n| self.record(n));
        let records = records.collect::<Vec<_>>();
        let own = &records[n];
        let holders = OriginHolders::new(own.vm.clone(), own.region.clone(), &records);
        Vm::new(own.vm.clone(), n % self.fleet.regions, holders, now)
    }

    fn record(&self, n: usize) -> VmRecord {
        let address = ([10, 0, 0, 1], 1).into();
        VmRecord {
            capacity: VmCapacity::REFERENCE,
            capacity_halvings: 0,
            forwards: Some(address),
            heartbeat: 0,
            holds_log: false,
            http: address,
            incarnation: 1,
            leaving: false,
            peer: address,
            region: format!("r{}", n % self.fleet.regions).into(),
            takes_callers: true,
            version: 1,
            vm: format!("vm{n:02}").into(),
            zone: "a".into(),
        }
    }

    fn step(&mut self) {
        self.begin_stream();
        for n in 0..self.vms.len() {
            if !self.is_frozen(n) {
                self.read_list(n);
            }
        }
        // A VM that goes on after it stood still may read its callers' requests before other messages.
        let due = self.messages.range(..=(self.now, u64::MAX));
        let mut due = due.map(|(id, (to, _))| (*id, *to)).collect::<Vec<_>>();
        due.retain(|(_, to)| !self.is_frozen(*to));
        if self.rng.random_bool(0.5) {
            due.sort_by_key(|(id, _)| !matches!(self.messages[id].1, Message::TakenUp { .. }));
        }
        for (id, to) in due {
            let (_, message) = self.messages.remove(&id).unwrap();
            self.receive(to, message);
        }
        for n in 0..self.vms.len() {
            if !self.is_frozen(n) {
                self.end_inquiries(n);
            }
        }
    }

    fn begin_stream(&mut self) {
        let by = self.rng.random_range(0..self.vms.len());
        if self.is_frozen(by) {
            return;
        }
        let serving = self.release.listed(self.now);
        let mut may_begin = self.vms[by].may_begin(self.now);
        may_begin.retain(|software| serving.contains(software));
        if may_begin.is_empty() {
            return;
        }
        let software = may_begin.swap_remove(self.rng.random_range(0..may_begin.len()));
        let stream = self.streams.len();
        self.streams.push(Stream {
            began_at: self.now,
            by,
            key: StreamKey::new(Some("w"), &format!("attempt-{stream}")),
            software,
        });
        self.post(by, 5, Message::Began { stream });
    }

    fn receive(&mut self, at: usize, message: Message) {
        let now = self.now;
        let time = Duration::from_millis(now);
        let vm = &mut self.vms[at];
        match message {
            Message::Answer { answer, from, id } => {
                let Some(open) = vm.inquiries.get_mut(&id) else {
                    return;
                };
                if let InquiryState::Complete(known) = open.inquiry.receive(&from, answer) {
                    let open = vm.inquiries.remove(&id).unwrap();
                    self.go_on(open.stream, known);
                }
            }
            Message::Ask { from, id, key } => {
                let answer = vm.answer(now, key);
                let answer = Message::Answer {
                    answer,
                    from: vm.name.clone(),
                    id,
                };
                self.send(at, from, answer);
            }
            Message::Began { stream } => {
                let Stream { key, software, .. } = &self.streams[stream];
                let (key, origin) = (*key, Vm::origin(software));
                if vm.only(now).as_ref() != Some(&origin) {
                    vm.table.hold(time, key, origin.clone(), Self::LIFETIME);
                    for to in vm.holders.to_tell(key) {
                        let origin = origin.clone();
                        self.tell(at, &to, Message::Hold { key, origin });
                    }
                }
                // Most of what is taken up comes to the VM out of step.
                let to = match self.rng.random_bool(0.7) {
                    true => self.odd,
                    false => self.rng.random_range(0..self.vms.len()),
                };
                let after = self.rng.random_range(10..600);
                self.post(to, after, Message::TakenUp { stream });
            }
            Message::Hold { key, origin } => {
                vm.table.hold(time, key, origin, Self::LIFETIME);
            }
            Message::Listed(reading, versions) => vm.hear(now, reading, &versions),
            Message::Read(reading, versions) => {
                vm.is_reading = false;
                vm.next_read = now + self.rng.random_range(800..1_200);
                vm.install(now, Self::own_time(at, &reading), &versions);
                vm.reading = Some(reading.clone());
                let region = vm.region;
                for to in (0..self.vms.len()).filter(|to| *to != at) {
                    if self.vms[to].region == region {
                        self.send(at, to, Message::Listed(reading.clone(), versions.clone()));
                    }
                }
            }
            Message::ListWanted { from } => {
                if let (Some(listed), Some(reading)) = (vm.listed.clone(), vm.reading.clone()) {
                    let known = listed.iter().cloned();
                    let known = known.filter(|software| vm.history.is_known(time, "s", software));
                    let known = known.collect();
                    self.send(at, from, Message::Whole(reading, listed, known));
                }
            }
            Message::TakenUp { stream } => self.take_up(at, stream),
            Message::WantsList if vm.listed.is_some() => {}
            Message::WantsList => {
                let region = vm.region;
                let others = (0..self.vms.len()).filter(|n| *n != at);
                let others = others.filter(|n| self.vms[*n].region == region);
                let others = others.collect::<Vec<_>>();
                if !others.is_empty() {
                    let other = others[self.rng.random_range(0..others.len())];
                    self.send(at, other, Message::ListWanted { from: at });
                }
                self.post(at, 250, Message::WantsList);
            }
            Message::Whole(reading, versions, known) => {
                vm.hear(now, reading, &versions);
                for software in known {
                    vm.history.record_known(time, "s", &software);
                }
            }
        }
    }

    /// Does what a VM does when a stream is taken up at it.
    fn take_up(&mut self, at: usize, stream: usize) {
        const NEAR_WAIT: u64 = 100;
        const WAIT: u64 = 400;
        let (now, key) = (self.now, self.streams[stream].key);
        let vm = &mut self.vms[at];
        let only = vm.only(now);
        if let Some(held) = vm.table.get(Duration::from_millis(now), key) {
            let known = KnownOrigin::Recorded(held.clone());
            return self.go_on(stream, Some(known));
        }
        let (asked, wait) = match only {
            Some(_) => (vm.holders.to_ask_near(key), NEAR_WAIT),
            None => (vm.holders.to_ask(key), WAIT),
        };
        let inquiry = OriginInquiry::new(asked.clone(), only);
        if asked.is_empty() {
            return self.go_on(stream, inquiry.conclude());
        }
        let id = self.next;
        self.next += 1;
        let deadline = now + wait;
        vm.inquiries.insert(
            id,
            Open {
                deadline,
                inquiry,
                stream,
            },
        );
        for to in asked {
            self.tell(at, &to, Message::Ask { from: at, id, key });
        }
    }

    fn end_inquiries(&mut self, at: usize) {
        let now = self.now;
        let ended = self.vms[at]
            .inquiries
            .extract_if(.., |_, open| open.deadline <= now);
        for (_, open) in ended.collect::<Vec<_>>() {
            self.go_on(open.stream, open.inquiry.conclude());
        }
    }

    /// Has a stream go on at a server of the version that was found.
    fn go_on(&mut self, stream: usize, known: Option<KnownOrigin>) {
        let Some(known) = known else {
            self.refused += 1;
            return;
        };
        let source = known.source();
        let software = known.into_origin().software;
        if !self.release.listed(self.now).contains(&software) {
            self.refused += 1;
            return;
        }
        self.gone_on += 1;
        let began = &self.streams[stream];
        if began.software != software {
            self.mixed.push(format!(
                "begun at {} ms by VM {} at {}, went on at {software} at {} ms by {source}",
                began.began_at as i64 - Release::AT as i64,
                began.by,
                began.software,
                self.now as i64 - Release::AT as i64,
            ));
        }
    }

    /// Has a VM read the list if it is its turn.
    fn read_list(&mut self, at: usize) {
        let vm = &self.vms[at];
        if vm.is_reading || vm.next_read > self.now {
            return;
        }
        let of_region = self.vms.iter().filter(|other| other.region == vm.region);
        let readers = of_region.map(|vm| vm.name.clone()).collect::<Vec<_>>();
        let now = Duration::from_millis(self.now);
        if !vm.election.is_reader(now, &vm.name, &readers) {
            self.vms[at].next_read = self.now + self.rng.random_range(800..1_200);
            return;
        }
        self.vms[at].is_reading = true;
        let took = self.rng.random_range(5..self.read_time);
        let read_at = self.now + self.rng.random_range(0..took);
        let lag = self.rng.random_range(0..Self::LIST_LAG);
        let versions = self.release.listed(read_at - lag);
        let is_cut = |fault: &&Fault| matches!(fault, Fault::Cut { list_too: true, .. });
        let cut = self.faults.iter().filter(is_cut);
        let arrives = self.now + took;
        let arrives = match at {
            _ if at == self.odd => cut.fold(arrives, |arrives, fault| self.delayed(fault, arrives)),
            _ => arrives,
        };
        let reading = self.reading(at, self.now);
        self.push(arrives, at, Message::Read(reading, versions));
    }

    fn tell(&mut self, from: usize, to: &VmId, message: Message) {
        let to = self.vms.iter().position(|vm| vm.name == *to).unwrap();
        self.send(from, to, message);
    }

    /// Sends a message between VMs.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        let arrives = self.now + self.rng.random_range(1..10);
        let arrives = match from == self.odd || to == self.odd {
            true => self.faults.iter().fold(arrives, |arrives, fault| {
                let is_late = matches!(fault, Fault::Late { .. }) && to != self.odd;
                match is_late {
                    true => arrives,
                    false => self.delayed(fault, arrives),
                }
            }),
            false => arrives,
        };
        self.push(arrives, to, message);
    }

    /// Returns when something that would arrive at the VM out of step arrives there.
    fn delayed(&self, fault: &Fault, arrives: u64) -> u64 {
        let since = |from: u64| arrives.checked_sub(START + from);
        match *fault {
            Fault::Cut { from, to, .. } if since(from).is_some() => arrives.max(START + to),
            Fault::Late { by, permille, to } if arrives < START + to => {
                arrives + by + since(0).unwrap_or(0) * permille / 1_000
            }
            _ => arrives,
        }
    }

    /// Has a VM get something of its own or of a caller.
    fn post(&mut self, at: usize, after: u64, message: Message) {
        self.push(self.now + after, at, message);
    }

    fn push(&mut self, arrives: u64, to: usize, message: Message) {
        self.next += 1;
        self.messages.insert((arrives, self.next), (to, message));
    }

    fn is_frozen(&self, at: usize) -> bool {
        at == self.odd
            && self.faults.iter().any(|fault| match fault {
                Fault::Frozen { from, to } => (START + from..START + to).contains(&self.now),
                Fault::Cut { .. } | Fault::Late { .. } => false,
            })
    }
}
