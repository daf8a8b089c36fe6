//! Exhaustive search of a small specification of grants: one holder, whose bucket gets a token every second
//! tick, and one VM that claims tokens of it. An observer keeps one bucket over both.

use {pathfinding::prelude::bfs, rstest::rstest, std::cell::Cell, std::collections::BTreeSet};

/// Tokens that the bucket holds: one, so that it fills while a grant lasts.
const WHOLE: u8 = 1;
/// Ticks in which a grant may be spent, counted from the claim.
const LENGTH: u8 = 2;
/// Ticks that the claimant's clock may lose in any [`PERIOD`].
const DRIFT: u8 = 1;
const PERIOD: u8 = LENGTH + DRIFT;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Safeguard {
    CheckAtAdmission,
    ClaimId,
    DriftBound,
    ExpiryFromClaim,
    PlaceKept,
    RefundOnce,
    WaitAfterRestart,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    Claim(u8),
    /// Claim, grant.
    Grant(u8, u8),
    Refund(u8),
}

/// A claim or a grant; `left` counts ticks down on its owner's clock.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Timed {
    id: u8,
    left: u8,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    broken: bool,
    claim: Option<Timed>,
    /// Claims, doubled messages and faults that may still come.
    claims: u8,
    doubles: u8,
    fates: u8,
    frozen: bool,
    held: Option<Timed>,
    /// Tokens of the observer's bucket.
    level: u8,
    /// Grants whose tokens keep their place.
    locked: Vec<Timed>,
    net: BTreeSet<Message>,
    next: u8,
    odd: bool,
    /// Ticks for which a restarted holder grants nothing.
    quiet: u8,
    since_loss: u8,
    tokens: u8,
}

impl State {
    fn new() -> Self {
        Self {
            claims: 3,
            doubles: 1,
            fates: 2,
            level: WHOLE,
            since_loss: PERIOD,
            tokens: WHOLE,
            ..Self::default()
        }
    }

    fn successors(&self, off: Option<Safeguard>) -> Vec<Self> {
        let has = |safeguard| off != Some(safeguard);
        let hold = LENGTH + if has(Safeguard::DriftBound) { DRIFT } else { 0 };
        let mut all = vec![self.tick(false)];
        if self.since_loss == PERIOD && (self.claim.is_some() || self.held.is_some()) {
            all.push(self.tick(true));
        }
        self.spend(has(Safeguard::CheckAtAdmission), &mut all);
        self.claim(&mut all);
        self.fail(hold, has(Safeguard::WaitAfterRestart), &mut all);
        // A lost message is one that is never received.
        for message in &self.net {
            let Some(received) = self.receive(*message, hold, off) else {
                continue;
            };
            if self.doubles > 0 {
                all.push(received.then(|next| next.doubles -= 1));
            }
            all.push(received.then(|next| _ = next.net.remove(message)));
        }
        all
    }

    fn then(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    /// Time passes; the claimant's clock may lose the tick.
    fn tick(&self, loses: bool) -> Self {
        let mut next = self.clone();
        next.odd = !self.odd;
        next.quiet = self.quiet.saturating_sub(1);
        next.since_loss = PERIOD.min(self.since_loss + 1);
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
        if !next.odd {
            next.level = WHOLE.min(next.level + 1);
            if self.quiet == 0 {
                next.refill();
            }
        }
        next
    }

    fn refill(&mut self) {
        let most = WHOLE.saturating_sub(self.locked.len() as u8);
        self.tokens = most.min(self.tokens + 1);
    }

    fn spend(&self, checks: bool, all: &mut Vec<Self>) {
        let spent = |change: fn(&mut Self)| {
            let mut next = self.then(change);
            next.broken = self.level == 0;
            next.level = self.level.saturating_sub(1);
            next
        };
        if self.quiet == 0 && self.tokens > 0 {
            all.push(spent(|next| next.tokens -= 1));
        }
        let Some(held) = self.held.filter(|_| !self.frozen) else {
            return;
        };
        if held.left > 0 || !checks {
            all.push(spent(|next| next.held = None));
        }
        all.push(self.then(|next| {
            next.held = None;
            next.net.insert(Message::Refund(held.id));
        }));
    }

    fn claim(&self, all: &mut Vec<Self>) {
        if self.frozen || self.claim.is_some() || self.held.is_some() || self.claims == 0 {
            return;
        }
        all.push(self.then(|next| {
            next.claims -= 1;
            next.next += 1;
            let (id, left) = (next.next, LENGTH);
            next.claim = Some(Timed { id, left });
            next.net.insert(Message::Claim(id));
        }));
    }

    /// Restart of the holder, freeze and thaw of the claimant.
    fn fail(&self, hold: u8, waits: bool, all: &mut Vec<Self>) {
        if self.frozen {
            all.push(self.then(|next| next.frozen = false));
        }
        if self.fates == 0 {
            return;
        }
        let fated = self.then(|next| next.fates -= 1);
        all.push(fated.then(|next| {
            next.locked.clear();
            next.tokens = 0;
            next.quiet = if waits { hold } else { 0 };
        }));
        all.push(fated.then(|next| next.frozen = true));
    }

    fn receive(&self, message: Message, hold: u8, off: Option<Safeguard>) -> Option<Self> {
        let has = |safeguard| off != Some(safeguard);
        let mut next = self.clone();
        match message {
            Message::Claim(claim) => {
                if self.quiet > 0 || self.tokens == 0 {
                    return None;
                }
                next.tokens -= 1;
                next.next += 1;
                let (id, left) = (next.next, hold);
                if has(Safeguard::PlaceKept) {
                    next.locked.push(Timed { id, left });
                }
                next.net.insert(Message::Grant(claim, id));
            }
            Message::Grant(claim, id) => {
                let open = self.claim.filter(|open| open.id == claim && !self.frozen)?;
                if has(Safeguard::ClaimId) {
                    next.claim = None;
                }
                let from_claim = has(Safeguard::ExpiryFromClaim);
                let left = if from_claim { open.left } else { LENGTH };
                next.held = Some(Timed { id, left });
            }
            Message::Refund(id) => {
                let place = self.locked.iter().position(|grant| grant.id == id);
                if place.is_none() && has(Safeguard::RefundOnce) {
                    return None;
                }
                place.map(|place| next.locked.remove(place));
                next.refill();
            }
        }
        Some(next)
    }
}

fn search(off: Option<Safeguard>) -> (usize, Option<usize>) {
    let states = Cell::new(0);
    let path = bfs(
        &State::new(),
        |state| {
            states.set(states.get() + 1);
            state.successors(off)
        },
        |state| state.broken,
    );
    (states.get(), path.map(|path| path.len() - 1))
}

/// Three claims, a doubled message, two of restart and freeze, any loss, delay and order of messages: all that
/// is spent fits one bucket.
#[test]
fn grants_never_exceed_the_bucket() {
    let (states, counterexample) = search(None);
    println!("all safeguards: {states} states, counterexample {counterexample:?}");
    assert_eq!(counterexample, None);
}

/// Each safeguard is needed: without it the search finds a way to spend too much.
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
