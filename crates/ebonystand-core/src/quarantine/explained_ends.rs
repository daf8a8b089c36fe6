use super::*;

/// Ends of upstreams that quarantined parts of prompts explain.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct ExplainedEnds {
    /// Requests that had one of the parts. Either they or the part may be the cause, so that the ends count for them.
    pub requests: BTreeSet<Fingerprint>,
    /// Upstreams that ended.
    pub upstreams: BTreeSet<UpstreamId>,
}

impl ExplainedEnds {
    /// Returns the upstreams whose ends are no evidence against a request that was lost with them.
    pub(crate) fn upstreams_for(&self, request: Fingerprint) -> &BTreeSet<UpstreamId> {
        static NONE: BTreeSet<UpstreamId> = BTreeSet::new();
        match self.requests.contains(&request) {
            true => &NONE,
            false => &self.upstreams,
        }
    }
}
