//! Exhaustive search over the quarantine state machines of three VMs: every order of sends,
//! crashes, deliveries, losses and resends, up to a bound on each.

use {
    ebonystand_core::*,
    pathfinding::prelude::bfs,
    rstest::rstest,
    std::{
        cell::Cell,
        collections::BTreeSet,
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
};

const FINGERPRINT: Fingerprint = 5;
const RUN_LIMIT: Duration = Duration::from_secs(60);
const VMS: [&str; 3] = ["vm-0", "vm-1", "vm-2"];

/// Safeguard that the simulated gateway leaves out, to show that the search finds the resulting
/// fault.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Without {
    /// Suspects run without a permit from their owner.
    Ask,
    /// The caller is answered before the crash is recorded on all VMs.
    Hold,
    Nothing,
}

/// A request of the caller, with the index of its VM and its run.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Request {
    Asking(usize, RunId),
    /// The run crashed its upstream, and the caller has no answer yet.
    Held(usize, RunId),
    Running(usize, RunId),
}

/// State of the search: the VMs, the messages in flight and what the caller may still do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    crashes: u32,
    has_lost: bool,
    losses: u32,
    /// Messages in flight, each with the index of its sender.
    network: Vec<(usize, OutgoingQuarantineMessage)>,
    now: Duration,
    requests: Vec<Request>,
    /// Number of requests that the caller may still send.
    sends: u32,
    vms: Vec<Quarantine>,
    without: Without,
}

impl World {
    fn new(vms: usize, sends: u32, losses: u32, without: Without) -> Self {
        let live = VMS[..vms]
            .iter()
            .copied()
            .map(VmId::from)
            .collect::<BTreeSet<_>>();
        let vm = |id: &VmId| {
            let mut vm = Quarantine::new(id.clone(), 0);
            vm.set_live_vms(Duration::ZERO, live.clone());
            vm
        };
        Self {
            crashes: 0,
            has_lost: false,
            losses,
            network: Vec::new(),
            now: Duration::ZERO,
            requests: Vec::new(),
            sends,
            vms: live.iter().map(vm).collect(),
            without,
        }
    }

