//! What upstreams say of themselves in their answers to this VM: that they leave, or want a pause.
//! It holds for the instance, whatever the list says; other VMs hear it from the upstream.

use super::*;

impl UpstreamBook {
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

    /// Returns what upstreams have said in answers to this VM and still holds.
    pub fn notices(&self, now: Duration) -> impl Iterator<Item = UpstreamNoticeStatus> {
        let noticed = self.noticed.iter();
        let noticed = noticed.filter_map(|instance| self.upstreams.get(instance));
        let statuses = noticed.map(move |known| UpstreamNoticeStatus {
            is_leaving: known.has_announced_leaving,
            pause_ms: millis(known.pause_remaining(now)),
            upstream: known.listed.instance.clone(),
        });
        statuses.filter(|status| status.is_leaving || status.pause_ms > 0)
    }
}
