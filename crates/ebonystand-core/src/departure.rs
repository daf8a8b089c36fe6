use super::*;

/// Plan of a VM that has been asked to stop: until when it takes requests, and which ones it still passes on.
///
/// A request whose answer can't come before the VM ends is refused as not run, while its caller can still go to
/// another VM. Sent on, it would be cut off, and one that must not run twice could not be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
    asked: Duration,
    /// Time from which a stream is begun only if it is certain to end before the VM.
    certain_from: Duration,
    ends: Duration,
    lingers_until: Duration,
}

impl Departure {
    /// Part of the time for ending what runs, as a divisor, for which the last VM of a region that takes callers
    /// goes on taking requests. Where all VMs are stopped in turn, the region's callers would be sent to other
    /// regions, which may be no home of theirs, until the first one is back.
    const LAST_VM_PART: u32 = 2;

    /// Difference in time below which it is not certain which of two VMs was asked to stop first.
    const MAX_NEWS_DELAY: Duration = Duration::from_millis(500);

    /// Creates the plan of a VM that is asked to stop at `now`, serves on for `linger` and then ends what runs within
    /// `drain`. Streams that come later than `certain_after` from now are begun only if they are certain to end before
    /// the VM.
    #[must_use]
    pub fn new(now: Duration, linger: Duration, drain: Duration, certain_after: Duration) -> Self {
        Self {
            asked: now,
            certain_from: now + certain_after,
            ends: now + linger + drain,
            lingers_until: now + linger,
        }
    }

    /// Returns whether the answer to a request that is sent on now comes before the VM ends.
    #[must_use]
    pub fn admits(&self, now: Duration, answer: &AnswerTime) -> bool {
        match now < self.certain_from {
            true => answer.likely_end(now) <= self.ends,
            false => self.is_certain(now, answer),
        }
    }

    /// Returns whether an answer can't be cut off by the end of the VM, however long it takes. This is asked of requests that
    /// another VM could serve instead.
    #[must_use]
    pub fn is_certain(&self, now: Duration, answer: &AnswerTime) -> bool {
        answer.certain_end(now) <= self.ends
    }

    /// Returns whether the VM `other`, which has been known to stop since `asked`, ends later than this one, `own`. Of two
    /// VMs that are asked at nearly the same time, the one with the higher name counts as the later one.
    #[must_use]
    pub fn is_outlasted_by(&self, own: &VmId, other: &VmId, asked: Duration) -> bool {
        match asked.abs_diff(self.asked) < Self::MAX_NEWS_DELAY {
            true => other > own,
            false => asked > self.asked,
        }
    }

    /// Returns the time at which the VM was asked to stop.
    #[must_use]
    pub fn asked(&self) -> Duration {
        self.asked
    }

    /// Returns the time at which the VM ends what still runs.
    #[must_use]
    pub fn ends(&self) -> Duration {
        self.ends
    }

    /// Returns the time until which callers may be told of the VM, so that it takes their requests.
    #[must_use]
    pub fn lingers_until(&self) -> Duration {
        self.lingers_until
    }

    /// Returns the time until which the VM takes new requests. `has_others` states that another VM of the region does.
    #[must_use]
    pub fn takes_until(&self, has_others: bool) -> Duration {
        let drain = self.ends - self.lingers_until;
        match has_others {
            true => self.lingers_until,
            false => self.lingers_until + drain / Self::LAST_VM_PART,
        }
    }

    /// Returns whether the VM takes new requests. `has_others` states that another VM of the region does.
    #[must_use]
    pub fn takes_requests(&self, now: Duration, has_others: bool) -> bool {
        now < self.takes_until(has_others)
    }
}
