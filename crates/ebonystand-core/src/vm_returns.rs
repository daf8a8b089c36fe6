use super::*;

/// Estimates when VMs that have stopped taking callers take them again, from how long others were away.
#[derive(Clone, Debug, Default)]
pub struct VmReturns {
    absences: BTreeMap<VmId, Absence>,
    /// Length of the last absence that has ended.
    last: Option<Duration>,
    /// VMs that take callers and are to stay, with their regions.
    present: FxHashMap<VmId, RegionId>,
}

#[derive(Clone, Debug)]
struct Absence {
    region: RegionId,
    since: Duration,
}

impl VmReturns {
    /// Longest absence that tells how long others take.
    pub const MAX_ABSENCE: Duration = Duration::from_secs(60);
    /// Time for which a VM that is overdue is still expected at any moment. Later it has most likely gone for good.
    pub const MAX_OVERDUE: Duration = Duration::from_secs(2);

    /// Least part of the longest delay that a caller follows, in permille, if a VM is expected later than that.
    const MIN_SHARE_PERMILLE: u32 = 850;

    /// Records which VMs there are now.
    pub fn record(&mut self, now: Duration, live: &[VmEntry]) {
        let staying = || live.iter().filter(|entry| Self::is_staying(entry));
        let is_known = |entry: &VmEntry| self.present.contains_key(&entry.record.vm);
        if staying().count() == self.present.len() && staying().all(is_known) {
            return;
        }
        let present = staying().map(|entry| (entry.record.vm.clone(), entry.record.region.clone()));
        let before = std::mem::replace(&mut self.present, present.collect());
        for (vm, region) in before {
            if !self.present.contains_key(&vm) {
                let since = now;
                self.absences.insert(vm, Absence { region, since });
            }
        }
        let (last, present) = (&mut self.last, &self.present);
        self.absences.retain(|vm, absence| {
            let length = now.saturating_sub(absence.since);
            let has_returned = present.contains_key(vm);
            if has_returned && length < Self::MAX_ABSENCE {
                *last = Some(length);
            }
            !has_returned && length < Self::MAX_ABSENCE
        });
    }

    /// Returns the time at which the first VM that is away from a region for which `is_allowed` holds is likely to be
    /// back; `None` if none is expected. A VM is away for as long as the last one that came back, or for `usual` if none
    /// has.
    #[must_use]
    pub fn next_return(
        &self,
        now: Duration,
        usual: Duration,
        is_allowed: impl Fn(&RegionId) -> bool,
    ) -> Option<Duration> {
        let length = self.last.unwrap_or(usual);
        let is_expected = |absence: &&Absence| {
            let is_overdue = now > absence.since + length + Self::MAX_OVERDUE;
            !is_overdue && is_allowed(&absence.region)
        };
        let absences = self.absences.values().filter(is_expected);
        absences.map(|absence| absence.since + length).min()
    }

    /// Returns the time after which a caller is told to come back whose request has `left` time, if a VM is expected in
    /// `wait`.
    ///
    /// Callers follow a delay of at most a third of their time. Those for whom that is too short are told nearly all of it,
    /// so that their tries last until the VM is back; the others are spread at `random` over `spread`.
    #[must_use]
    pub fn retry_delay(wait: Duration, spread: Duration, left: Duration, random: u64) -> Duration {
        let last = (wait + spread).min(left / 3);
        let first = wait.min(last * Self::MIN_SHARE_PERMILLE / 1_000);
        first + (last - first).mul_f64(random as f64 / u64::MAX as f64)
    }

    /// Returns since when a VM is away; `None` if it is not.
    #[must_use]
    pub fn away_since(&self, vm: &str) -> Option<Duration> {
        Some(self.absences.get(vm)?.since)
    }

    fn is_staying(entry: &VmEntry) -> bool {
        entry.record.takes_callers && !entry.is_leaving()
    }
}
