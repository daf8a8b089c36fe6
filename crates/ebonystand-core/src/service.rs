use super::*;

/// Plain service: an HTTP application that is not a model engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Calls that the service offers, of which the first match applies to a request. A request that
    /// matches none is refused.
    pub calls: Vec<Call>,
    /// Tokens that one call takes from the workspace's allowance.
    pub tokens_per_call: Tokens,
}

impl Service {
    /// Returns the call that matches a request's method and path, if any.
    #[must_use]
    pub fn find_call(&self, method: &str, path: &str) -> Option<&Call> {
        self.calls.iter().find(|call| call.matches(method, path))
    }
}
