//! Exhaustive search of a small model of grants: one holder, whose bucket gains a token every
//! second tick, and one VM that claims tokens from it. An observer keeps a single bucket over both
//! VMs, from which each spent token is taken.

use {pathfinding::prelude::bfs, rstest::rstest, std::cell::Cell, std::collections::BTreeSet};

/// Capacity of the bucket in tokens: one, so that it fills up while a grant lasts.
const CAPACITY: u8 = 1;
/// Ticks in which a grant may be spent, counted from the claim.
const GRANT_TICKS: u8 = 2;
/// Ticks that the claimant's clock may lose in any [`DRIFT_PERIOD`].
const DRIFT_TICKS: u8 = 1;
/// Ticks in which the claimant's clock may lose at most one.
const DRIFT_PERIOD: u8 = GRANT_TICKS + DRIFT_TICKS;

/// Rule of the protocol that a search can switch off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Safeguard {
    /// The claimant checks that a grant is live before it spends it.
    CheckAtAdmission,
    /// Each claim is answered once, so that a duplicated answer adds nothing.
    ClaimId,
    /// The holder keeps a grant for as much longer as clocks may drift.
    DriftBound,
    /// The claimant counts the grant's length from its claim, not from the answer.
    ExpiryFromClaim,
    /// A granted token counts against the bucket's capacity until the grant expires.
    PlaceKept,
    /// A refunded grant is unknown, so that a duplicated refund adds nothing.
    RefundOnce,
    /// A restarted holder waits until its earlier grants have expired.
    WaitAfterRestart,
}

/// Message in transit; the numbers are identifiers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    /// Claims a token: number of the claim.
    Claim(u8),
    /// Answers a claim: claim, grant.
    Grant(u8, u8),
    /// Returns an unspent token: grant.
    Refund(u8),
}

/// Claim or grant. `left` counts the ticks until it expires on its owner's clock.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Timed {
    id: u8,
    left: u8,
}

/// State of both VMs, the messages in transit and the observer.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    /// Whether a token was spent that the observer's bucket did not hold.
    bound_exceeded: bool,
    claim: Option<Timed>,
    /// Numbers of claims, duplicated messages and faults that may still occur.
    claims_left: u8,
    duplicates_left: u8,
    faults_left: u8,
    frozen: bool,
    /// Grant that the claimant has not spent.
    held: Option<Timed>,
    /// Tokens in the observer's bucket.
    level: u8,
    /// Grants that count against the capacity of the holder's bucket.
    locked: Vec<Timed>,
    /// Messages that may still be received.
    in_transit: BTreeSet<Message>,
    next: u8,
    is_odd_tick: bool,
    /// Ticks for which a restarted holder grants nothing.
    restart_wait: u8,
    /// Ticks since the claimant's clock lost one.
    since_loss: u8,
    tokens: u8,
}

impl State {
    fn new() -> Self {
        Self {
            claims_left: 3,
            duplicates_left: 1,
            faults_left: 2,
            level: CAPACITY,
            since_loss: DRIFT_PERIOD,
            tokens: CAPACITY,
            ..Self::default()
        }
    }

    /// All states that can follow this one, with the safeguard `off` disabled.
    fn successors(&self, off: Option<Safeguard>) -> Vec<Self> {
        let is_on = |safeguard| off != Some(safeguard);
        let holder_ticks = GRANT_TICKS
            + if is_on(Safeguard::DriftBound) {
                DRIFT_TICKS
            } else {
                0
            };
        let mut next_states = vec![self.tick(false)];
        if self.since_loss == DRIFT_PERIOD && (self.claim.is_some() || self.held.is_some()) {
            next_states.push(self.tick(true));
        }
        self.add_spends(is_on(Safeguard::CheckAtAdmission), &mut next_states);
        self.add_claims(&mut next_states);
        self.add_faults(
            holder_ticks,
            is_on(Safeguard::WaitAfterRestart),
            &mut next_states,
        );
        // A lost message is one that is never received.
        for message in &self.in_transit {
            let Some(received) = self.receive(*message, holder_ticks, off) else {
                continue;
            };
            if self.duplicates_left > 0 {
                next_states.push(received.with(|next| next.duplicates_left -= 1));
            }
            next_states.push(received.with(|next| _ = next.in_transit.remove(message)));
        }
        next_states
    }

    /// Copy of the state with a change applied.
    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    /// Advances time by a tick, which the claimant's clock may lose.
    fn tick(&self, loses: bool) -> Self {
        let mut next = self.clone();
        next.is_odd_tick = !self.is_odd_tick;
        next.restart_wait = self.restart_wait.saturating_sub(1);
        next.since_loss = DRIFT_PERIOD.min(self.since_loss + 1);
        if loses {
            next.since_loss = 1;
        } else {
            let down = |timed: &mut Timed| timed.left = timed.left.saturating_sub(1);
            next.claim.iter_mut().chain(&mut next.held).for_each(down);
        }
        if !self.frozen {
            next.held = next.held.filter(|held| held.left > 0);
            next.claim = next.claim.filter(|claim| claim.left > 0);
        }
        for grant in &mut next.locked {
            grant.left -= 1;
        }
        next.locked.retain(|grant| grant.left > 0);
        if !next.is_odd_tick {
            next.level = CAPACITY.min(next.level + 1);
            if self.restart_wait == 0 {
                next.refill();
            }
        }
        next
    }

