//! Tests of each safeguard of the replica on a single replica that receives hand-written inputs.

use {
    bytes::Bytes,
    ebonystand_core::{
        AppendOutcome, DurableState, HardState, LogEntry, LogPayload, LogPosition, LogSnapshot,
        MemberChange, MemberId, Membership, ProposalError, Replica, ReplicaConfig, ReplicaInput,
        ReplicaMessage, ReplicaMessageBody as Body, ReplicaOutput, ReplicaRole, Term,
    },
    std::{collections::BTreeSet, time::Duration},
};

const ELECTION: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

struct Fixture {
    disk: DurableState,
    now: Duration,
    replica: Replica,
}

fn member(vm: &str) -> MemberId {
    MemberId {
        incarnation: 1,
        vm: vm.into(),
    }
}

fn start(disk: DurableState, now: Duration) -> Replica {
    let members = ["a", "b", "c"].map(Into::into);
    let cfg = ReplicaConfig {
        id: member("a"),
        ..ReplicaConfig::new("a".into(), BTreeSet::from(members))
    };
    Replica::new(cfg, disk, now, 1)
}

impl Fixture {
    /// Returns replica `a` of a founded group of three, in term 1.
    fn new() -> Self {
        let mut disk = DurableState::empty(1);
        disk.hard_state.term = 1;
        disk.snapshot = Some(LogSnapshot {
            members: Membership {
                learners: BTreeSet::new(),
                voters: ["a", "b", "c"].map(member).into(),
            },
            position: LogPosition { index: 1, term: 1 },
            state: Bytes::new(),
        });
        let now = Duration::from_secs(100);
        let replica = start(disk.clone(), now);
        Self { disk, now, replica }
    }

    /// Returns replica `a` as the leader of term 2, which has committed its first entry.
    fn leader() -> Self {
        let mut fixture = Self::new();
        fixture.elect();

        fixture.acknowledge("b", 2);
        assert_eq!(fixture.replica.status().commit_index, 2);
        fixture
    }

    /// Makes the replica the leader of term 2 by the vote of `b`.
    fn elect(&mut self) {
        self.now = self.replica.deadline();
        self.step(ReplicaInput::Tick);
        for pre in [true, false] {
            let granted = true;
            self.receive("b", 2, Body::VoteReply { granted, pre });
        }
    }

    fn receive(&mut self, from: &str, term: Term, body: Body) -> Vec<ReplicaOutput> {
        let (from, to) = (member(from), Some(1));
        let message = ReplicaMessage { body, term, to };
        self.step(ReplicaInput::Message { from, message })
    }

    fn acknowledge(&mut self, from: &str, index: u64) -> Vec<ReplicaOutput> {
        let (outcome, sent) = (AppendOutcome::Matched { index }, self.now);
        let term = self.replica.status().term;
        self.receive(from, term, Body::AppendReply { outcome, sent })
    }

    fn append(&mut self, from: &str, term: Term, entries: Vec<LogEntry>) -> Vec<ReplicaOutput> {
        let body = Body::Append {
            commit: 1,
            entries,
            previous: LogPosition { index: 1, term: 1 },
            sent: MILLI,
        };
        self.receive(from, term, body)
    }

    /// Passes an input to the replica and syncs its records at once.
    fn step(&mut self, input: ReplicaInput) -> Vec<ReplicaOutput> {
        let mut outputs = self.replica.step(self.now, input);
        let mut at = 0;
        while let Some(output) = outputs.get(at).cloned() {
            if let ReplicaOutput::Persist { records, token } = output {
                records.into_iter().for_each(|r| self.disk.apply(r));
                let persisted = ReplicaInput::Persisted { token };
                outputs.extend(self.replica.step(self.now, persisted));
            }
            at += 1;
        }
        outputs
    }

    /// Returns whether the candidate gets the replica's vote.
    fn grants_vote(&mut self, candidate: &str, term: Term) -> bool {
        let last = LogPosition { index: 9, term: 9 };
        let outputs = self.receive(candidate, term, Body::Vote { last, pre: false });
        sent(&outputs).any(|body| matches!(body, Body::VoteReply { granted: true, .. }))
    }
}

