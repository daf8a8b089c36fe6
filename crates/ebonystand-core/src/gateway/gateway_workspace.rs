use super::*;

/// A workspace as a [`Routing`] has it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayWorkspace {
    /// Regions that may serve it; empty if all may.
    pub homes: BTreeSet<RegionId>,
    /// Hashes of its keys' secrets.
    pub keys: Vec<KeyHash>,
    /// Name.
    pub name: WorkspaceId,
    /// Tokens that a request without a prompt counts as.
    pub call_tokens: Tokens,
    /// What it may use; none if it is not limited.
    pub quota: Option<Quota>,
    /// Rank, which goes before that of a route; 0 is the first.
    pub rank: Option<u8>,
}

impl GatewayWorkspace {
    /// What a request takes from the quota.
    #[must_use]
    pub fn cost(&self, prompt: Option<&Prompt>) -> Tokens {
        match self.quota.map(|quota| quota.unit) {
            Some(QuotaUnit::Requests) => 1,
            Some(QuotaUnit::Tokens) | None => prompt.map_or(self.call_tokens, Prompt::tokens),
        }
    }
}