    /// Adds a token to the holder's bucket if locked grants leave room for it.
    fn refill(&mut self) {
        let most = CAPACITY.saturating_sub(self.locked.len() as u8);
        self.tokens = most.min(self.tokens + 1);
    }

    /// Adds the states in which a token is spent, or a held grant returned.
    fn add_spends(&self, checks: bool, next_states: &mut Vec<Self>) {
        let spent = |change: fn(&mut Self)| {
            let mut next = self.with(change);
            next.bound_exceeded = self.level == 0;
            next.level = self.level.saturating_sub(1);
            next
        };
        if self.restart_wait == 0 && self.tokens > 0 {
            next_states.push(spent(|next| next.tokens -= 1));
        }
        let Some(held) = self.held.filter(|_| !self.frozen) else {
            return;
        };
        if held.left > 0 || !checks {
            next_states.push(spent(|next| next.held = None));
        }
        next_states.push(self.with(|next| {
            next.held = None;
            next.in_transit.insert(Message::Refund(held.id));
        }));
    }

    /// Adds the state in which the claimant sends a claim.
    fn add_claims(&self, next_states: &mut Vec<Self>) {
        if self.frozen || self.claim.is_some() || self.held.is_some() || self.claims_left == 0 {
            return;
        }
        next_states.push(self.with(|next| {
            next.claims_left -= 1;
            next.next += 1;
            let (id, left) = (next.next, GRANT_TICKS);
            next.claim = Some(Timed { id, left });
            next.in_transit.insert(Message::Claim(id));
        }));
    }

    /// Adds the states after a restart of the holder, or a freeze or thaw of the claimant.
    fn add_faults(&self, holder_ticks: u8, waits: bool, next_states: &mut Vec<Self>) {
        if self.frozen {
            next_states.push(self.with(|next| next.frozen = false));
        }
        if self.faults_left == 0 {
            return;
        }
        let faulted = self.with(|next| next.faults_left -= 1);
        next_states.push(faulted.with(|next| {
            next.locked.clear();
            next.tokens = 0;
            next.restart_wait = if waits { holder_ticks } else { 0 };
        }));
        next_states.push(faulted.with(|next| next.frozen = true));
    }

    /// State after a message is received; `None` if it is ignored.
    fn receive(&self, message: Message, holder_ticks: u8, off: Option<Safeguard>) -> Option<Self> {
        let is_on = |safeguard| off != Some(safeguard);
        let mut next = self.clone();
        match message {
            Message::Claim(claim) => {
                if self.restart_wait > 0 || self.tokens == 0 {
                    return None;
                }
                next.tokens -= 1;
                next.next += 1;
                let (id, left) = (next.next, holder_ticks);
                if is_on(Safeguard::PlaceKept) {
                    next.locked.push(Timed { id, left });
                }
                next.in_transit.insert(Message::Grant(claim, id));
            }
            Message::Grant(claim, id) => {
                let open = self.claim.filter(|open| open.id == claim && !self.frozen)?;
                if is_on(Safeguard::ClaimId) {
                    next.claim = None;
                }
                let from_claim = is_on(Safeguard::ExpiryFromClaim);
                let left = if from_claim { open.left } else { GRANT_TICKS };
                next.held = Some(Timed { id, left });
            }
            Message::Refund(id) => {
                let place = self.locked.iter().position(|grant| grant.id == id);
                if place.is_none() && is_on(Safeguard::RefundOnce) {
                    return None;
                }
                place.map(|place| next.locked.remove(place));
                next.refill();
            }
        }
        Some(next)
    }
}

/// Searches all states; returns their number and the steps of the shortest way to exceed the bound.
fn search(off: Option<Safeguard>) -> (usize, Option<usize>) {
    let states = Cell::new(0);
    let path = bfs(
        &State::new(),
        |state| {
            states.set(states.get() + 1);
            state.successors(off)
        },
        |state| state.bound_exceeded,
    );
    (states.get(), path.map(|path| path.len() - 1))
}

/// Guards against spending more than the bucket allows. The search covers three claims, one
/// duplicated message and two faults (restart or freeze), with any loss, delay and order of
/// messages.
#[test]
fn grants_never_exceed_the_bucket() {
    let (states, counterexample) = search(None);
    println!("all safeguards: {states} states, counterexample {counterexample:?}");
    assert_eq!(counterexample, None);
}

/// Each safeguard is needed: with it switched off, the search finds a way to spend too much.
#[rstest]
fn without_a_safeguard_too_much_is_spent(
    #[values(
        Safeguard::CheckAtAdmission,
        Safeguard::ClaimId,
        Safeguard::DriftBound,
        Safeguard::ExpiryFromClaim,
        Safeguard::PlaceKept,
        Safeguard::RefundOnce,
        Safeguard::WaitAfterRestart
    )]
    off: Safeguard,
) {
    let (states, counterexample) = search(Some(off));
    println!("without {off:?}: {states} states, counterexample of {counterexample:?} steps");
    assert!(counterexample.is_some());
}