fn sent(outputs: &[ReplicaOutput]) -> impl Iterator<Item = &Body> {
    outputs.iter().filter_map(|output| match output {
        ReplicaOutput::Send { message, .. } => Some(&message.body),
        _ => None,
    })
}

fn command(index: u64, term: Term) -> LogEntry {
    LogEntry {
        payload: LogPayload::Command(Bytes::from_static(b"x")),
        position: LogPosition { index, term },
    }
}

/// A voter restarts in the middle of an election, and the other candidate asks for its vote. If it
/// had forgotten its first vote, the term would have two leaders.
#[test]
fn a_vote_outlives_a_restart() {
    let mut fixture = Fixture::new();
    fixture.now += ELECTION;
    assert!(fixture.grants_vote("b", 2));
    fixture.replica = start(fixture.disk.clone(), fixture.now);
    fixture.now += ELECTION;
    assert!(!fixture.grants_vote("c", 2));
    assert!(fixture.grants_vote("b", 2));
}

/// A candidate asks a voter that has heard a leader, or may have heard one before it restarted. The
/// lease of that leader may still run, so the voter stays silent until the lease is over.
#[test]
fn a_voter_waits_out_the_lease_of_a_leader_that_it_heard_or_forgot() {
    let mut fixture = Fixture::new();
    fixture.now += ELECTION - MILLI;
    assert!(!fixture.grants_vote("b", 2));
    fixture.append("c", 1, Vec::new());
    fixture.now += ELECTION - MILLI;
    assert!(!fixture.grants_vote("b", 2));
    fixture.now += MILLI;
    assert!(fixture.grants_vote("b", 2));
}

/// A leader was deposed while it was frozen. When it resumes, it sends its old entries to a voter
/// that holds entries of the next leader by then; the voter must keep those.
#[test]
fn entries_of_a_former_term_are_refused() {
    let mut fixture = Fixture::new();
    fixture.append("b", 3, vec![command(2, 3)]);
    let outputs = fixture.append("c", 2, vec![command(2, 2)]);
    assert_eq!(fixture.replica.status().last_position.term, 3);
    assert!(sent(&outputs).all(|body| matches!(
        body,
        Body::AppendReply {
            outcome: AppendOutcome::Mismatch { .. },
            ..
        }
    )));
}

/// A replica answers before its disk has the entry and then crashes. The leader has counted the
/// answer and acknowledged the command, and the entry is lost.
#[test]
fn nothing_is_answered_or_counted_before_it_is_synced() {
    let mut fixture = Fixture::new();
    let (from, to) = (member("b"), Some(1));
    let body = Body::Append {
        commit: 1,
        entries: vec![command(2, 2)],
        previous: LogPosition { index: 1, term: 1 },
        sent: MILLI,
    };
    let message = ReplicaMessage { body, term: 2, to };
    let input = ReplicaInput::Message { from, message };
    let outputs = fixture.replica.step(fixture.now, input);
    assert_eq!(sent(&outputs).count(), 0);

    let mut fixture = Fixture::leader();
    let (command, id) = (Bytes::new(), 1);
    fixture
        .replica
        .step(fixture.now, ReplicaInput::Propose { command, id });
    fixture.acknowledge("b", 3);
    assert_eq!(fixture.replica.status().commit_index, 2);
}

/// An entry of a former term is on a majority. A leader whose log ends in a higher term could still
/// overwrite it, so it may be committed only together with an entry of the current term. Until then
/// the members must not change either, since a change by a former leader may be uncommitted.
#[test]
fn an_entry_of_a_former_term_is_not_committed_by_counting() {
    let mut fixture = Fixture::new();
    fixture.append("c", 1, vec![command(2, 1)]);
    fixture.elect();

    fixture.acknowledge("b", 2);
    assert_eq!(fixture.replica.status().commit_index, 1);
    let change = MemberChange::Admit(member("d"));
    fixture.step(ReplicaInput::ChangeMembers { change, id: 1 });
    assert_eq!(fixture.replica.status().members.learners.len(), 0);
    fixture.acknowledge("b", 3);
    assert_eq!(fixture.replica.status().commit_index, 3);
}