    /// All successor states. At most two requests are open at a time.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.sends > 0 && self.requests.len() < 2 {
            next.extend((0..self.vms.len()).map(|vm| self.after_send(vm)));
        }
        for at in 0..self.requests.len() {
            if let Request::Running(vm, run) = self.requests[at] {
                next.push(self.after_crash(at, vm, run));
            }
        }
        for at in 0..self.network.len() {
            next.push(self.after_delivery(at));
            if self.losses > 0 {
                let mut world = self.clone();
                world.losses -= 1;
                world.has_lost = true;
                world.network.remove(at);
                next.push(world);
            }
        }
        if self.has_lost && self.now.is_zero() {
            next.push(self.after_tick());
        }
        next
    }

    fn begin(&mut self, vm: usize, run: RunId) {
        match self.vms[vm].start_run(self.now, run, FINGERPRINT) {
            QuarantineDecision::PermitRequired if self.without != Without::Ask => {
                self.requests.push(Request::Asking(vm, run));
                let output = self.vms[vm].request_permit(self.now, run, FINGERPRINT, RUN_LIMIT);
                self.apply(vm, output);
            }
            QuarantineDecision::PermitRequired | QuarantineDecision::Started => {
                self.requests.push(Request::Running(vm, run));
            }
            QuarantineDecision::Refused { .. } => {}
        }
    }

    fn after_send(&self, vm: usize) -> Self {
        let mut world = self.clone();
        world.sends -= 1;
        let run = world.vms[vm].allocate_run();
        world.begin(vm, run);
        world.sorted()
    }

    /// Crashes a run's upstream. Each run has an upstream of its own, which is the worst case.
    fn after_crash(&self, at: usize, vm: usize, run: RunId) -> Self {
        let mut world = self.clone();
        world.crashes += 1;
        world.requests.remove(at);
        if self.without != Without::Hold {
            world.requests.push(Request::Held(vm, run));
        }
        let upstream = format!("{vm}-{run}").into();
        let end = RunEnd::Crashed { upstream };
        let output = world.vms[vm].finish_run(world.now, run, end);
        world.apply(vm, output);
        world.sorted()
    }

    fn after_delivery(&self, at: usize) -> Self {
        let mut world = self.clone();
        let (from, send) = world.network.remove(at);
        let to = VMS
            .iter()
            .position(|vm| **vm == *send.to)
            .expect("it exists");
        let output = world.vms[to].handle_message(world.now, &VMS[from].into(), send.message);
        world.apply(to, output);
        world.sorted()
    }

    /// Advances the clock so far that all VMs resend what is unconfirmed.
    fn after_tick(&self) -> Self {
        self.after_tick_at(Duration::from_millis(200))
    }

    fn after_tick_at(&self, now: Duration) -> Self {
        let mut world = self.clone();
        world.now = now;
        for vm in 0..self.vms.len() {
            let output = world.vms[vm].tick(world.now);
            world.apply(vm, output);
        }
        world.sorted()
    }

    fn apply(&mut self, vm: usize, output: QuarantineOutput) {
        self.network
            .extend(output.messages.into_iter().map(|send| (vm, send)));
        for run in output.recorded_runs {
            self.requests
                .retain(|request| *request != Request::Held(vm, run));
        }
        for PermitAnswer { permit, run } in output.permit_answers {
            self.requests
                .retain(|request| *request != Request::Asking(vm, run));
            if permit == RunPermit::Granted {
                self.begin(vm, run);
            }
        }
    }

    /// Delivers all messages in flight.
    fn after_all_deliveries(mut self) -> Self {
        while !self.network.is_empty() {
            self = self.after_delivery(0);
        }
        self
    }

    fn after_send_and_deliveries(&self, vm: usize) -> Self {
        self.after_send(vm).after_all_deliveries()
    }

    fn after_crash_and_deliveries(&self) -> Self {
        let Some(Request::Running(vm, run)) = self.requests.first().cloned() else {
            return self.clone();
        };
        self.after_crash(0, vm, run).after_all_deliveries()
    }

    fn sorted(mut self) -> Self {
        self.requests.sort();
        self.network.sort_by_cached_key(|message| {
            let mut hasher = DefaultHasher::new();
            message.hash(&mut hasher);
            hasher.finish()
        });
        self
    }
}

/// Number of states visited, and the shortest path to a third crash if there is one.
fn search(start: &World) -> (usize, Option<Vec<World>>) {
    let seen = Cell::new(0);
    let path = bfs(
        start,
        |world| {
            seen.set(seen.get() + 1);
            world.successors()
        },
        |world| world.crashes > 2,
    );
    (seen.get(), path)
}

/// A request that crashes every upstream it runs on takes down at most two, although its caller
/// sends it again through any VM, up to two at a time, and messages between VMs are reordered, lost
/// and resent.
#[rstest]
#[case::any_order(3, 6, 0)]
#[case::one_loss_and_resend(2, 5, 1)]
fn a_poison_request_crashes_at_most_two_upstreams(
    #[case] vms: usize,
    #[case] sends: u32,
    #[case] losses: u32,
) {
    let (seen, path) = search(&World::new(vms, sends, losses, Without::Nothing));
    println!(
        "{vms} VMs, {sends} sends, {losses} losses: {seen} worlds, no third crash: {}",
        path.is_none()
    );
    assert_eq!(path.map(|path| path.len()), None);
}

/// The search finds a third crash when a safeguard is missing: when callers are answered before a
/// crash is recorded, or suspects run without a permit. Otherwise the search would prove nothing.
#[rstest]
fn without_a_safeguard_a_third_upstream_goes_down(
    #[values(Without::Ask, Without::Hold)] without: Without,
) {
    let (seen, path) = search(&World::new(3, 4, 0, without));
    let steps = path.expect("a third crash").len() - 1;
    println!("{without:?}: third crash after {steps} steps, {seen} worlds");
}

