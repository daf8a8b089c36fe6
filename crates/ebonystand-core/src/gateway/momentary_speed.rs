use super::*;

/// What a VM knows of the time that work takes at an upstream now, from answers to it or from other
/// VMs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MomentarySpeed {
    /// Last figure, with the time of the answer that carried it.
    told: Option<(Duration, WorkTime)>,
    /// Last figure that other VMs know, with the time of its answer.
    shared: Option<(Duration, WorkTime)>,
    /// Time of the last log line about a figure that is not believed.
    warned_at: Option<Duration>,
}

impl MomentarySpeed {
    /// Time for which a figure counts; upstreams are slow for about as long.
    const LIFETIME: Duration = Duration::from_millis(600);
    /// Time between two messages about an upstream that stays slow.
    const SHARE_INTERVAL: Duration = Duration::from_millis(200);
    /// Time between two log lines about figures of one upstream that are not believed.
    const WARN_INTERVAL: Duration = Duration::from_secs(60);

    /// Returns whether the upstream has ever told a figure.
    pub(crate) fn is_told(&self) -> bool {
        self.told.is_some()
    }

    /// Returns how much longer than usual work takes now, and for how long that counts; `None` if
    /// there is no recent figure.
    pub(crate) fn current(&self, now: Duration) -> Option<(WorkTime, Duration)> {
        let (at, time) = self.told?;
        let left = (at + Self::LIFETIME).saturating_sub(now);
        (!left.is_zero()).then_some((time, left))
    }

    /// Returns the time that work takes from now on which usually takes `usual`: the figure counts
    /// while it is recent, and the rest of the work is done at the usual speed.
    pub(crate) fn stretch(&self, now: Duration, usual: Duration) -> Duration {
        let Some((time, left)) = self.current(now) else {
            return usual;
        };
        let factor = time.factor();
        let slowed = usual.mul_f64(factor);
        match slowed <= left {
            true => slowed,
            false => left + usual.saturating_sub(left.div_f64(factor)),
        }
    }

    /// Returns the usual time of the work that is done in `time` from now on.
    pub(crate) fn work_done(&self, now: Duration, time: Duration) -> Duration {
        let Some((slow, left)) = self.current(now) else {
            return time;
        };
        let slowed = time.min(left);
        slowed.div_f64(slow.factor()) + (time - slowed)
    }

    /// Records a figure of an answer that just arrived. Returns whether the other VMs should hear of
    /// it: the upstream is slow, or no longer so.
    pub(crate) fn record(&mut self, now: Duration, time: WorkTime) -> bool {
        self.told = Some((now, time));
        let shared = self.shared.filter(|(at, _)| now < *at + Self::LIFETIME);
        let is_news = match shared {
            Some((_, shared)) if shared.is_slow() != time.is_slow() => true,
            Some((at, _)) => time.is_slow() && now >= at + Self::SHARE_INTERVAL,
            None => time.is_slow(),
        };
        if is_news {
            self.shared = self.told;
        }
        is_news
    }

    /// Records a figure that another VM has told, of an answer at `at`. Returns whether it is newer
    /// than what this VM knew; by less than [`Self::SHARE_INTERVAL`] only a change counts, since the
    /// time of a message under way is not part of its age.
    pub(crate) fn record_told(&mut self, at: Duration, time: WorkTime) -> bool {
        let is_newer = self.told.is_none_or(|(known, _)| known < at);
        if is_newer {
            self.told = Some((at, time));
        }
        let is_news = self.shared.is_none_or(|(known, shared)| {
            let is_same = shared.is_slow() == time.is_slow();
            let after = if is_same {
                Self::SHARE_INTERVAL / 2
            } else {
                Duration::ZERO
            };
            at > known + after
        });
        if is_news {
            self.shared = Some((at, time));
        }
        is_news
    }

    /// Returns whether a figure that is not believed is worth a log line now.
    pub(crate) fn should_warn(&mut self, now: Duration) -> bool {
        let is_due = self
            .warned_at
            .is_none_or(|at| now >= at + Self::WARN_INTERVAL);
        if is_due {
            self.warned_at = Some(now);
        }
        is_due
    }
}
