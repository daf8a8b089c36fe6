use super::*;

/// End of an upstream that was reported with the runs lost there.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamEnd {
    pub(crate) at: Duration,
    /// Number that the parts' entries refer to.
    pub(crate) number: u64,
    /// Parts of all prompts that were lost, of which one may have been the cause, each with the requests that had it.
    pub(crate) parts: BTreeMap<PromptPartId, BTreeSet<Fingerprint>>,
    pub(crate) upstream: UpstreamId,
}

impl UpstreamEnd {
    /// Largest number of requests that are remembered for each part.
    const MAX_REQUESTS: usize = 64;

    /// Records a run that was lost with the upstream.
    pub(crate) fn record(&mut self, run: &LostRun) {
        for part in &run.parts {
            let requests = self.parts.entry(*part).or_default();
            if requests.len() < Self::MAX_REQUESTS {
                requests.insert(run.fingerprint);
            }
        }
    }

    /// Returns the requests with a part that were lost with the upstream.
    pub(crate) fn requests(&self, part: PromptPartId) -> impl Iterator<Item = Fingerprint> {
        let requests = self.parts.get(&part);
        requests.into_iter().flatten().copied()
    }
}
