//! Simulated fleet of VMs that exchange membership datagrams over a network with delay, loss and
//! partitions.

use {
    ebonystand_core::{MembershipOutput, VmCapacity, VmEntry, VmMembership, VmRecord, VmState},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time that each datagram takes to arrive.
const DELAY: Duration = Duration::from_millis(20);
/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(20);

/// Fleet in regions `r0`, `r1` and so on, in which VM `n` is in region `n % regions`.
pub struct VmFleet {
    /// Pairs of regions whose datagrams from the first to the second are lost.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// VMs that can neither send nor receive.
    pub isolated: BTreeSet<usize>,
    /// Every datagram of which the number is a multiple of this is lost; 0 loses none.
    pub loss_one_in: u64,
    pub now: Duration,
    /// Bytes received by all VMs since the last reset.
    pub received: u64,
    /// Bytes sent by all VMs since the last reset.
    pub sent: u64,
    /// VMs that are suspended.
    pub stopped: BTreeSet<usize>,
    pub vms: Vec<VmMembership>,
    /// Number of datagrams that have reached the end of their delay.
    delivered: u64,
    /// Datagrams by time of arrival, as sender, receiver and content.
    in_flight: BTreeMap<Duration, Vec<(usize, usize, Vec<u8>)>>,
    regions: usize,
}

/// Returns the peer address of a VM, which encodes its number.
pub fn address(vm: usize) -> SocketAddr {
    let (high, low) = ((vm / 250) as u8, (vm % 250) as u8);
    ([10, 0, high, low], 7_000).into()
}

pub fn name(vm: usize) -> Box<str> {
    format!("vm-{vm:04}").into()
}

/// Returns the first record that a VM publishes.
pub fn record(vm: usize, regions: usize) -> VmRecord {
    VmRecord {
        capacity: VmCapacity::REFERENCE,
        capacity_halvings: 0,
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

impl VmFleet {
    pub fn new(count: usize, regions: usize) -> Self {
        let seeds: Vec<_> = (0..3).map(address).collect();
        let vms = (0..count)
            .map(|vm| {
                let own = record(vm, regions);
                VmMembership::new(own, seeds.clone(), Duration::ZERO, vm as u64)
            })
            .collect();
        Self {
            cut_links: BTreeSet::new(),
            in_flight: BTreeMap::new(),
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

    /// Counts the running VMs, other than `of`, for which `check` holds on their entry of VM `of`.
    pub fn count(&self, of: usize, check: impl Fn(&VmMembership, &VmEntry) -> bool) -> usize {
        let running = (0..self.vms.len()).filter(|vm| !self.stopped.contains(vm));
        running
            .filter(|vm| *vm != of)
            .filter_map(|vm| Some((&self.vms[vm], self.vms[vm].get(&name(of))?)))
            .filter(|(vm, entry)| check(vm, entry))
            .count()
    }

    /// Returns the mean bytes per second that a VM sent and received in the `time` since the last
    /// reset.
    pub fn bytes_each(&self, time: Duration) -> u64 {
        let each = (self.sent + self.received) / self.vms.len() as u64;
        (each as f64 / time.as_secs_f64()) as u64
    }

    /// Resets the counters of bytes.
    pub fn reset(&mut self) {
        (self.sent, self.received) = (0, 0);
    }

    /// Returns the number of VMs in the live list of `vm`.
    pub fn live(&self, vm: usize) -> usize {
        self.vms[vm].live(self.now).count()
    }

    /// Puts the datagrams among `outputs` on the network.
    pub fn send(&mut self, from: usize, outputs: Vec<MembershipOutput>) {
        for output in outputs {
            let MembershipOutput::Send { message, to } = output else {
                continue;
            };
            let bytes = postcard::to_stdvec(&message).expect("the message can be encoded");
            assert!(bytes.len() <= 1_200, "{} bytes", bytes.len());
            let std::net::IpAddr::V4(ip) = to.ip() else {
                continue;
            };
            let to = usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]);
            self.sent += bytes.len() as u64;
            self.in_flight
                .entry(self.now + DELAY)
                .or_default()
                .push((from, to, bytes));
        }
    }

    /// Runs until `done` holds or `limit` has passed, and returns the time taken if `done` holds.
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

    /// Advances the simulation by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let later = self
                .in_flight
                .split_off(&(self.now + Duration::from_nanos(1)));
            let due = std::mem::replace(&mut self.in_flight, later);
            for (from, to, bytes) in due.into_values().flatten() {
                self.deliver(from, to, &bytes);
            }
            for vm in 0..self.vms.len() {
                if !self.stopped.contains(&vm) && self.vms[vm].deadline() <= self.now {
                    let outputs = self.vms[vm].tick(self.now);
                    self.send(vm, outputs);
                }
            }
        }
    }

    /// Delivers a datagram, unless it is lost or its receiver is stopped or out of reach.
    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        self.delivered += 1;
        if self.loss_one_in > 0 && self.delivered.is_multiple_of(self.loss_one_in) {
            return;
        }
        if self.isolated.contains(&from) || self.isolated.contains(&to) {
            return;
        }
        let link = (from % self.regions, to % self.regions);
        if self.cut_links.contains(&link) || self.stopped.contains(&to) || to >= self.vms.len() {
            return;
        }
        self.received += bytes.len() as u64;
        let message = postcard::from_bytes(bytes).expect("the message can be decoded");
        let outputs = self.vms[to].receive(self.now, message);
        self.send(to, outputs);
    }
}

/// Returns whether the entry is neither dead nor suspect.
pub fn is_alive(_: &VmMembership, entry: &VmEntry) -> bool {
    entry.state == VmState::Alive
}
