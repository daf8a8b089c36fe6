//! Exhaustive search of two small specifications: the replicated log and the leader's lease. With
//! every safeguard enabled no reachable state is unsafe. With any one disabled, the search finds a
//! shortest path to an unsafe state.

mod lease_spec;
mod log_spec;

use {
    lease_spec::LeaseState,
    log_spec::{Bounds, LogState},
    pathfinding::directed::bfs::{bfs, bfs_reach},
    rstest::rstest,
};

/// A rule that the replica follows as well.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Safeguard {
    /// A leader commits by counting copies only entries of its own term.
    CommitOwnTerm,
    /// The lease is shorter than the time during which voters refuse candidates, by the clock
    /// drift.
    DriftMargin,
    /// Entries are synced to disk before they are acknowledged.
    EntriesDurable,
    /// A learner is promoted only once it holds all committed entries.
    LearnerFirst,
    /// A voter that hears a leader refuses every other candidate.
    LeaseWait,
    /// The lease starts when the message was sent, not when its answer arrived.
    LeaseFromSending,
    /// A VM that lost its disk returns as a different member.
    NewIdentity,
    /// A change of members waits until the previous one is committed.
    OneChange,
    /// A change of members waits until an entry of the leader's own term is committed.
    OwnTermFirst,
    /// A restarted voter refuses candidates as if it had just heard a leader.
    StartWait,
    /// Messages of a former term are rejected.
    TermCheck,
    /// A vote is synced to disk before it is sent.
    VoteDurable,
}

#[test]
fn no_reachable_state_of_the_log_is_bad() {
    for bounds in [Bounds::MEMBERS, Bounds::SECOND_FAULT, Bounds::TERMS] {
        let start = LogState::new(bounds);
        let states = bfs_reach(start, |state| state.successors(None))
            .inspect(|state| assert!(!state.is_unsafe, "{state:?}"))
            .count();
        println!("log: {states} states, {bounds:?}");
    }
}

#[rstest]
#[case(Safeguard::CommitOwnTerm, Bounds::TERMS)]
#[case(Safeguard::EntriesDurable, Bounds::TERMS)]
#[case(Safeguard::LearnerFirst, Bounds::MEMBERS)]
#[case(Safeguard::NewIdentity, Bounds::MEMBERS)]
#[case(Safeguard::OneChange, Bounds::MEMBERS)]
#[case(Safeguard::OwnTermFirst, Bounds::MEMBERS)]
#[case(Safeguard::TermCheck, Bounds::TERMS)]
#[case(Safeguard::VoteDurable, Bounds::TERMS)]
fn the_log_needs(#[case] off: Safeguard, #[case] bounds: Bounds) {
    let start = LogState::new(bounds);
    let path = bfs(&start, |s| s.successors(Some(off)), |s| s.is_unsafe);
    let path = path.expect("a counterexample");
    println!("without {off:?}: bad after {} steps", path.len() - 1);
}

#[test]
fn no_reachable_state_of_the_lease_is_bad() {
    let states = bfs_reach(LeaseState::new(), |state| state.successors(None))
        .inspect(|state| assert!(!state.is_unsafe(None), "{state:?}"))
        .count();
    println!("lease: {states} states");
}

#[rstest]
#[case(Safeguard::DriftMargin)]
#[case(Safeguard::LeaseFromSending)]
#[case(Safeguard::LeaseWait)]
#[case(Safeguard::StartWait)]
fn the_lease_needs(#[case] off: Safeguard) {
    let off = Some(off);
    let path = bfs(
        &LeaseState::new(),
        |s| s.successors(off),
        |s| s.is_unsafe(off),
    );
    let path = path.expect("a counterexample");
    println!("without {off:?}: bad after {} steps", path.len() - 1);
}
