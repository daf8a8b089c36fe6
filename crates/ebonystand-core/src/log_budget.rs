use super::*;

/// Rate limit on log lines that selects which ones are written when there are too many.
///
/// The lines of a request are kept or dropped together on all VMs that it passes, since the
/// selection depends on the hash of its identifier: a VM under more load keeps a subset of what
/// others keep. Failures take precedence over other lines of requests, and lines that belong to no
/// request over both.
#[derive(Clone, Debug)]
pub struct LogBudget {
    /// Lines dropped since [`Self::take_dropped`].
    dropped: u64,
    /// Lines kept in the current second.
    kept: u64,
    /// Lines offered in the current second.
    offered: u64,
    /// Budget in lines per second.
    lines_per_s: u64,
    /// Current second of the clock.
    second: u64,
    /// Largest hash of the requests whose lines are kept.
    threshold: u64,
}

/// Kind of a log line, by which its precedence is decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogKind {
    /// Line about the VM itself, such as a start, a stop or a change in what it knows of its peers.
    Vm,
    /// Failure or refusal of a request, with the reason.
    RequestFailure,
    /// Any other step in the course of a request.
    RequestStep,
}

impl LogBudget {
    /// Multiple of the budget up to which failures are written.
    const FAILURE_FACTOR: u64 = 2;
    /// Multiple of the budget up to which any line is written.
    const TOTAL_FACTOR: u64 = 4;

    /// Decides whether a line is written. `request` is the hash of the request's identifier.
    pub fn admit_line(&mut self, now: Duration, kind: LogKind, request: u64) -> bool {
        self.start_second(now);
        self.offered += 1;
        let limit = match kind {
            LogKind::Vm => self.lines_per_s * Self::TOTAL_FACTOR,
            LogKind::RequestFailure => self.lines_per_s * Self::FAILURE_FACTOR,
            LogKind::RequestStep => self.lines_per_s,
        };
        let chosen = kind != LogKind::RequestStep || request <= self.threshold;
        let admitted = chosen && self.kept < limit;
        if admitted {
            self.kept += 1;
        } else {
            self.dropped += 1;
        }
        admitted
    }

    /// Creates a budget of `lines_per_s` lines per second.
    #[must_use]
    pub fn new(lines_per_s: u64) -> Self {
        Self {
            dropped: 0,
            kept: 0,
            offered: 0,
            lines_per_s,
            second: 0,
            threshold: u64::MAX,
        }
    }

    /// Returns the number of lines dropped since the last call, and resets it.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Starts a new second, and adapts the share of kept requests to the lines offered in the last
    /// one. It aims a tenth below the budget, so that the budget does not run out in the middle of
    /// a request. The share recovers by doubling, so that bursts of load don't make it swing.
    fn start_second(&mut self, now: Duration) {
        let second = now.as_secs();
        if second == self.second {
            return;
        }
        let doubled = self.threshold.saturating_mul(2);
        self.threshold = match self.offered > self.lines_per_s {
            true => (u64::MAX / self.offered.max(1)).saturating_mul(self.lines_per_s * 9 / 10),
            false => doubled.max(u64::MAX / 1_024),
        };
        self.second = second;
        self.offered = 0;
        self.kept = 0;
    }
}
