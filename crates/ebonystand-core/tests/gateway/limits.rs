//! Limits that upstreams name, shared by the VMs of a region.

use {super::*, rstest::rstest, std::collections::VecDeque};

/// Time between two steps of the simulation.
const STEP: u64 = 10;
/// Time that the upstream takes to answer.
const ANSWER: u64 = 20;
/// Time from the first naming of a limit until it binds.
const GRACE: u64 = 5_000;
/// Length of the windows that a limit is checked in.
const WINDOW: u64 = 4_000;

/// VMs of a region before one upstream `u1`, which names a limit from the first answer on.
struct Region {
    vms: Vec<SimVm>,
    arrivals: Vec<u64>,
    answers: VecDeque<(u64, usize, u64)>,
    /// Number of the first VMs that are cut off from the rest, if a cut is in force.
    cut: Option<usize>,
    demand_per_s: f64,
    limit: Option<f64>,
    messages: Vec<(usize, VmId, LoadMessage)>,
    now: u64,
}

struct SimVm {
    book: UpstreamBook,
    /// Requests that callers have brought and that are not sent yet, as a fraction.
    demand: f64,
    has_demand: bool,
    is_up: bool,
    name: VmId,
}

impl Region {
    fn new(vms: usize, limit: f64, demand_per_s: f64) -> Self {
        let mut region = Self {
            vms: (0..vms).map(SimVm::new).collect(),
            arrivals: Vec::new(),
            answers: VecDeque::new(),
            cut: None,
            demand_per_s,
            limit: Some(limit),
            messages: Vec::new(),
            now: 0,
        };
        region.share_views();
        region
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut
            .is_some_and(|first| (one < first) != (other < first))
    }

    /// Tells each VM which others it sees now.
    fn share_views(&mut self) {
        for own in 0..self.vms.len() {
            let seen =
                (0..self.vms.len()).filter(|vm| self.vms[*vm].is_up && !self.is_cut(own, *vm));
            let seen = region_vms(seen.map(|vm| self.vms[vm].name.to_string()));
            self.vms[own].book.set_vms(ms(self.now), &seen);
        }
    }

    fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.answer();
            self.send_requests();
            if self.now.is_multiple_of(100) {
                self.exchange_messages();
            }
        }
    }

    fn answer(&mut self) {
        while let Some((at, vm, sent)) = self.answers.front().copied()
            && at <= self.now
        {
            self.answers.pop_front();
            let now = ms(self.now);
            let book = &mut self.vms[vm].book;
            book.record_attempt_end(now, "u1", AttemptEnd::Answered, ms(ANSWER));
            book.record_limit(now, "u1", ms(sent), self.limit.map(limit));
        }
    }

    fn send_requests(&mut self) {
        let sets = Sets::default();
        for (number, vm) in self.vms.iter_mut().enumerate() {
            if !vm.is_up || !vm.has_demand {
                continue;
            }
            vm.demand = (vm.demand + self.demand_per_s * STEP as f64 / 1_000.0).min(1.0);
            if vm.demand < 1.0 {
                continue;
            }
            let query = sets.query(None);
            let choice = vm.book.choose_target(ms(self.now), &query);
            if instance(&choice).is_some() {
                vm.demand -= 1.0;
                vm.book.record_sent(ms(self.now), &query, "u1", 0);
                self.arrivals.push(self.now);
                self.answers
                    .push_back((self.now + ANSWER, number, self.now));
            }
        }
    }

    fn exchange_messages(&mut self) {
        for (from, to, message) in std::mem::take(&mut self.messages) {
            let index = self.vms.iter().position(|vm| vm.name == to);
            let index = index.expect("a VM of the region");
            if self.vms[index].is_up && !self.is_cut(from, index) {
                let name = self.vms[from].name.clone();
                let book = &mut self.vms[index].book;
                book.receive_load_message(ms(self.now), &name, message);
            }
        }
        for (number, vm) in self.vms.iter_mut().enumerate() {
            if vm.is_up {
                let messages = vm.book.build_load_messages(ms(self.now));
                let messages = messages
                    .into_iter()
                    .map(|(to, message)| (number, to, message));
                self.messages.extend(messages);
            }
        }
    }

    /// Largest number of requests in any window that starts from `from` on.
    fn most_in_a_window(&self, from: u64) -> usize {
        let starts = self.arrivals.iter().filter(|at| **at >= from);
        let within = |start: &u64| {
            let within = |at: &&u64| (*start..*start + WINDOW).contains(at);
            self.arrivals.iter().filter(within).count()
        };
        starts.map(within).max().unwrap_or(0)
    }

    /// Requests that arrived from `from` on.
    fn arrived_since(&self, from: u64) -> usize {
        self.arrivals.iter().filter(|at| **at >= from).count()
    }

    /// Checks that no window from `from` on has more than one and a half times the limit, plus five.
    fn check_bound(&self, from: u64, per_s: f64) {
        let allowed = per_s * WINDOW as f64 / 1_000.0 * 1.5 + 5.0;
        let most = self.most_in_a_window(from);
        assert!(most as f64 <= allowed, "{most} in 4 s, {allowed} allowed");
    }

    /// Checks that at least 0.8 of the limit is used from `from` on.
    fn check_use(&self, from: u64, per_s: f64) {
        let seconds = (self.now - from) as f64 / 1_000.0;
        let wanted = per_s * seconds * 0.8;
        let arrived = self.arrived_since(from);
        assert!(
            arrived as f64 >= wanted,
            "{arrived} served, {wanted} wanted"
        );
    }
}

