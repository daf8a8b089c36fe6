use super::*;

/// Workspace in the configuration [`Routing`]: its keys, homes and limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayWorkspace {
    /// Regions that may serve the workspace; empty if all may.
    pub homes: BTreeSet<RegionId>,
    /// Hashes of the secret keys that identify callers of the workspace.
    pub keys: Vec<KeyHash>,
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Tokens that a request without a prompt is charged.
    pub call_tokens: Tokens,
    /// Rate limit of the workspace; `None` if it is unlimited.
    pub quota: Option<Quota>,
    /// Priority rank that overrides the route's rank; 0 is served first.
    pub rank: Option<u8>,
}

impl GatewayWorkspace {
    /// Returns the units that a request is charged against the quota.
    #[must_use]
    pub fn quota_cost(&self, prompt: Option<&Prompt>) -> Tokens {
        match self.quota.map(|quota| quota.unit) {
            Some(QuotaUnit::Requests) => 1,
            Some(QuotaUnit::Tokens) | None => {
                prompt.map_or(self.call_tokens, Prompt::max_total_tokens)
            }
        }
    }
}
