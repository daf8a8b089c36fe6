//! Exhaustive search of a small model of leases: one holder, one borrower, and a successor to which
//! a configuration change moves the holder's part.
//!
//! A part is a number of units. Each unit holds one token and gains one every second tick. An
//! observer keeps a single bucket over all VMs, from which each spent token is taken.

use {pathfinding::prelude::bfs, rstest::rstest, std::cell::Cell, std::collections::BTreeSet};

/// Units in the total allowance.
const TOTAL_UNITS: u8 = 2;
/// Ticks that a lease lasts on the borrower's clock, counted from the ask.
const LEASE_TICKS: u8 = 2;
/// Ticks that the borrower's clock may lose during a lease: one in any [`DRIFT_PERIOD`].
const DRIFT_TICKS: u8 = 1;
/// Ticks in which the borrower's clock may lose at most one.
const DRIFT_PERIOD: u8 = LEASE_TICKS + DRIFT_TICKS;
/// Ticks within which the holder adopts a configuration change.
const ADOPTION_TICKS: u8 = 2;

/// Rule of the protocol that a search can switch off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Safeguard {
    /// Each ask is answered once, so that a duplicated answer adds nothing.
    AskId,
    /// A borrower checks that a lease is live before each spend.
    CheckAtAdmission,
    /// The lender deducts what it lends before it sends it.
    DebitBeforeSend,
    /// The lender keeps a lease for as much longer as clocks may drift.
    DriftBound,
    /// The borrower counts the lease's length from its ask, not from the answer.
    ExpiryFromAsk,
    /// The lender renews only what its current part covers.
    RenewOnlyCovered,
    /// A returned lease is unknown, so that a duplicated return adds nothing.
    ReturnOnce,
    /// The successor waits until the former holder and its leases have ended.
    SmallerOfOldAndNew,
    /// A restarted holder waits until its earlier leases have expired.
    WaitAfterRestart,
}

/// Message in transit; the numbers are identifiers and amounts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    /// Asks for a lease: number of the ask.
    Ask(u8),
    /// Answers an ask: ask, lease, units, tokens.
    Lend(u8, u8, u8, u8),
    /// Asks for a renewal: lease, number of the renewal.
    Renew(u8, u8),
    /// Confirms a renewal: lease, number of the renewal.
    Renewed(u8, u8),
    /// Returns a lease: lease, tokens.
    Return(u8, u8),
}

/// Lease, or an ask that may become one. `left` counts the ticks until it expires on its owner's
/// clock.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Lease {
    id: u8,
    left: u8,
    units: u8,
}

/// State of all VMs, the messages in transit and the observer.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    /// Ticks until the holder adopts a configuration change.
    adopts_in: Option<u8>,
    ask: Option<Lease>,
    /// Whether a token was spent that the observer's bucket did not hold.
    bound_exceeded: bool,
    /// Numbers of duplicates, faults, asks and renewals that may still occur.
    duplicates_left: u8,
    faults_left: u8,
    asks_left: u8,
    renewals_left: u8,
    /// Units that the holder has not lent.
    free: u8,
    frozen: bool,
    /// Ticks until the successor uses the part; `None` before the change.
    successor: Option<u8>,
    successor_tokens: u8,
    lease: Option<Lease>,
    lent: Vec<Lease>,
    /// Tokens in the observer's bucket.
    level: u8,
    /// Messages that may still be received.
    in_transit: BTreeSet<Message>,
    next: u8,
    is_odd_tick: bool,
    /// Ticks for which a restarted holder uses nothing.
    restart_wait: u8,
    /// Number of the newest renewal, and the ticks for which its answer counts.
    renewal: Option<(u8, u8)>,
    /// Ticks since the borrower's clock lost one.
    since_loss: u8,
    tokens: u8,
    tokens_borrowed: u8,
}

impl State {
    fn new() -> Self {
        Self {
            asks_left: 2,
            duplicates_left: 1,
            faults_left: 3,
            free: TOTAL_UNITS,
            level: TOTAL_UNITS,
            renewals_left: 2,
            since_loss: DRIFT_PERIOD,
            tokens: TOTAL_UNITS,
            ..Self::default()
        }
    }

    /// All states that can follow this one, with the safeguard `off` disabled.
    fn successors(&self, off: Option<Safeguard>) -> Vec<Self> {
        let is_on = |safeguard| off != Some(safeguard);
        let lender_ticks = LEASE_TICKS
            + if is_on(Safeguard::DriftBound) {
                DRIFT_TICKS
            } else {
                0
            };
        let mut next_states = vec![self.tick(false)];
        if self.since_loss == DRIFT_PERIOD && (self.ask.is_some() || self.lease.is_some()) {
            next_states.push(self.tick(true));
        }
        self.add_spends(is_on(Safeguard::CheckAtAdmission), &mut next_states);
        self.add_borrower_steps(&mut next_states);
        self.add_faults(lender_ticks, off, &mut next_states);
        // A lost message is one that is never received.
        for message in &self.in_transit {
            let Some(received) = self.receive(*message, lender_ticks, off) else {
                continue;
            };
            if self.duplicates_left > 0 {
                next_states.push(received.with(|next| next.duplicates_left -= 1));
            }
            next_states.push(received.with(|next| _ = next.in_transit.remove(message)));
        }
        next_states
            .iter_mut()
            .for_each(|next| next.drop_dead_messages(off));
        next_states
    }

