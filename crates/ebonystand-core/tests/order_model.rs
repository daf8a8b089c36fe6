//! Model check of a small specification of the once-only order, independent of the product's code.
//!
//! The model has two VMs, one order, up to three requests with two bodies, two crashes with
//! restarts, and pruning at any time. A message stays on the network for ever and may be delivered
//! at any time, which covers loss, duplication, reordering and delay. A freeze is a VM that does
//! nothing while others act; the model lets a VM send however late, so the bound of one run doesn't
//! depend on a deadline.

use {pathfinding::prelude::bfs, rstest::rstest, std::cell::Cell};

const REQUESTS: usize = 3;
const CRASHES: u8 = 2;
const VMS: u8 = 2;

/// Rule of the protocol that can be disabled in the model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Safeguard {
    /// Only the holder of an order may abandon it.
    AbandonByHolder,
    /// A request with another body than the recorded one gets a conflict.
    BodyHash,
    /// A grant is answered only once it is durable.
    DurableFirst,
    /// A restarted process has a new incarnation.
    FreshIncarnation,
    /// A request that has given up ignores a grant that arrives late.
    LateGrant,
    /// A caller is told `not_run` only once the abandonment is recorded.
    NotRunAfterAbandoned,
    /// A request gets at most one permit, even if its grant arrives twice.
    OnePermit,
    /// A key whose record may have been pruned is rejected.
    PruneFloor,
    /// A granted order isn't granted to another holder, even if its holder seems dead.
    UnknownAfterDeath,
}

/// Phase of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Abandoning,
    Asking,
    Closed,
    Dead,
    Marking,
    Permitted,
    Sent,
    Storing,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Reply {
    Answer(u8),
    NotRun,
    Unknown,
}

/// Request of a caller; `holder` is what the journal compares: VM, incarnation and attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Request {
    body: u8,
    holder: (u8, u8, u8),
    phase: Phase,
    runs: u8,
    reply: Option<Reply>,
}

/// State of an order in the journal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum RecordState {
    Abandoned,
    Answered(u8),
    Granted,
    Unknown,
}

/// Record of the journal: the holder, the body and the state of the order.
type Record = Option<((u8, u8, u8), u8, RecordState)>;

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Vm {
    attempts: u8,
    down: bool,
    incarnation: u8,
}

/// Bits of the commands in flight to the journal.
const ABANDON: u8 = 1;
const ANSWER: u8 = 2;
const GRANT: u8 = 4;
const MARK_UNKNOWN: u8 = 8;

/// Bits of the outcomes in flight to a request; from `ANSWERED` on, one bit for the answer of each
/// request.
const ABANDONED: u8 = 1;
const GRANTED: u8 = 2;
const OTHER: u8 = 4;
const CONFLICT: u8 = 8;
const ANSWERED: u8 = 16;

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    commands: [u8; REQUESTS],
    crashes: u8,
    durable: Record,
    floor: bool,
    outcomes: [u8; REQUESTS],
    record: Record,
    requests: [Option<Request>; REQUESTS],
    vms: [Vm; VMS as usize],
}

/// Model of the protocol, with at most one safeguard disabled.
struct Model {
    off: Option<Safeguard>,
}

impl Model {
    fn is_on(&self, safeguard: Safeguard) -> bool {
        self.off != Some(safeguard)
    }

    /// Applies a command of request `i` to the journal. Returns the bits of the outcome.
    fn apply(&self, s: &mut State, i: usize, command: u8) -> u8 {
        let Some(req) = s.requests[i] else { return 0 };
        let Some((holder, body, held)) = s.record else {
            if s.floor && self.is_on(Safeguard::PruneFloor) {
                return OTHER;
            }
            return match command {
                ABANDON => {
                    s.record = Some((req.holder, req.body, RecordState::Abandoned));
                    ABANDONED
                }
                GRANT => {
                    s.record = Some((req.holder, req.body, RecordState::Granted));
                    GRANTED
                }
                _ => OTHER,
            };
        };
        let mine = holder == req.holder;
        match (command, held) {
            (ABANDON | GRANT, _) if body != req.body && self.is_on(Safeguard::BodyHash) => CONFLICT,
            (GRANT, RecordState::Abandoned) if !mine => {
                s.record = Some((req.holder, req.body, RecordState::Granted));
                GRANTED
            }
            (GRANT, RecordState::Granted) if mine => GRANTED,
            (GRANT, RecordState::Granted) if !self.is_on(Safeguard::UnknownAfterDeath) => {
                s.record = Some((req.holder, req.body, RecordState::Granted));
                GRANTED
            }
            (ABANDON, RecordState::Abandoned) => ABANDONED,
            (ABANDON, RecordState::Granted | RecordState::Unknown)
                if mine || !self.is_on(Safeguard::AbandonByHolder) =>
            {
                s.record = Some((holder, body, RecordState::Abandoned));
                ABANDONED
            }
            (ANSWER, RecordState::Granted | RecordState::Unknown) if mine => {
                s.record = Some((holder, body, RecordState::Answered(i as u8)));
                OTHER
            }
            (MARK_UNKNOWN, RecordState::Granted) if mine => {
                s.record = Some((holder, body, RecordState::Unknown));
                OTHER
            }
            (ABANDON | GRANT, RecordState::Answered(by)) => ANSWERED << by,
            _ => OTHER,
        }
    }

