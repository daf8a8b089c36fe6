use super::*;

/// What other VMs have told that they have under way, with the sums by upstream.
///
/// Upstreams tell their load only to who sends to them, with an answer. Where many VMs send to many
/// upstreams, each one knows of few, and late; all then meet at the same ones.
#[derive(Clone, Debug)]
pub(crate) struct PeerLoads {
    life: Duration,
    sums: FxHashMap<UpstreamKey, UnderWay>,
    told: BTreeMap<VmId, Told>,
}

#[derive(Clone, Debug)]
struct Told {
    at: Duration,
    under_way: UpstreamLoads,
}

impl PeerLoads {
    /// What a VM tells counts for `life`: some messages may get lost on the way, and what a VM that is
    /// gone had under way has ended.
    pub(crate) fn new(life: Duration) -> Self {
        Self {
            life,
            sums: FxHashMap::default(),
            told: BTreeMap::new(),
        }
    }

    /// What they have under way at an upstream.
    pub(crate) fn at(&self, upstream: UpstreamKey) -> UnderWay {
        self.sums.get(&upstream).copied().unwrap_or_default()
    }

    /// Forgets what a VM told.
    pub(crate) fn forget(&mut self, vm: &str) {
        if let Some(told) = self.told.remove(vm) {
            self.take_out(told.under_way);
        }
    }

    /// Forgets what all VMs told but one.
    pub(crate) fn forget_others(&mut self, vm: &str) {
        self.forget_if(|other, _| *other != *vm);
    }

    /// Forgets what VMs told that have fallen silent.
    pub(crate) fn forget_silent(&mut self, now: Duration) {
        let life = self.life;
        self.forget_if(|_, told| now.saturating_sub(told.at) >= life);
    }

    /// Whether anything counts that this VM told.
    pub(crate) fn hears(&self, vm: &str) -> bool {
        self.told.contains_key(vm)
    }

    /// Sums by upstream.
    pub(crate) fn sums(&self) -> impl Iterator<Item = (UpstreamKey, UnderWay)> {
        self.sums.iter().map(|(upstream, sum)| (*upstream, *sum))
    }

    /// Takes what a VM tells. The sums change by the difference, so that a message costs as much as it
    /// tells, however many VMs there are.
    pub(crate) fn tell(&mut self, now: Duration, vm: VmId, under_way: UpstreamLoads) {
        for (upstream, load) in &under_way {
            self.sums.entry(*upstream).or_default().add(*load);
        }
        if let Some(before) = self.told.insert(vm, Told { at: now, under_way }) {
            self.take_out(before.under_way);
        }
    }

    /// VMs of which something counts.
    pub(crate) fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.told.keys()
    }

    fn forget_if(&mut self, is_over: impl Fn(&str, &Told) -> bool) {
        let over = self.told.extract_if(.., |vm, told| is_over(vm, told));
        let over = over.map(|(_, told)| told.under_way).collect::<Vec<_>>();
        over.into_iter().for_each(|loads| self.take_out(loads));
    }

    fn take_out(&mut self, under_way: UpstreamLoads) {
        for (upstream, load) in under_way {
            let Some(sum) = self.sums.get_mut(&upstream) else {
                continue;
            };
            sum.take_out(load);
            if sum.is_none() {
                self.sums.remove(&upstream);
            }
        }
    }
}
