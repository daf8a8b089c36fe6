use super::*;

/// Requests that other VMs have reported as in flight, with sums by upstream.
///
/// Upstreams report their load only to VMs that send to them, along with an answer. Where many VMs
/// send to many upstreams, each VM knows the load of a few only, and late; without reports from one
/// another, all VMs would choose the same upstreams.
#[derive(Clone, Debug)]
pub(crate) struct PeerLoads {
    lifetime: Duration,
    sums: FxHashMap<UpstreamKey, UnderWay>,
    reports: BTreeMap<VmId, PeerReport>,
}

/// Requests that another VM has in flight by its latest report, with the time at which that
/// arrived.
#[derive(Clone, Debug)]
struct PeerReport {
    received_at: Duration,
    under_way: UpstreamLoads,
}

impl PeerLoads {
    /// Creates an empty set of reports that expire after `lifetime`: some messages may be lost, and
    /// the requests of a VM that is gone have ended.
    pub(crate) fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            sums: FxHashMap::default(),
            reports: BTreeMap::new(),
        }
    }

    /// Returns the sum of the requests in flight at an upstream.
    pub(crate) fn load_at(&self, upstream: UpstreamKey) -> UnderWay {
        self.sums.get(&upstream).copied().unwrap_or_default()
    }

    /// Removes the report of a VM.
    pub(crate) fn remove(&mut self, vm: &str) {
        if let Some(report) = self.reports.remove(vm) {
            self.subtract_loads(report.under_way);
        }
    }

    /// Removes the reports of all VMs except one.
    pub(crate) fn retain_only(&mut self, vm: &str) {
        self.remove_where(|other, _| *other != *vm);
    }

    /// Removes the reports of VMs that have fallen silent.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        let lifetime = self.lifetime;
        self.remove_where(|_, report| now.saturating_sub(report.received_at) >= lifetime);
    }

    /// Returns whether there is an unexpired report of this VM.
    pub(crate) fn has_report_from(&self, vm: &str) -> bool {
        self.reports.contains_key(vm)
    }

    /// Returns the sum of all reports for each upstream.
    pub(crate) fn sums(&self) -> impl Iterator<Item = (UpstreamKey, UnderWay)> {
        self.sums.iter().map(|(upstream, sum)| (*upstream, *sum))
    }

    /// Replaces the report of a VM. The sums are updated by the difference, so the cost depends on
    /// the size of the report and not on the number of VMs.
    pub(crate) fn record_report(&mut self, now: Duration, vm: VmId, under_way: UpstreamLoads) {
        for (upstream, load) in &under_way {
            self.sums.entry(*upstream).or_default().add(*load);
        }
        if let Some(before) = self.reports.insert(
            vm,
            PeerReport {
                received_at: now,
                under_way,
            },
        ) {
            self.subtract_loads(before.under_way);
        }
    }

    /// Returns the VMs that have an unexpired report.
    pub(crate) fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.reports.keys()
    }

    fn remove_where(&mut self, is_removed: impl Fn(&str, &PeerReport) -> bool) {
        let removed = self
            .reports
            .extract_if(.., |vm, report| is_removed(vm, report));
        let removed = removed
            .map(|(_, report)| report.under_way)
            .collect::<Vec<_>>();
        removed
            .into_iter()
            .for_each(|loads| self.subtract_loads(loads));
    }

    fn subtract_loads(&mut self, under_way: UpstreamLoads) {
        for (upstream, load) in under_way {
            let Some(sum) = self.sums.get_mut(&upstream) else {
                continue;
            };
            sum.subtract(load);
            if sum.is_idle() {
                self.sums.remove(&upstream);
            }
        }
    }
}