    /// Delivers an outcome to request `i`, if its process is running.
    fn deliver(&self, s: &mut State, i: usize, outcome: u8) {
        let Some(req) = &mut s.requests[i] else {
            return;
        };
        let open = matches!(req.phase, Phase::Abandoning | Phase::Asking);
        if outcome == GRANTED {
            let late = matches!(req.phase, Phase::Abandoning | Phase::Closed);
            let again = matches!(req.phase, Phase::Sent);
            if req.phase == Phase::Asking
                || late && !self.is_on(Safeguard::LateGrant)
                || again && !self.is_on(Safeguard::OnePermit)
            {
                req.phase = Phase::Permitted;
            }
            return;
        }
        if !open || outcome == ABANDONED && req.phase != Phase::Abandoning {
            return;
        }
        req.phase = Phase::Closed;
        req.reply = req.reply.or(Some(match outcome {
            ABANDONED | CONFLICT => Reply::NotRun,
            OTHER => Reply::Unknown,
            _ => Reply::Answer((outcome / ANSWERED).trailing_zeros() as u8),
        }));
    }

    fn successors(&self, s: &State) -> Vec<State> {
        let mut next = Vec::new();
        let mut with = |change: &dyn Fn(&mut State)| {
            let mut to = s.clone();
            change(&mut to);
            if to != *s {
                next.push(to);
            }
        };
        for vm in 0..VMS {
            with(&|s| self.request(s, vm, 0));
            with(&|s| self.request(s, vm, 1));
            with(&|s| crash(s, vm));
            with(&|s| self.restart(s, vm));
        }
        for i in 0..REQUESTS {
            for command in (0..4).map(|bit| 1 << bit) {
                if s.commands[i] & command != 0 {
                    with(&|s| s.outcomes[i] |= self.apply(s, i, command));
                }
            }
            for outcome in (0..8).map(|bit| 1 << bit) {
                if s.outcomes[i] & outcome != 0 {
                    with(&|s| {
                        self.deliver(s, i, outcome);
                        propose(s, i);
                    });
                }
            }
            for event in 0..4 {
                with(&|s| {
                    self.step(s, i, event);
                    propose(s, i);
                });
            }
        }
        with(&|s| (s.floor, s.record) = (true, None));
        // The journal marks the order as unknown because its holder is presumed dead, rightly or
        // not.
        if let Some((holder, body, RecordState::Granted)) = s.record {
            with(&|s| s.record = Some((holder, body, RecordState::Unknown)));
        }
        if self.is_on(Safeguard::DurableFirst) {
            return next;
        }
        // The grant was answered before it was durable, and is lost together with the leader.
        with(&|s| s.record = s.durable);
        with(&|s| s.durable = s.record);
        next
    }

    /// Lets request `i` act without a message: its time runs out, it sends, or its upstream answers
    /// or not.
    fn step(&self, s: &mut State, i: usize, event: u8) {
        let Some(req) = &mut s.requests[i] else {
            return;
        };
        match (req.phase, event) {
            (Phase::Asking | Phase::Permitted, 0) => {
                req.phase = Phase::Abandoning;
                if !self.is_on(Safeguard::NotRunAfterAbandoned) {
                    req.reply = Some(Reply::NotRun);
                    req.phase = Phase::Asking;
                }
            }
            (Phase::Permitted, 1) => {
                req.phase = Phase::Sent;
                req.runs += 1;
            }
            (Phase::Sent, 2) => {
                req.phase = Phase::Storing;
                req.reply = req.reply.or(Some(Reply::Answer(i as u8)));
            }
            (Phase::Sent, 3) => {
                req.phase = Phase::Marking;
                req.reply = req.reply.or(Some(Reply::Unknown));
            }
            _ => {}
        }
    }