    /// Drops messages that no VM accepts any more, so that equivalent states compare equal.
    fn drop_dead_messages(&mut self, off: Option<Safeguard>) {
        let (ask, lease, lent) = (self.ask, self.lease, &self.lent);
        let is_lent = |id| lent.iter().any(|lease| lease.id == id);
        self.in_transit.retain(|message| match *message {
            Message::Ask(_) => true,
            Message::Lend(id, ..) => ask.is_some_and(|open| open.id == id),
            Message::Renew(id, _) => is_lent(id),
            Message::Renewed(id, _) => lease.is_some_and(|lease| lease.id == id),
            Message::Return(id, _) => is_lent(id) || off == Some(Safeguard::ReturnOnce),
        });
        self.renewal = self.renewal.filter(|_| lease.is_some());
    }

    /// Advances time by a tick, which the borrower's clock may lose.
    fn tick(&self, loses: bool) -> Self {
        let mut next = self.clone();
        next.is_odd_tick = !self.is_odd_tick;
        next.restart_wait = self.restart_wait.saturating_sub(1);
        next.since_loss = DRIFT_PERIOD.min(self.since_loss + 1);
        if loses {
            next.since_loss = 1;
        } else {
            let down = |lease: &mut Lease| lease.left = lease.left.saturating_sub(1);
            next.ask.iter_mut().chain(&mut next.lease).for_each(down);
            let down = |(number, left): (u8, u8)| (number, left.saturating_sub(1));
            next.renewal = self.renewal.map(down);
        }
        if next.lease.is_some_and(|lease| lease.left == 0) && !self.frozen {
            (next.lease, next.tokens_borrowed) = (None, 0);
        }
        next.ask = next.ask.filter(|ask| ask.left > 0 || self.frozen);
        for lease in &mut next.lent {
            lease.left -= 1;
        }
        next.lent.retain(|lease| lease.left > 0);
        next.successor = self.successor.map(|wait| wait.saturating_sub(1));
        next.adopts_in = self.adopts_in.map(|left| left.saturating_sub(1));
        next.update_free_units();
        if next.is_odd_tick {
            return next;
        }
        next.level = TOTAL_UNITS;
        next.tokens = if next.restart_wait == 0 { next.free } else { 0 };
        next.tokens_borrowed = next.lease.map_or(0, |lease| lease.units);
        next.successor_tokens = if next.successor == Some(0) {
            TOTAL_UNITS
        } else {
            0
        };
        next
    }

    /// Recomputes the holder's free units: those of its part that are not lent.
    fn update_free_units(&mut self) {
        let part = if self.adopts_in == Some(0) {
            0
        } else {
            TOTAL_UNITS
        };
        let lent: u8 = self.lent.iter().map(|lease| lease.units).sum();
        self.free = part - part.min(lent);
        self.tokens = self.tokens.min(self.free);
    }

    /// Copy of the state with a change applied.
    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    /// Adds the states in which one VM spends a token.
    fn add_spends(&self, checks: bool, next_states: &mut Vec<Self>) {
        let is_live = self.lease.is_some_and(|lease| lease.left > 0);
        let spent = |change: fn(&mut Self)| {
            let mut next = self.with(change);
            next.bound_exceeded = self.level == 0;
            next.level = self.level.saturating_sub(1);
            next
        };
        if self.restart_wait == 0 && self.tokens > 0 {
            next_states.push(spent(|next| next.tokens -= 1));
        }
        if !self.frozen && self.tokens_borrowed > 0 && (is_live || !checks) {
            next_states.push(spent(|next| next.tokens_borrowed -= 1));
        }
        if self.successor_tokens > 0 {
            next_states.push(spent(|next| next.successor_tokens -= 1));
        }
    }

    /// Adds the states in which the borrower asks for, returns or renews a lease.
    fn add_borrower_steps(&self, next_states: &mut Vec<Self>) {
        if self.frozen {
            return;
        }
        if self.lease.is_none() && self.ask.is_none() && self.asks_left > 0 {
            next_states.push(self.with(|next| {
                next.asks_left -= 1;
                next.next += 1;
                let (id, left, units) = (next.next, LEASE_TICKS, 0);
                next.ask = Some(Lease { id, left, units });
                next.in_transit.insert(Message::Ask(id));
            }));
        }
        let Some(lease) = self.lease else {
            return;
        };
        next_states.push(self.with(|next| {
            let tokens = self.tokens_borrowed;
            (next.lease, next.tokens_borrowed) = (None, 0);
            next.in_transit.insert(Message::Return(lease.id, tokens));
        }));
        if self.renewals_left > 0 && lease.left > 0 {
            next_states.push(self.with(|next| {
                next.renewals_left -= 1;
                next.renewal = Some((self.renewals_left, LEASE_TICKS));
                next.in_transit
                    .insert(Message::Renew(lease.id, self.renewals_left));
            }));
        }
    }

