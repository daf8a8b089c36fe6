use super::*;

/// Limits the rate at which one VM sends requests to a cold upstream.
///
/// A cold upstream tolerates a rate from all VMs together. Only VMs of its region send to it, and
/// each takes an equal share of the rate, so the shares add up to no more than the whole even if
/// the VMs are partitioned from one another.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdStartLimiter {
    next_send: Duration,
}

impl ColdStartLimiter {
    /// Returns the earliest time of the next request.
    pub(crate) fn next_send_at(&self) -> Duration {
        self.next_send
    }

    /// Records a request sent now by one of `vms` VMs that share the rate `per_s`.
    pub(crate) fn record_sent(&mut self, now: Duration, per_s: f64, vms: u32) {
        let gap = Duration::from_secs_f64(f64::from(vms.max(1)) / per_s.max(0.001));
        self.next_send = now + gap;
    }
}
