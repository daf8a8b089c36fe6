use super::*;
use {
    clock::Clock,
    rustix::time::{ClockId, Timespec, clock_gettime},
};

/// The system's clocks.
///
/// The steady clock stands still while its VM is suspended. Measured by it, a lease would outlast
/// the suspension, and the VM would go on acting on it beside its successor. The clock since boot
/// counts that time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SystemClock {
    started: Duration,
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        since_boot().saturating_sub(self.started)
    }

    fn wall(&self) -> Duration {
        SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default()
    }
}

impl SystemClock {
    /// Clock that starts now.
    pub(crate) fn start() -> Self {
        Self {
            started: since_boot(),
        }
    }
}

fn since_boot() -> Duration {
    let Timespec { tv_nsec, tv_sec } = clock_gettime(ClockId::Boottime);
    // The kernel never gives a negative time since boot.
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u32::try_from(tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
