//! Fencing of orders to engines that check the fencing token, and to engines that do not.

use {
    ebonystand_core::{
        FenceCommand, FenceHolder, FenceOutcome, FencePermit, FenceRegistry, FencedRole,
        FencedRoleError, FencedRoleTimings, Upstream, UpstreamKind,
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::time::Duration,
};

const MS: Duration = Duration::from_millis(1);
const ROLE: &str = "placement/utara";
const SEEDS: u64 = 400;
const STEP: Duration = Duration::from_millis(50);

fn holder(vm: &str, incarnation: u64) -> FenceHolder {
    FenceHolder {
        incarnation,
        vm: vm.into(),
    }
}

fn claim(vm: &str, after: u64) -> FenceCommand {
    FenceCommand::Claim {
        after,
        holder: holder(vm, 1),
        role: ROLE.into(),
    }
}

fn upstream(enforces_fencing: bool) -> Upstream {
    Upstream {
        address: ([127, 0, 0, 1], 1).into(),
        cost: 1,
        enforces_fencing,
        kind: UpstreamKind::Model {
            models: ["m".into()].into(),
        },
        leaving: false,
        region: "utara".into(),
        speed: 1,
        zone: "a".into(),
    }
}

/// Two VMs see their predecessor vanish and claim its role at the same time; a third claim is long
/// delayed. One of them gets the next token and the others none. The winner's resent claim returns
/// the same token.
#[test]
fn of_two_successors_one_gets_the_next_number() {
    let mut registry = FenceRegistry::default();
    let held = |fence| FenceOutcome::Held { fence, renewal: 0 };
    assert_eq!(registry.apply(&claim("a", 0)), held(1));
    assert_eq!(registry.apply(&claim("b", 1)), held(2));
    assert_eq!(
        registry.apply(&claim("c", 1)),
        FenceOutcome::Lost { fence: 2 }
    );
    assert_eq!(registry.apply(&claim("b", 1)), held(2));
    let renew = FenceCommand::Renew {
        fence: 1,
        renewal: 9,
        role: ROLE.into(),
    };
    assert_eq!(registry.apply(&renew), FenceOutcome::Lost { fence: 2 });
}

/// A new holder may send orders at once to an upstream that checks fencing tokens. To another it
/// must wait and then read a state that its predecessor can no longer change.
#[test]
fn a_successor_waits_and_reads_before_it_orders() {
    let (mut registry, times) = (FenceRegistry::default(), FencedRoleTimings::default());
    registry.apply(&claim("a", 0));
    let mut fenced_role = FencedRole::new(Duration::ZERO, ROLE.into(), holder("b", 1), times);
    fenced_role.observe_registry(Duration::ZERO, &registry);
    let mut now = Duration::ZERO;
    let mut advance = |fenced_role: &mut FencedRole, to: Duration| {
        while now < to {
            now += STEP;
            if let Some(command) = fenced_role.poll(now) {
                fenced_role.handle_outcome(now, &registry.apply(&command));
            }
        }
    };
    let (id, checks, ignores) = ("engine".into(), upstream(true), upstream(false));
    let held = times.lease * 2 + STEP * 2;
    advance(&mut fenced_role, held);
    assert!(fenced_role.authorize_order(held, &id, &checks).is_ok());
    assert_eq!(
        fenced_role.authorize_order(held, &id, &ignores).err(),
        Some(FencedRoleError::PredecessorActive)
    );
    fenced_role.record_state_read(held, id.clone());
    let open = held + times.succession_wait();
    advance(&mut fenced_role, open);
    assert_eq!(
        fenced_role.authorize_order(open, &id, &ignores).err(),
        Some(FencedRoleError::StateUnread)
    );
    fenced_role.record_state_read(open, id.clone());
    assert!(fenced_role.authorize_order(open, &id, &ignores).is_ok());
}

/// A holder with a slow clock renews its lease, and a successor with a fast clock claims the role
/// right behind that renewal. The holder receives the answer to its renewal early, late or twice,
/// and nothing else. Its last order must have taken effect before the successor's first one.
#[rstest]
#[case::soon(&[0])]
#[case::late(&[5_500])]
#[case::twice(&[0, 3_000])]
fn the_wait_outlasts_the_predecessor(#[case] answers: &[u32]) {
    let (mut registry, times, engine) = (
        FenceRegistry::default(),
        FencedRoleTimings::default(),
        upstream(false),
    );
    let new = |vm| FencedRole::new(Duration::ZERO, ROLE.into(), holder(vm, 1), times);
    let (mut a, mut b) = (new("a"), new("b"));
    let (mut claimed, mut last, mut first) = (None, None, None);
    for now in (0..5_000).map(|turn| MS * 10 * turn) {
        let (slow, fast) = (now * 990 / 1_000, now * 1_010 / 1_000);
        if let Some(command) = a.poll(slow)
            && claimed.is_none()
        {
            let outcome = registry.apply(&command);
            b.observe_registry(Duration::ZERO, &registry);
            if now < times.lease * 3 {
                a.handle_outcome(slow, &outcome);
            } else {
                let claim = b.poll(fast).expect("the holder seems dead");
                b.handle_outcome(fast, &registry.apply(&claim));
                claimed = Some((now, outcome));
            }
        }
        if let Some((at, outcome)) = claimed {
            if answers.iter().any(|wait| at + MS * *wait == now) {
                a.handle_outcome(slow, &outcome);
            }
            if let Some(command) = b.poll(fast) {
                b.handle_outcome(fast, &registry.apply(&command));
            }
        }
        for (fenced_role, clock) in [(&mut a, slow), (&mut b, fast)] {
            fenced_role.record_state_read(clock, "engine".into());
        }
        if a.authorize_order(slow, &"engine".into(), &engine).is_ok() {
            last = Some(now);
        }
        if first.is_none() && b.authorize_order(fast, &"engine".into(), &engine).is_ok() {
            first = Some(now);
        }
    }
    let last = last.expect("the holder orders");
    let first = first.expect("its successor orders");
    assert!(last + times.order <= first, "{last:?} {first:?}");
}

/// Process with its own clock, which is fast or slow by up to the drift bound.
struct Vm {
    /// Time until which the process sees no registry change, so that it takes a live holder for
    /// dead.
    blind_until: Duration,
    frozen_until: Duration,
    fenced_role: FencedRole,
    permit: Option<FencePermit>,
    /// Clock rate in thousandths of true time.
    rate: u32,
}

/// Two VMs that compete for a role, and an engine that ignores fencing tokens.
struct Simulation {
    now: Duration,
    /// Results in flight, with their arrival time and the index of the receiving VM.
    outcomes: Vec<(Duration, usize, FenceOutcome)>,
    registry: FenceRegistry,
    rng: Pcg64Mcg,
    /// Orders as the engine sees them, with the time at which they take effect and their token.
    seen: Vec<(Duration, u64)>,
    vms: [Vm; 2],
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let vm = |(rate, vm)| Vm {
            blind_until: Duration::ZERO,
            frozen_until: Duration::ZERO,
            fenced_role: FencedRole::new(
                Duration::ZERO,
                ROLE.into(),
                holder(vm, 1),
                FencedRoleTimings::default(),
            ),
            permit: None,
            rate,
        };
        Self {
            now: Duration::ZERO,
            outcomes: Vec::new(),
            registry: FenceRegistry::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            seen: Vec::new(),
            vms: [(990, "a"), (1_010, "b")].map(vm),
        }
    }

    /// Runs one turn of a VM: it receives results, claims, renews and orders. It uses a permit one
    /// turn after it was issued, and may freeze in between.
    fn run_turn(&mut self, i: usize) {
        let (now, vm, rng) = (self.now, &mut self.vms[i], &mut self.rng);
        let clock = now * vm.rate / 1_000;
        for (_, _, outcome) in self
            .outcomes
            .extract_if(.., |(at, to, _)| *to == i && *at <= now)
        {
            vm.fenced_role.handle_outcome(clock, &outcome);
        }
        if now >= vm.blind_until {
            vm.fenced_role.observe_registry(clock, &self.registry);
        }
        if let Some(command) = vm.fenced_role.poll(clock).filter(|_| rng.random_bool(0.9)) {
            let longest = if rng.random_bool(0.2) { 9_000 } else { 50 };
            let arrival = now + MS * rng.random_range(1..longest);
            let outcome = self.registry.apply(&command);
            self.outcomes.push((arrival, i, outcome));
        }
        let (id, engine) = ("engine".into(), upstream(false));
        vm.fenced_role.record_state_read(clock, "engine".into());
        if let Some(Ok(fence)) = vm.permit.take().map(|permit| permit.redeem(clock)) {
            let late = FencedRoleTimings::default().order * rng.random_range(0..=1);
            self.seen.push((now + late, fence));
        }
        vm.permit = vm.fenced_role.authorize_order(clock, &id, &engine).ok();
        if rng.random_bool(0.01) {
            vm.blind_until = now + MS * rng.random_range(1_000..40_000);
        }
        if rng.random_bool(0.004) {
            vm.frozen_until = now + MS * rng.random_range(1_000..40_000);
        }
    }
}

/// Two VMs compete for a role over a log with delays and losses, clocks at the edges of the drift
/// bound, freezes, orders that take effect late, and claims while the holder lives. An engine that
/// ignores tokens must never see an order of a former holder after one of its successor.
#[test]
fn an_engine_that_ignores_numbers_sees_one_orderer_at_a_time() {
    let mut successions = 0;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        while simulation.now < Duration::from_secs(240) {
            simulation.now += STEP;
            for i in 0..2 {
                if simulation.now >= simulation.vms[i].frozen_until {
                    simulation.run_turn(i);
                }
            }
        }
        simulation.seen.sort_unstable();
        let falls = simulation.seen.windows(2).any(|pair| pair[0].1 > pair[1].1);
        assert!(!falls, "seed {seed}");
        successions += simulation.seen.last().map_or(0, |(_, fence)| fence - 1);
    }
    println!("{successions} successions in {SEEDS} seeds");
    assert!(successions > SEEDS);
}