impl SimVm {
    fn new(number: usize) -> Self {
        let name = format!("vm{number}");
        Self {
            book: book_of(&name, vec![listed("u1", "a-1", 1)]),
            demand: 0.0,
            has_demand: true,
            is_up: true,
            name: name.into(),
        }
    }
}

fn limit(per_s: f64) -> UpstreamLimit {
    UpstreamLimit::parse(&per_s.to_string()).expect("a limit")
}

/// Each VM alone would send a request as soon as it may; the limit binds the sum of all.
#[rstest]
fn vms_together_keep_an_upstream_within_its_limit(
    #[values(1, 2, 4, 14, 60)] vms: usize,
    #[values(0.5, 1.0, 5.7, 40.0)] per_s: f64,
) {
    let mut region = Region::new(vms, per_s, 200.0);
    region.run(GRACE);
    region.run(40_000);
    region.check_bound(GRACE, per_s);
    region.check_use(GRACE + 5_000, per_s);
}

/// The demand of callers that stay away for a while must not add up to a burst.
#[test]
fn idle_time_does_not_add_up_to_a_burst_beyond_a_limit() {
    let mut region = Region::new(14, 5.7, 200.0);
    region.run(GRACE + 5_000);
    region.vms.iter_mut().for_each(|vm| vm.has_demand = false);
    region.run(30_000);
    region.vms.iter_mut().for_each(|vm| vm.has_demand = true);
    region.run(10_000);
    region.check_bound(GRACE, 5.7);
}

/// VMs that see only their own side of a cut must not each take over the other side's share.
#[rstest]
#[case(6, 3, 20.0)]
#[case(6, 1, 20.0)]
#[case(40, 20, 5.7)]
fn a_cut_between_vms_does_not_double_a_limit(
    #[case] vms: usize,
    #[case] cut: usize,
    #[case] per_s: f64,
) {
    let mut region = Region::new(vms, per_s, 200.0);
    region.run(GRACE + 5_000);
    region.cut = Some(cut);
    region.run(5_000);
    region.share_views();
    region.run(8_000);
    region.cut = None;
    region.run(1_000);
    region.share_views();
    region.run(10_000);
    region.check_bound(GRACE, per_s);
    region.check_use(GRACE + 5_000, per_s);
}

