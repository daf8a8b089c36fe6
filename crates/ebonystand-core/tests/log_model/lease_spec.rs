//! Specification of the lease: a leader, two voters and their clocks, counted in ticks. One of the
//! clocks may lose or gain a tick.

use super::Safeguard;

/// Ticks during which a voter that heard the leader refuses candidates.
const ELECTION: u8 = 4;
/// Ticks by which two clocks may differ over `ELECTION` ticks.
const DRIFT: u8 = 1;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Voter {
    /// Age of the newest heartbeat that the voter answered, on the leader's clock.
    answered: u8,
    /// Age of a heartbeat in flight, and whether the voter has answered it already.
    heartbeat: Option<(u8, bool)>,
    /// Ticks of the voter's clock since it heard the leader.
    ticks_since_heard: u8,
    /// Candidate that the voter voted for in the second term.
    voted: Option<usize>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseState {
    /// Number of ticks by which clocks may still deviate.
    drift: u8,
    /// Number of restarts that may still happen.
    restarts: u8,
    voters: [Voter; 2],
}

impl LeaseState {
    pub fn new() -> Self {
        let voter = Voter {
            answered: ELECTION * 2,
            heartbeat: None,
            ticks_since_heard: 0,
            voted: None,
        };
        Self {
            drift: DRIFT,
            restarts: 1,
            voters: [voter.clone(), voter],
        }
    }

    /// Returns whether the first leader still holds its lease although a second leader has the
    /// votes of both voters.
    pub fn is_unsafe(&self, off: Option<Safeguard>) -> bool {
        let lease = match off {
            Some(Safeguard::DriftMargin) => ELECTION,
            _ => ELECTION - DRIFT,
        };
        let held = self.voters.iter().any(|voter| voter.answered < lease);
        let [a, b] = &self.voters;
        held && a.voted.is_some() && a.voted == b.voted
    }

    pub fn successors(&self, off: Option<Safeguard>) -> Vec<Self> {
        let mut next = vec![self.tick([1, 1, 1])];
        if self.drift > 0 {
            for late in [[0, 1, 1], [1, 2, 1], [1, 1, 2]] {
                next.push(Self {
                    drift: self.drift - 1,
                    ..self.tick(late)
                });
            }
        }
        for i in 0..2 {
            next.extend(self.heartbeat(i, off));
            next.extend(self.restart(i, off));
            (0..2).for_each(|candidate| next.extend(self.vote(i, candidate, off)));
        }
        next
    }

    fn heartbeat(&self, i: usize, off: Option<Safeguard>) -> Vec<Self> {
        let mut next = self.clone();
        let mut lost = self.clone();
        lost.voters[i].heartbeat = None;
        let voter = &mut next.voters[i];
        match voter.heartbeat {
            None => voter.heartbeat = Some((0, false)),
            Some((age, true)) => {
                let from_sending = off != Some(Safeguard::LeaseFromSending);
                voter.answered = voter.answered.min(if from_sending { age } else { 0 });
                voter.heartbeat = None;
            }
            // A voter that has voted in the second term refuses the first leader.
            Some(_) if voter.voted.is_some() => voter.heartbeat = None,
            Some((age, false)) => {
                (voter.ticks_since_heard, voter.heartbeat) = (0, Some((age, true)))
            }
        }
        vec![next, lost]
    }

    fn restart(&self, i: usize, off: Option<Safeguard>) -> Option<Self> {
        let mut next = self.clone();
        next.restarts = self.restarts.checked_sub(1)?;
        next.voters[i].ticks_since_heard = match off {
            Some(Safeguard::StartWait) => ELECTION,
            _ => 0,
        };
        Some(next)
    }

    fn tick(&self, [leader, a, b]: [u8; 3]) -> Self {
        let mut next = self.clone();
        for (voter, own) in next.voters.iter_mut().zip([a, b]) {
            voter.answered = (voter.answered + leader).min(ELECTION * 2);
            voter.ticks_since_heard = (voter.ticks_since_heard + own).min(ELECTION);
            if let Some((age, _)) = &mut voter.heartbeat {
                *age = (*age + leader).min(ELECTION * 2);
            }
        }
        next
    }

    fn vote(&self, i: usize, candidate: usize, off: Option<Safeguard>) -> Option<Self> {
        let mut next = self.clone();
        let voter = &mut next.voters[i];
        let free = voter.ticks_since_heard >= ELECTION || off == Some(Safeguard::LeaseWait);
        if voter.voted.is_some() || !free {
            return None;
        }
        voter.voted = Some(candidate);
        Some(next)
    }
}
