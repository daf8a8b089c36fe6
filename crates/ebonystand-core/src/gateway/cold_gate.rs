use super::*;

/// Spaces the requests that one VM sends to a cold upstream.
///
/// An upstream that is cold bears a rate from all VMs together. The VMs of its region alone send
/// to it, so each of them takes an equal part of the rate: however many are cut off from one
/// another, the parts add up to no more than the whole.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdGate {
    next: Duration,
}

impl ColdGate {
    /// When the next request may go.
    pub(crate) fn opens(&self) -> Duration {
        self.next
    }

    /// Counts a request that is sent now by one of `vms`.
    pub(crate) fn pass(&mut self, now: Duration, per_s: f64, vms: u32) {
        let gap = Duration::from_secs_f64(f64::from(vms.max(1)) / per_s.max(0.001));
        self.next = now + gap;
    }
}