/// A VM that ends takes its share with it for a while only.
#[test]
fn the_share_of_a_vm_that_is_gone_comes_back() {
    let mut region = Region::new(4, 20.0, 200.0);
    region.run(GRACE + 5_000);
    region.vms[1].is_up = false;
    region.run(5_000);
    region.share_views();
    region.run(20_000);
    let from = region.now;
    region.run(20_000);
    region.check_bound(GRACE, 20.0);
    region.check_use(from, 20.0);
}

/// A VM that starts again has forgotten the limit, and sees no other VM at first.
#[test]
fn a_vm_that_starts_again_hears_of_a_limit_from_its_peers() {
    let mut region = Region::new(4, 5.7, 200.0);
    region.run(GRACE + 5_000);
    for vm in [0, 1, 2, 3] {
        region.vms[vm] = SimVm::new(vm);
        region.vms[vm].has_demand = false;
        region.run(1_000);
        region.share_views();
        region.run(2_000);
        region.vms[vm].has_demand = true;
        region.run(3_000);
    }
    region.check_bound(GRACE, 5.7);
}

/// A VM whose callers come late must not have to hear of the limit from the upstream itself.
#[test]
fn a_vm_without_requests_knows_the_limit_before_its_first() {
    let mut region = Region::new(60, 1.0, 200.0);
    region.vms[1..]
        .iter_mut()
        .for_each(|vm| vm.has_demand = false);
    region.run(GRACE);
    region.vms.iter_mut().for_each(|vm| vm.has_demand = true);
    region.run(10_000);
    region.check_bound(GRACE, 1.0);
}

/// All VMs must follow a limit that rises, falls and ends.
#[test]
fn a_limit_that_changes_is_followed_by_all_vms() {
    let mut region = Region::new(30, 40.0, 200.0);
    region.run(GRACE + 5_000);
    region.limit = Some(5.0);
    region.run(1_000);
    let fallen = region.now;
    region.run(20_000);
    region.check_bound(fallen, 5.0);
    region.limit = Some(20.0);
    region.run(2_000);
    let risen = region.now;
    region.run(20_000);
    region.check_bound(risen, 20.0);
    region.check_use(risen, 20.0);
    region.limit = None;
    region.run(2_000);
    let ended = region.now;
    region.run(1_000);
    let arrived = region.arrived_since(ended);
    assert!(arrived > 1_000, "{arrived} served without a limit");
}

/// Word of a limit that two relays pass to and fro must not grow younger on the way.
#[test]
fn a_limit_told_to_and_fro_does_not_grow_younger() {
    let mut region = Region::new(2, 5.0, 200.0);
    region.run(1_000);
    region.vms.iter_mut().for_each(|vm| vm.has_demand = false);
    region.run(30_000);
    for vm in &region.vms {
        let status = vm.book.limits(ms(region.now)).next().expect("a limit");
        assert!(status.age_ms >= 29_000, "{} ms", status.age_ms);
    }
}

/// VMs that do not send must not shun an upstream for good when those that send have no requests.
#[test]
fn vms_that_hear_nothing_of_a_limit_try_again_within_it() {
    let mut region = Region::new(60, 5.0, 200.0);
    region.run(GRACE + 5_000);
    for vm in &mut region.vms {
        let status = vm.book.limits(ms(region.now)).next().expect("a limit");
        vm.has_demand = status.share_per_s == 0.0;
    }
    region.run(1_000);
    let silent = region.now;
    region.run(50_000);
    assert_eq!(region.arrived_since(silent), 0);
    region.run(40_000);
    assert!(region.arrived_since(silent) > 0);
    region.check_bound(GRACE, 5.0);
}

/// An answer that was under way when the limit was first named says nothing of its end.
#[test]
fn an_answer_that_was_overtaken_does_not_end_a_limit() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    assert!(book.record_limit(ms(100), "u1", ms(50), Some(limit(1.0))));
    assert!(!book.record_limit(ms(110), "u1", ms(60), None));
    assert!(book.record_limit(ms(200), "u1", ms(150), None));
}