/// Guards against a command of a former leader that takes effect after what its successor has accepted: its caller has
/// given up on it, and the successor commits it all the same.
#[test]
fn an_entry_of_a_former_leader_is_committed_before_what_its_successor_accepts() {
    let mut fixture = Fixture::new();
    fixture.append("c", 1, vec![command(2, 1)]);
    fixture.elect();
    let (command, id) = (Bytes::from_static(b"later"), 1);
    fixture.step(ReplicaInput::Propose { command, id });
    let outputs = fixture.acknowledge("b", 4);
    let committed = outputs.iter().filter_map(|output| match output {
        ReplicaOutput::Commit { entry } => match &entry.payload {
            LogPayload::Command(command) => Some(&command[..]),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(committed.collect::<Vec<_>>(), [&b"x"[..], b"later"]);
}

/// Two uncommitted changes of members could allow two majorities without a common member. A learner
/// that lacks entries would raise the size of a majority without holding them.
#[test]
fn members_change_one_at_a_time_and_learners_catch_up_first() {
    let mut fixture = Fixture::leader();
    let change = |change, id| ReplicaInput::ChangeMembers { change, id };
    fixture.step(change(MemberChange::Admit(member("d")), 1));
    let refused = ReplicaOutput::ProposalDone {
        id: 2,
        result: Err(ProposalError::ChangeRefused),
    };
    let outputs = fixture.step(change(MemberChange::Remove(member("c")), 2));
    assert!(outputs.contains(&refused));
    fixture.acknowledge("b", 3);
    let voters = |fixture: &Fixture| fixture.replica.status().members.voters;
    assert!(!voters(&fixture).contains(&member("d")));
    let outputs = fixture.step(change(MemberChange::Promote(member("d")), 2));
    assert!(outputs.contains(&refused));
    fixture.acknowledge("d", 3);
    assert!(voters(&fixture).contains(&member("d")));
}

/// A leader is partitioned off. It must stop acting on its own before others may elect a successor,
/// and must report to its proposers that the outcome is unknown.
#[test]
fn a_leader_that_nobody_answers_loses_its_lease_and_steps_down() {
    let mut fixture = Fixture::leader();
    let (command, id) = (Bytes::new(), 1);
    fixture.step(ReplicaInput::Propose { command, id });
    assert!(fixture.replica.holds_lease(fixture.now + 899 * MILLI));
    assert!(!fixture.replica.holds_lease(fixture.now + 900 * MILLI));
    let readable = ReplicaOutput::ReadBarrierDone { id, result: Ok(2) };
    let read = ReplicaInput::ReadBarrier { id };
    assert!(fixture.step(read.clone()).contains(&readable));
    fixture.now += 900 * MILLI;
    assert!(!fixture.step(read).contains(&readable));
    fixture.now += 100 * MILLI;
    let result = Err(ProposalError::LeadershipLost);
    let lost = ReplicaOutput::ProposalDone { id, result };
    assert!(fixture.step(ReplicaInput::Tick).contains(&lost));
    assert_eq!(fixture.replica.status().role, ReplicaRole::Follower);
}

/// A delayed answer proves only that its sender heard the leader when the leader sent the message,
/// not now. The lease must count from the time of sending.
#[test]
fn a_late_answer_does_not_stretch_the_lease() {
    let mut fixture = Fixture::leader();
    let sent = fixture.now;
    fixture.now += 500 * MILLI;
    let outcome = AppendOutcome::Matched { index: 2 };
    fixture.receive("c", 2, Body::AppendReply { outcome, sent });
    let until = fixture.replica.status().lease_until;
    assert_eq!(until, Some(sent + 900 * MILLI));
}

/// A replica is partitioned off for a day. When it returns, its term must not be so high that it
/// deposes a working leader.
#[test]
fn a_replica_that_is_cut_off_keeps_its_term() {
    let mut fixture = Fixture::new();
    for _ in 0..100 {
        fixture.now = fixture.replica.deadline();
        fixture.step(ReplicaInput::Tick);
    }
    let HardState { term, .. } = fixture.disk.hard_state;
    assert_eq!(term, 1);
}
