use super::*;

/// Start-time fair queueing among flows: the flow with the lowest start tag goes next, and each turn raises
/// its tag by the work divided by the flow's weight.
///
/// Unlike by end tags, a large request waits no longer than a small one of the same flow.
#[derive(Clone, Debug)]
pub(crate) struct FairTags<K> {
    tags: FxHashMap<K, f64>,
    virtual_now: f64,
}

impl<K> Default for FairTags<K> {
    fn default() -> Self {
        Self {
            tags: FxHashMap::default(),
            virtual_now: 0.0,
        }
    }
}

impl<K: Copy + Eq + std::hash::Hash> FairTags<K> {
    /// Returns the start tag of a flow. A flow that was idle has no claim to what others used meanwhile.
    pub(crate) fn tag(&self, flow: K) -> f64 {
        let tag = self.tags.get(&flow).copied().unwrap_or_default();
        tag.max(self.virtual_now)
    }

    /// Charges a flow for a turn. `is_first` tells whether the flow had the lowest tag of all that wait.
    pub(crate) fn charge(&mut self, flow: K, work: f64, weight: f64, is_first: bool) {
        let start = self.tag(flow);
        if is_first {
            self.virtual_now = start;
        }
        self.tags.insert(flow, start + work / weight);
    }

    /// Forgets the flows that have no claim or debt left.
    pub(crate) fn remove_settled(&mut self) {
        let Self { tags, virtual_now } = self;
        tags.retain(|_, tag| *tag > *virtual_now);
    }
}
