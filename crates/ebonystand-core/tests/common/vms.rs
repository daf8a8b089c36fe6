//! VMs that exchange membership datagrams over a simulated network.

use {
    ebonystand_core::{MembershipOutput, VmEntry, VmMembership, VmRecord, VmState},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Delay of a datagram.
const DELAY: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(20);

/// A fleet in regions `r0`, `r1` and so on, VM `n` standing in region `n % regions`.
pub struct Vms {
    pub cut: BTreeSet<(usize, usize)>,
    /// VMs whose network is cut.
    pub isolated: BTreeSet<usize>,
    /// One datagram in so many is lost; 0: none.
    pub loss_one_in: u64,
    pub now: Duration,
    pub received: u64,
    pub sent: u64,
    pub stopped: BTreeSet<usize>,
    pub vms: Vec<VmMembership>,
    delivered: u64,
    flying: BTreeMap<Duration, Vec<(usize, usize, Vec<u8>)>>,
    regions: usize,
}

pub fn address(vm: usize) -> SocketAddr {
    let (high, low) = ((vm / 250) as u8, (vm % 250) as u8);
    ([10, 0, high, low], 7_000).into()
}

pub fn name(vm: usize) -> Box<str> {
    format!("vm-{vm:04}").into()
}

pub fn record(vm: usize, regions: usize) -> VmRecord {
    VmRecord {
        forwards: None,
        heartbeat: 0,
        holds_log: false,
        http: address(vm),
        incarnation: 1_790_000_000_000,
        leaving: false,
        peer: address(vm),
        region: format!("r{}", vm % regions).into(),
        takes_callers: true,
        version: 1,
        vm: name(vm),
        zone: format!("r{}-z{}", vm % regions, vm % 3).into(),
    }
}

impl Vms {
    pub fn new(count: usize, regions: usize) -> Self {
        let seeds: Vec<_> = (0..3).map(address).collect();
        let vms = (0..count)
            .map(|vm| {
                let own = record(vm, regions);
                VmMembership::new(own, seeds.clone(), Duration::ZERO, vm as u64)
            })
            .collect();
        Self {
            cut: BTreeSet::new(),
            flying: BTreeMap::new(),
            delivered: 0,
            isolated: BTreeSet::new(),
            loss_one_in: 0,
            now: Duration::from_secs(10),
            received: 0,
            regions,
            sent: 0,
            stopped: BTreeSet::new(),
            vms,
        }
    }

    /// VMs that hold `check` of VM `of` to be true, of those that run.
    pub fn count(&self, of: usize, check: impl Fn(&VmMembership, &VmEntry) -> bool) -> usize {
        let running = (0..self.vms.len()).filter(|vm| !self.stopped.contains(vm));
        running
            .filter(|vm| *vm != of)
            .filter_map(|vm| Some((&self.vms[vm], self.vms[vm].get(&name(of))?)))
            .filter(|(vm, entry)| check(vm, entry))
            .count()
    }

    /// Bytes that a VM sent and received a second, since the last reset.
    pub fn bytes_each(&self, time: Duration) -> u64 {
        let each = (self.sent + self.received) / self.vms.len() as u64;
        (each as f64 / time.as_secs_f64()) as u64
    }

    pub fn reset(&mut self) {
        (self.sent, self.received) = (0, 0);
    }

    /// VMs in the live list of `vm`.
    pub fn live(&self, vm: usize) -> usize {
        self.vms[vm].live(self.now).count()
    }

    pub fn put(&mut self, from: usize, outputs: Vec<MembershipOutput>) {
        for output in outputs {
            let MembershipOutput::Send { message, to } = output else {
                continue;
            };
            let bytes = postcard::to_stdvec(&message).expect("it encodes");
            assert!(bytes.len() <= 1_200, "{} bytes", bytes.len());
            let std::net::IpAddr::V4(ip) = to.ip() else {
                continue;
            };
            let to = usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]);
            self.sent += bytes.len() as u64;
            self.flying
                .entry(self.now + DELAY)
                .or_default()
                .push((from, to, bytes));
        }
    }

    /// Runs until `done` or for `limit`; how long it took.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(250));
        }
        done(self).then(|| self.now - start)
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let later = self.flying.split_off(&(self.now + Duration::from_nanos(1)));
            let due = std::mem::replace(&mut self.flying, later);
            for (from, to, bytes) in due.into_values().flatten() {
                self.deliver(from, to, &bytes);
            }
            for vm in 0..self.vms.len() {
                if !self.stopped.contains(&vm) && self.vms[vm].deadline() <= self.now {
                    let outputs = self.vms[vm].tick(self.now);
                    self.put(vm, outputs);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        self.delivered += 1;
        if self.loss_one_in > 0 && self.delivered.is_multiple_of(self.loss_one_in) {
            return;
        }
        if self.isolated.contains(&from) || self.isolated.contains(&to) {
            return;
        }
        let link = (from % self.regions, to % self.regions);
        if self.cut.contains(&link) || self.stopped.contains(&to) || to >= self.vms.len() {
            return;
        }
        self.received += bytes.len() as u64;
        let message = postcard::from_bytes(bytes).expect("it decodes");
        let outputs = self.vms[to].receive(self.now, message);
        self.put(to, outputs);
    }
}

/// Whether the entry is neither dead nor suspect.
pub fn is_alive(_: &VmMembership, entry: &VmEntry) -> bool {
    entry.state == VmState::Alive
}
