use super::*;

/// Which log lines are kept when there are more than a VM can afford to write.
///
/// Lines of a request are kept or dropped together, on every VM that it passes: whether they are
/// follows from the hash of its name, and a VM under more load keeps a part of what another keeps.
/// Failures are kept before successes, and what belongs to no request before both.
#[derive(Clone, Debug)]
pub struct LogBudget {
    dropped: u64,
    kept: u64,
    offered: u64,
    per_s: u64,
    second: u64,
    /// Requests whose hash is not above it are kept.
    threshold: u64,
}

/// What a line tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogKind {
    /// Something that belongs to no request: a belief of the VM, a start, a stop.
    Vm,
    /// That a request failed or was refused, and why.
    RequestFailure,
    /// A step of a request.
    RequestStep,
}

impl LogBudget {
    /// Times the budget up to which failures are written.
    const FAILURES: u64 = 2;
    /// Times the budget up to which anything is.
    const MOST: u64 = 4;

    /// Whether a line is written. `request` is the hash of the request's name.
    pub fn admit_line(&mut self, now: Duration, kind: LogKind, request: u64) -> bool {
        self.turn(now);
        self.offered += 1;
        let most = match kind {
            LogKind::Vm => self.per_s * Self::MOST,
            LogKind::RequestFailure => self.per_s * Self::FAILURES,
            LogKind::RequestStep => self.per_s,
        };
        let chosen = kind != LogKind::RequestStep || request <= self.threshold;
        let admitted = chosen && self.kept < most;
        if admitted {
            self.kept += 1;
        } else {
            self.dropped += 1;
        }
        admitted
    }

    /// Budget of so many lines a second.
    #[must_use]
    pub fn new(per_s: u64) -> Self {
        Self {
            dropped: 0,
            kept: 0,
            offered: 0,
            per_s,
            second: 0,
            threshold: u64::MAX,
        }
    }

    /// Lines dropped since this was last asked.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Sets the part of the requests that is kept by what was offered in the last second, a tenth
    /// below the budget, so that this is not used up in the middle of a request. It grows back by doubling, so that a load that comes in bursts does not make it swing.
    fn turn(&mut self, now: Duration) {
        let second = now.as_secs();
        if second == self.second {
            return;
        }
        let grown = self.threshold.saturating_mul(2);
        self.threshold = match self.offered > self.per_s {
            true => (u64::MAX / self.offered.max(1)).saturating_mul(self.per_s * 9 / 10),
            false => grown.max(u64::MAX / 1_024),
        };
        self.second = second;
        self.offered = 0;
        self.kept = 0;
    }
}