    /// Adds the states after a restart of the holder, a freeze or thaw of the borrower, or a
    /// configuration change.
    fn add_faults(&self, lender_ticks: u8, off: Option<Safeguard>, next_states: &mut Vec<Self>) {
        if self.frozen {
            next_states.push(self.with(|next| next.frozen = false));
        }
        if self.faults_left == 0 {
            return;
        }
        let faulted = self.with(|next| next.faults_left -= 1);
        let waits = off != Some(Safeguard::WaitAfterRestart);
        next_states.push(faulted.with(|next| {
            next.lent.clear();
            next.tokens = 0;
            next.restart_wait = if waits { lender_ticks } else { 0 };
            next.update_free_units();
        }));
        next_states.push(faulted.with(|next| next.frozen = true));
        if self.successor.is_none() {
            let waits = off != Some(Safeguard::SmallerOfOldAndNew);
            next_states.push(faulted.with(|next| {
                next.adopts_in = Some(ADOPTION_TICKS);
                next.successor = Some(if waits {
                    ADOPTION_TICKS + lender_ticks
                } else {
                    1
                });
            }));
        }
    }

    /// State after a message is received; `None` if it is ignored.
    fn receive(&self, message: Message, lender_ticks: u8, off: Option<Safeguard>) -> Option<Self> {
        let mut next = self.clone();
        match message {
            Message::Ask(ask) => {
                if self.restart_wait > 0 || self.free == 0 {
                    return None;
                }
                next.next += 1;
                let (id, tokens, units) = (next.next, self.tokens, self.free);
                if off != Some(Safeguard::DebitBeforeSend) {
                    let left = lender_ticks;
                    next.lent.push(Lease { id, left, units });
                }
                next.update_free_units();
                next.in_transit
                    .insert(Message::Lend(ask, id, units, tokens));
            }
            Message::Lend(ask, id, units, tokens) => {
                let open = self.ask.filter(|open| open.id == ask && !self.frozen)?;
                if off != Some(Safeguard::AskId) {
                    next.ask = None;
                }
                let from_ask = off != Some(Safeguard::ExpiryFromAsk);
                let left = if from_ask { open.left } else { LEASE_TICKS };
                let units = units + self.lease.map_or(0, |lease| lease.units);
                next.lease = Some(Lease { id, left, units });
                next.tokens_borrowed += tokens;
            }
            Message::Renew(id, number) => {
                let covered = self.adopts_in != Some(0);
                if !covered && off != Some(Safeguard::RenewOnlyCovered) {
                    return None;
                }
                let lease = next.lent.iter_mut().find(|lease| lease.id == id)?;
                lease.left = lender_ticks;
                next.in_transit.insert(Message::Renewed(id, number));
            }
            Message::Renewed(id, number) => {
                let from_ask = off != Some(Safeguard::ExpiryFromAsk);
                let (_, left) = self.renewal.filter(|(newest, _)| *newest == number)?;
                let left = if from_ask { left } else { LEASE_TICKS };
                let lease = next.lease.as_mut().filter(|lease| lease.id == id)?;
                lease.left = lease.left.max(left);
            }
            Message::Return(id, tokens) => {
                let known = self.lent.iter().any(|lease| lease.id == id);
                if !known && off != Some(Safeguard::ReturnOnce) {
                    return None;
                }
                next.lent.retain(|lease| lease.id != id);
                next.update_free_units();
                next.tokens = next.free.min(self.tokens + tokens);
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

/// Guards against spending more than one bucket over the fleet allows. The search covers two asks,
/// two renewals, one duplicated message and three faults (restart, freeze or configuration change),
/// with any loss, delay and order of messages.
#[test]
fn shares_never_exceed_the_whole() {
    let (states, counterexample) = search(None);
    println!("all safeguards: {states} states, counterexample {counterexample:?}");
    assert_eq!(counterexample, None);
}

/// Each safeguard is needed: with it switched off, the search finds a way to spend too much.
#[rstest]
fn without_a_safeguard_too_much_is_spent(
    #[values(
        Safeguard::AskId,
        Safeguard::CheckAtAdmission,
        Safeguard::DebitBeforeSend,
        Safeguard::DriftBound,
        Safeguard::ExpiryFromAsk,
        Safeguard::RenewOnlyCovered,
        Safeguard::ReturnOnce,
        Safeguard::SmallerOfOldAndNew,
        Safeguard::WaitAfterRestart
    )]
    off: Safeguard,
) {
    let (states, counterexample) = search(Some(off));
    println!("without {off:?}: {states} states, counterexample of {counterexample:?} steps");
    assert!(counterexample.is_some());
}
