//! Load exchange between the VMs of a region over a simulated network with delays, cuts and losses.

use {
    ebonystand_core::{
        LoadExchange, LoadMessage, RegionVm, RelayPlan, UnderWay, UpstreamKey, UpstreamLoads,
        VmCapacity, VmId,
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const STEP: Duration = Duration::from_millis(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(vm: usize) -> VmId {
    format!("vm-{vm:03}").into()
}

fn upstream(vm: usize) -> UpstreamKey {
    UpstreamKey::from(&*format!("u-{vm}"))
}

/// Simulated VMs of one region in two zones. VM `n` reports as many tokens in flight at upstream
/// `u-n`, which no other VM uses, as milliseconds have passed since the start, so another VM's
/// knowledge shows its age.
struct Region {
    /// Pairs of VMs: messages from the first to the second are lost.
    cut: BTreeSet<(usize, usize)>,
    /// VMs that neither send nor receive although the others consider them live.
    paused: BTreeSet<usize>,
    bytes: u64,
    due: Vec<Duration>,
    flying: BTreeMap<Duration, Vec<(usize, usize, Vec<u8>)>>,
    heard: Vec<u64>,
    now: Duration,
    rng: Pcg64Mcg,
    sent: Vec<u64>,
    vms: Vec<LoadExchange>,
}

impl Region {
    fn new(count: usize) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(7);
        let mut region = Self {
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            bytes: 0,
            due: (0..count).map(|_| ms(rng.random_range(0..100))).collect(),
            flying: BTreeMap::new(),
            heard: vec![0; count],
            now: Duration::ZERO,
            rng,
            sent: vec![0; count],
            vms: (0..count)
                .map(|vm| LoadExchange::new(name(vm), zone(vm)))
                .collect(),
        };
        region.set_live(&BTreeSet::new());
        region
    }

    /// Makes all VMs except `dead` consider one another live.
    fn set_live(&mut self, dead: &BTreeSet<usize>) {
        let live = (0..self.vms.len()).filter(|vm| !dead.contains(vm));
        let live = live.map(region_vm).collect::<Vec<_>>();
        self.vms.iter_mut().for_each(|vm| vm.set_vms(&live));
    }

    /// Returns the relays, as a VM with a complete view picks them.
    fn relays(&self) -> Vec<usize> {
        let vms = (0..self.vms.len()).map(region_vm).collect::<Vec<_>>();
        let plan = RelayPlan::new(&vms);
        let is_relay = |vm: &usize| plan.relays().any(|relay| *relay == name(*vm));
        (0..self.vms.len()).filter(is_relay).collect()
    }

    /// Returns a relay and a VM that reports to it.
    fn pair(&self) -> (usize, usize) {
        let vms = (0..self.vms.len()).map(region_vm).collect::<Vec<_>>();
        let plan = RelayPlan::new(&vms);
        let relays = self.relays();
        let member = (0..self.vms.len())
            .find(|vm| !relays.contains(vm))
            .expect("a VM");
        let order = plan.relay_order(&name(member), &zone(member));
        let relay = relays.into_iter().find(|relay| name(*relay) == order[0]);
        (relay.expect("a relay"), member)
    }

    /// Returns the age of what `vm` knows of the load of `of`; `None` if it knows nothing.
    fn age(&self, vm: usize, of: usize) -> Option<Duration> {
        let known = self.vms[vm].load_at(upstream(of)).unread;
        (known > 0).then(|| self.now.saturating_sub(ms(known)))
    }

    /// Returns the pairs of VMs, without paused ones, of which the first knows nothing of the second's
    /// load or nothing newer than `age`.
    fn blind(&self, age: Duration) -> Vec<(usize, usize)> {
        let all = || (0..self.vms.len()).filter(|vm| !self.paused.contains(vm));
        let pairs = all().flat_map(|vm| all().map(move |of| (vm, of)));
        let others = pairs.filter(|(vm, of)| vm != of);
        others
            .filter(|(vm, of)| self.age(*vm, *of).is_none_or(|known| known > age))
            .collect()
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let later = self.flying.split_off(&(self.now + ms(1)));
            let due = std::mem::replace(&mut self.flying, later);
            for (from, to, bytes) in due.into_values().flatten() {
                if !self.paused.contains(&to) {
                    let message = postcard::from_bytes(&bytes).expect("it decodes");
                    self.vms[to].handle_message(self.now, &name(from), message);
                    self.heard[to] += 1;
                }
            }
            for vm in 0..self.vms.len() {
                if self.due[vm] <= self.now && !self.paused.contains(&vm) {
                    self.tick(vm);
                }
            }
        }
    }

    fn tick(&mut self, vm: usize) {
        let load = UnderWay {
            requests: 1,
            unread: self.now.as_millis() as u64,
        };
        let messages =
            self.vms[vm].build_messages(self.now, vec![(upstream(vm), load)], Vec::new(), &[]);
        for (to, message) in messages {
            let to = (0..self.vms.len()).find(|other| name(*other) == to);
            let to = to.expect("a VM of the region");
            let bytes = postcard::to_stdvec(&message).expect("it encodes");
            self.sent[vm] += 1;
            self.bytes += bytes.len() as u64;
            if !self.cut.contains(&(vm, to)) {
                let at = self.now + ms(if zone(vm) == zone(to) { 1 } else { 5 });
                self.flying.entry(at).or_default().push((vm, to, bytes));
            }
        }
        let every = self.vms[vm].message_interval();
        self.due[vm] = self.now + every.mul_f64(self.rng.random_range(0.8..1.2));
    }
}

fn zone(vm: usize) -> Box<str> {
    format!("z{}", vm % 2).into()
}

fn region_vm(vm: usize) -> RegionVm {
    RegionVm {
        capacity: VmCapacity::REFERENCE,
        is_staying: true,
        vm: name(vm),
        zone: zone(vm),
    }
}

/// If each VM sent its load to all others, each VM of a region of 100 would send and receive 200
/// messages per second, and its knowledge would be half a second old.
#[rstest]
#[case(30)]
#[case(100)]
#[case(300)]
fn messages_of_a_vm_and_the_age_of_what_it_knows_hardly_grow_with_the_region(#[case] count: usize) {
    let mut region = Region::new(count);
    region.run(ms(2_000));
    region.sent.fill(0);
    region.heard.fill(0);
    region.bytes = 0;
    let (mut ages, mut oldest, mut known) = (Duration::ZERO, Duration::ZERO, 0);
    for _ in 0..40 {
        region.run(ms(50));
        for (vm, of) in (0..count).flat_map(|vm| (0..count).map(move |of| (vm, of))) {
            if vm == of {
                assert_eq!(region.age(vm, of), None, "its own load is not counted");
                continue;
            }
            let age = region.age(vm, of).expect("it is known");
            ages += age;
            oldest = oldest.max(age);
            known += 1;
        }
    }
    let mean = ages / known;
    let a_second = |counts: &[u64]| counts.iter().sum::<u64>() / 2 / count as u64;
    println!(
        "{count} VMs, {} relays: mean age {mean:?}, oldest {oldest:?}, {} messages a second sent by a VM, {} by \
         the busiest, {} bytes a second",
        region.relays().len(),
        a_second(&region.sent),
        region.sent.iter().max().unwrap_or(&0) / 2,
        region.bytes / 2 / count as u64,
    );
    assert!(mean < ms(150), "{mean:?}");
    assert!(oldest < ms(500), "{oldest:?}");
    let most = if count <= 100 { 30 } else { 50 };
    assert!(a_second(&region.sent) <= most, "{}", a_second(&region.sent));
    assert!(
        a_second(&region.heard) <= most,
        "{}",
        a_second(&region.heard)
    );
}

/// The load of a VM must be counted once at each other VM, whichever path its report took.
#[rstest]
#[case(2)]
#[case(6)]
#[case(7)]
#[case(40)]
fn requests_at_one_upstream_are_counted_once(#[case] count: usize) {
    let mut region = Region::new(count);
    let all = UpstreamKey::from("all");
    let load = UnderWay {
        requests: 1,
        unread: 10,
    };
    for _ in 0..20 {
        region.run_with(ms(50), &vec![(all, load)]);
    }
    let others = count as u32 - 1;
    let known = region.vms.iter().map(|vm| vm.load_at(all).requests);
    assert_eq!(known.collect::<Vec<_>>(), vec![others; count]);
}

/// Guards against a VM that for long subtracts a report of its own from sums that include one of its former process, which
/// has the same number.
#[rstest]
#[case::reporter(false)]
#[case::relay(true)]
fn a_vm_that_starts_anew_counts_the_others_right_after_half_a_second(#[case] is_relay: bool) {
    const COUNT: usize = 40;
    let mut region = Region::new(COUNT);
    let all = UpstreamKey::from("all");
    let load = |requests| UnderWay {
        requests,
        unread: 10,
    };
    let run = |region: &mut Region, requests, steps| {
        for _ in 0..steps {
            region.run_with(ms(50), &vec![(all, load(requests))]);
        }
    };
    run(&mut region, 3, 20);
    let (relay, reporter) = region.pair();
    let vm = if is_relay { relay } else { reporter };
    region.vms[vm] = LoadExchange::new(name(vm), zone(vm));
    region.set_live(&BTreeSet::new());
    run(&mut region, 1, 10);
    let known = region.vms.iter().map(|vm| vm.load_at(all).requests);
    assert_eq!(known.collect::<Vec<_>>(), vec![COUNT as u32 - 1; COUNT]);
}

/// A relay stops or freezes. Until that is noticed, the VMs that report to it would know nothing of
/// the others' load, so they must switch to another relay.
#[rstest]
#[case::ended(true)]
#[case::frozen(false)]
fn a_relay_that_is_gone_is_passed_over(#[case] is_noticed: bool) {
    let mut region = Region::new(40);
    region.run(ms(2_000));
    let (relay, _) = region.pair();
    region.paused.insert(relay);
    region.run(ms(1_000));
    if is_noticed {
        region.set_live(&BTreeSet::from([relay]));
    }
    region.run(ms(500));
    assert_eq!(region.blind(ms(600)), []);
    let knows = (0..40).filter(|vm| *vm != relay && region.age(*vm, relay).is_some());
    assert_eq!(knows.count(), 0, "what it had under way has ended");
    region.paused.clear();
    region.set_live(&BTreeSet::new());
    region.run(ms(3_000));
    assert_eq!(region.blind(ms(600)), []);
}

/// All relays of a zone stop together. Its other VMs must report to relays of another zone.
#[test]
fn vms_of_a_zone_without_relays_report_to_those_of_another_zone() {
    let mut region = Region::new(40);
    region.run(ms(2_000));
    let of_zone = region.relays().into_iter().filter(|vm| vm % 2 == 0);
    let of_zone = of_zone.collect::<BTreeSet<_>>();
    assert!(!of_zone.is_empty());
    region.paused.extend(&of_zone);
    region.run(ms(2_000));
    assert_eq!(region.blind(ms(600)), []);
}

/// A link between a VM and its relay carries messages in one direction only: either reports or sums
/// get lost. No VM may lose sight of the others' load for long.
#[rstest]
#[case::reports_are_lost(true)]
#[case::sums_are_lost(false)]
fn a_link_that_is_cut_one_way_blinds_nobody(#[case] to_relay: bool) {
    let mut region = Region::new(40);
    region.run(ms(2_000));
    let (relay, vm) = region.pair();
    region
        .cut
        .insert(if to_relay { (vm, relay) } else { (relay, vm) });
    for _ in 0..200 {
        region.run(ms(50));
        assert_eq!(region.blind(ms(800)), []);
    }
}

/// VMs that have just discovered one another have different views of the region. A VM that another
/// one considers a relay must act as one.
#[test]
fn a_vm_relays_for_whoever_takes_it_for_a_relay() {
    let mut region = Region::new(40);
    let (relay, vm) = region.pair();
    let others = (0..40).filter(|other| *other != relay).map(region_vm);
    region.vms[vm].set_vms(&others.collect::<Vec<_>>());
    region.run(ms(2_000));
    assert_eq!(region.blind(ms(600)), []);
}

/// A VM that is about to stop would lose the reports sent to it, so it must not be a relay.
#[test]
fn a_leaving_vm_does_not_relay() {
    let vms = (0..40).map(|vm| RegionVm {
        is_staying: vm >= 20,
        ..region_vm(vm)
    });
    let vms = vms.collect::<Vec<_>>();
    let plan = RelayPlan::new(&vms);
    assert!(plan.relays().count() >= 2);
    assert!(plan.relays().all(|relay| **relay >= *name(20)));
}

/// VMs of a small region without requests in flight must not send messages.
#[test]
fn idle_vms_of_a_small_region_tell_nothing() {
    let mut region = Region::new(4);
    region.run(ms(500));
    region.run_with(ms(500), &Vec::new());
    region.sent.fill(0);
    region.run_with(ms(1_000), &Vec::new());
    assert_eq!(region.sent, [0; 4]);
}

impl Region {
    /// Runs for `time` with the same load on each VM and immediate delivery.
    fn run_with(&mut self, time: Duration, load: &UpstreamLoads) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for vm in 0..self.vms.len() {
                if self.due[vm] > self.now {
                    continue;
                }
                let messages = self.vms[vm].build_messages(self.now, load.clone(), Vec::new(), &[]);
                self.sent[vm] += messages.len() as u64;
                for (to, message) in messages {
                    self.deliver(vm, &to, message);
                }
                let every = self.vms[vm].message_interval();
                self.due[vm] = self.now + every.mul_f64(self.rng.random_range(0.8..1.2));
            }
        }
    }

    fn deliver(&mut self, from: usize, to: &VmId, message: LoadMessage) {
        let to = (0..self.vms.len()).find(|other| name(*other) == *to);
        let to = to.expect("a VM of the region");
        self.vms[to].handle_message(self.now, &name(from), message);
    }
}
