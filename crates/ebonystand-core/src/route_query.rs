use super::*;

/// Properties of a request that routing depends on.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Upstreams that must not get the request, since it failed there.
    pub excluded: &'a [UpstreamId],
    /// Expected number of output tokens; 1 for a call of a plain service.
    pub max_tokens: Tokens,
    /// Hash of the prompt's prefix that an engine may have cached.
    pub prefix: u64,
    /// Number of tokens in the prefix; 0 if there is none.
    pub prefix_tokens: Tokens,
    /// Number of tokens in the whole prompt; 0 for a call of a plain service.
    pub prompt_tokens: Tokens,
    /// Regions that may serve the workspace.
    pub residency: &'a BTreeSet<RegionId>,
    /// Model or service that the request is for.
    pub target: &'a Target,
    /// Workspace that sent the request.
    pub workspace: &'a str,
}

impl RouteQuery<'_> {
    /// Number of prompt tokens that an engine reads in the time that it takes to generate one
    /// token.
    pub const PREFILL_SPEEDUP: Tokens = 8;

    /// Work of the request in generated tokens, the unit of [`Upstream::speed`].
    #[must_use]
    pub fn work(&self) -> Tokens {
        self.prompt_tokens / Self::PREFILL_SPEEDUP + self.max_tokens
    }
}
