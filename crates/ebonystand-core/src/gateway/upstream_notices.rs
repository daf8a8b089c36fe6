//! What upstreams say of themselves in their answers to this VM: that they leave, or want a pause.
//! It holds for the instance, whatever the list says; other VMs hear it from the upstream.

use super::*;

impl UpstreamBook {
    /// Shortest mean pause after a request that an upstream of little tolerance has turned away.
    const MIN_SHED_PAUSE: Duration = Duration::from_secs(1);
    /// Longest such mean pause.
    const MAX_SHED_PAUSE: Duration = Duration::from_secs(20);

    /// Records that an upstream wants no request from this VM for a time. Returns whether that begins
    /// a pause.
    pub fn record_pause(&mut self, now: Duration, instance: &str, pause: Duration) -> bool {
        let Some(known) = self.upstreams.get_mut(instance) else {
            return false;
        };
        if pause.is_zero() {
            return false;
        }
        self.noticed.insert(instance.into());
        let was_paused = known
            .pause
            .is_some_and(|pause| !pause.remaining(now).is_zero());
        known.pause.get_or_insert_default().extend(now + pause);
        !was_paused
    }

    /// Records that an upstream says in an answer that it leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, instance: &str) -> bool {
        let Some(known) = self.upstreams.get_mut(instance) else {
            return false;
        };
        let is_new = !std::mem::replace(&mut known.has_announced_leaving, true);
        if is_new {
            self.noticed.insert(instance.into());
        }
        is_new
    }

    /// Records how many requests an upstream says that it may turn away in a second, over all VMs,
    /// before it goes down. Returns whether that is news.
    pub fn record_shed_tolerance(&mut self, instance: &str, tolerance: Option<u32>) -> bool {
        let Some(known) = self.upstreams.get_mut(instance) else {
            return false;
        };
        let is_news = known.shed_tolerance != tolerance;
        known.shed_tolerance = tolerance;
        if is_news && tolerance.is_some() {
            self.noticed.insert(instance.into());
        }
        is_news
    }

    /// Records that an upstream has turned a request away for want of room. One that tolerates few
    /// gets none from this VM for a time around that in which all VMs of the region, each with one
    /// request, use up a quarter of what it tolerates. `spread`, from 0 to 1, keeps VMs apart that
    /// were turned away together. Returns the pause.
    pub fn record_shed(&mut self, now: Duration, instance: &str, spread: f64) -> Option<Duration> {
        let vms = u32::try_from(self.vms.member_count()).unwrap_or(u32::MAX);
        let known = self.upstreams.get_mut(instance)?;
        let tolerance = known.shed_tolerance?.max(1);
        let mean = Duration::from_secs(4) * vms / tolerance;
        let mean = mean.clamp(Self::MIN_SHED_PAUSE, Self::MAX_SHED_PAUSE);
        let pause = mean.mul_f64(0.5 + spread.clamp(0.0, 1.0));
        known.pause.get_or_insert_default().extend(now + pause);
        Some(pause)
    }

    /// Returns what upstreams have said in answers to this VM and still holds.
    pub fn notices(&self, now: Duration) -> impl Iterator<Item = UpstreamNoticeStatus> {
        let noticed = self.noticed.iter();
        let noticed = noticed.filter_map(|instance| self.upstreams.get(instance));
        let statuses = noticed.map(move |known| UpstreamNoticeStatus {
            is_leaving: known.has_announced_leaving,
            pause_ms: millis(known.pause_remaining(now)),
            shed_tolerance: known.shed_tolerance,
            upstream: known.listed.instance.clone(),
        });
        statuses.filter(|status| {
            status.is_leaving || status.pause_ms > 0 || status.shed_tolerance.is_some()
        })
    }
}