    fn request(&self, s: &mut State, vm: u8, body: u8) {
        let Some(i) = s.requests.iter().position(Option::is_none) else {
            return;
        };
        let process = &mut s.vms[usize::from(vm)];
        // VMs and bodies are interchangeable, so the first request always uses the first of each.
        if process.down || i == 0 && (vm, body) != (0, 0) {
            return;
        }
        let holder = (vm, process.incarnation, process.attempts);
        process.attempts += 1;
        s.requests[i] = Some(Request {
            body,
            holder,
            phase: Phase::Asking,
            reply: None,
            runs: 0,
        });
        propose(s, i);
    }

    fn restart(&self, s: &mut State, vm: u8) {
        let process = &mut s.vms[usize::from(vm)];
        if !process.down {
            return;
        }
        let fresh = u8::from(self.is_on(Safeguard::FreshIncarnation));
        *process = Vm {
            incarnation: process.incarnation + fresh,
            ..Vm::default()
        };
    }

    /// Searches all reachable states. Returns a shortest path to a state that matches, if there is
    /// one, and the number of states visited.
    fn search(&self, breaks_promise: fn(&State) -> bool) -> (Option<Vec<State>>, usize) {
        let seen = Cell::new(0);
        let path = bfs(
            &State::default(),
            |s| {
                seen.set(seen.get() + 1);
                self.successors(s)
            },
            breaks_promise,
        );
        (path, seen.get())
    }
}

fn crash(s: &mut State, vm: u8) {
    if s.vms[usize::from(vm)].down || s.crashes == CRASHES {
        return;
    }
    s.crashes += 1;
    s.vms[usize::from(vm)].down = true;
    for req in s.requests.iter_mut().flatten() {
        if req.holder.0 == vm {
            req.phase = Phase::Dead;
        }
    }
}

fn propose(s: &mut State, i: usize) {
    let command = match s.requests[i].map(|req| req.phase) {
        Some(Phase::Abandoning) => ABANDON,
        Some(Phase::Asking) => GRANT,
        Some(Phase::Marking) => MARK_UNKNOWN,
        Some(Phase::Storing) => ANSWER,
        _ => return,
    };
    s.commands[i] |= command;
}

/// Returns whether the order ran twice, a caller was told `not_run` for a request that ran, or a
/// caller got the answer to another body than its own.
fn breaks_promise(s: &State) -> bool {
    let requests = || s.requests.iter().flatten();
    requests().map(|req| req.runs).sum::<u8>() > 1
        || requests().any(|req| match req.reply {
            Some(Reply::Answer(by)) => s.requests[usize::from(by)]
                .is_none_or(|other| other.body != req.body || other.runs == 0),
            Some(Reply::NotRun) => req.runs > 0,
            Some(Reply::Unknown) | None => false,
        })
}

/// No reachable state within the bounds may violate a guarantee.
#[test]
fn an_order_runs_at_most_once_and_is_told_truly() {
    let (path, seen) = Model { off: None }.search(breaks_promise);
    println!("once-only order: {seen} states, {REQUESTS} requests, {VMS} VMs, {CRASHES} crashes");
    assert_eq!(path, None);
    assert!(seen > 100_000, "the model is too small: {seen} states");
}

/// The model isn't vacuous: an order that its first VM abandoned runs through the second one, and a
/// third request gets the stored answer.
#[test]
fn an_abandoned_order_runs_and_its_answer_is_told_again() {
    let (path, seen) = Model { off: None }.search(|s| {
        let replies = s.requests.map(|req| req.and_then(|req| req.reply));
        replies
            == [
                Some(Reply::NotRun),
                Some(Reply::Answer(1)),
                Some(Reply::Answer(1)),
            ]
    });
    assert!(path.is_some(), "not reached in {seen} states");
}

/// Each safeguard is necessary: with it disabled, the search must find a violated guarantee.
#[rstest]
fn each_safeguard_is_needed(
    #[values(
        Safeguard::AbandonByHolder,
        Safeguard::BodyHash,
        Safeguard::DurableFirst,
        Safeguard::FreshIncarnation,
        Safeguard::LateGrant,
        Safeguard::NotRunAfterAbandoned,
        Safeguard::OnePermit,
        Safeguard::PruneFloor,
        Safeguard::UnknownAfterDeath
    )]
    off: Safeguard,
) {
    let (path, seen) = Model { off: Some(off) }.search(breaks_promise);
    let path = path.unwrap_or_else(|| panic!("{off:?} is not needed in {seen} states"));
    println!(
        "without {off:?}: broken in {} steps, {seen} states",
        path.len() - 1
    );
}