/// A VM that holds the grant for a suspect is killed with its run, or partitioned, and nobody
/// reports the run's end. The run must count as a crash, or the next grant could take down a third
/// upstream.
#[test]
fn a_run_whose_vm_vanished_counts_as_a_crash() {
    let first = World::new(3, 3, 0, Without::Nothing).after_send_and_deliveries(0);
    let mut world = first
        .after_crash_and_deliveries()
        .after_send_and_deliveries(1);
    assert!(matches!(world.requests[..], [Request::Running(1, _)]));
    world.now = Quarantine::START_TIMEOUT + RUN_LIMIT;
    let world = world.after_tick_at(world.now).after_all_deliveries();
    let refusal = world.vms[2].refusal(world.now, FINGERPRINT);
    assert_eq!(
        refusal.map(|refusal| refusal.code),
        Some(RefusalCode::Quarantined)
    );
}

/// Guards against a suspect that runs by the permit of a run of the former process.
#[rstest]
#[case::to_this_process(1 << 32, 1)]
#[case::to_the_former_process(0, 0)]
fn a_permit_of_a_former_process_starts_no_run(#[case] asked_by: RunId, #[case] permits: usize) {
    let announced = QuarantineMessage::Announced {
        announcement: 1,
        fingerprint: FINGERPRINT,
        remaining: RUN_LIMIT,
        stage: SuspectStage::Suspected,
    };
    let ask = |first_run| {
        let mut vm = Quarantine::new(VMS[0].into(), first_run);
        vm.set_live_vms(Duration::ZERO, VMS.map(VmId::from).into());
        vm.handle_message(Duration::ZERO, &VMS[1].into(), announced.clone());
        let run = vm.allocate_run();
        vm.request_permit(Duration::ZERO, run, FINGERPRINT, RUN_LIMIT);
        (vm, run)
    };
    let (mut vm, _) = ask(1 << 32);
    let (_, run) = ask(asked_by);
    let permit = RunPermit::Granted;
    let answer = QuarantineMessage::Answer { permit, run };
    let output = vm.handle_message(Duration::ZERO, &VMS[1].into(), answer);
    assert_eq!(output.permit_answers.len(), permits);
}

/// Guards against a VM that has restarted and is not told of a suspect, since its former process has acknowledged it.
#[test]
fn an_acknowledgement_of_a_former_process_ends_no_announcement() {
    let first = World::new(3, 1, 0, Without::Nothing).after_send_and_deliveries(0);
    let mut world = first.after_crash(0, 0, 1);
    let is_ack = |send: &OutgoingQuarantineMessage| {
        matches!(send.message, QuarantineMessage::Acknowledged { .. })
    };
    while let Some(at) = world.network.iter().position(|(_, send)| !is_ack(send)) {
        world = world.after_delivery(at);
    }
    let (told, late) = world.network.remove(0);
    let live = world.vms[told].clone();
    world = world.after_all_deliveries();
    assert!(live.is_suspect(world.now, FINGERPRINT));

    let owner = VMS
        .iter()
        .position(|vm| **vm == *late.to)
        .expect("it exists");
    let mut restarted = Quarantine::new(VMS[told].into(), 1 << 32);
    restarted.set_live_vms(world.now, VMS.map(VmId::from).into());
    world.vms[told] = restarted;
    // What is sent first to the new process gets lost.
    world.vms[owner].handle_restart(world.now, &VMS[told].into());
    let output = world.vms[owner].handle_message(world.now, &VMS[told].into(), late.message);
    world.apply(owner, output);
    let world = world.after_all_deliveries();
    let world = world.after_tick().after_all_deliveries();
    assert!(world.vms[told].is_suspect(world.now, FINGERPRINT));
}

/// The owner of a suspect leaves while another VM runs it under the owner's grant. The new owner
/// does not know of that grant and must not give a second one before the run has ended.
#[rstest]
fn a_new_owner_waits_for_the_old_ones_grant(#[values(0, 1, 2)] gone: usize) {
    let (holder, asker) = ((gone + 1) % 3, (gone + 2) % 3);
    let first = World::new(3, 4, 0, Without::Nothing).after_send_and_deliveries(gone);
    let mut world = first
        .after_crash_and_deliveries()
        .after_send_and_deliveries(holder);
    let live = BTreeSet::from([VMS[holder].into(), VMS[asker].into()]);
    world.vms[holder].set_live_vms(world.now, live.clone());
    world.vms[asker].set_live_vms(world.now, live);
    let world = world.after_send_and_deliveries(asker);
    assert!(matches!(world.requests[..], [Request::Running(vm, _)] if vm == holder));
}
