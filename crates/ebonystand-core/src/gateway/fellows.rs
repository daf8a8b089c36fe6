use super::*;

/// What the other VMs of the region have told that they have under way.
///
/// Upstreams tell their load only to who sends to them, with an answer. Where many VMs send to many
/// upstreams, each one knows of few, and late; all then meet at the same ones. Told by one another,
/// they know of all of them within some hundred milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fellows {
    told: BTreeMap<VmId, Told>,
    sums: FxHashMap<UpstreamId, UnderWay>,
}

#[derive(Clone, Debug)]
struct Told {
    at: Duration,
    under_way: Vec<(UpstreamId, UnderWay)>,
}

impl Fellows {
    /// What a VM told counts for so long: some turns may get lost on the way, and what a VM that is
    /// gone had under way has ended.
    const LIFE: Duration = Duration::from_millis(1_000);

    /// What the others have under way at an upstream.
    pub(crate) fn at(&self, upstream: &str) -> UnderWay {
        self.sums.get(upstream).copied().unwrap_or_default()
    }

    /// Forgets what VMs told that have fallen silent.
    pub(crate) fn forget_silent(&mut self, now: Duration) {
        let before = self.told.len();
        self.told
            .retain(|_, told| now.saturating_sub(told.at) < Self::LIFE);
        if self.told.len() < before {
            self.sum();
        }
    }

    pub(crate) fn tell(&mut self, now: Duration, vm: VmId, under_way: Vec<(UpstreamId, UnderWay)>) {
        self.told.insert(vm, Told { at: now, under_way });
        self.sum();
    }

    fn sum(&mut self) {
        self.sums.clear();
        for (upstream, under_way) in self.told.values().flat_map(|told| &told.under_way) {
            self.sums
                .entry(upstream.clone())
                .or_default()
                .add(*under_way);
        }
    }
}
