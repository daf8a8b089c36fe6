use super::*;

/// Retry budget of a service on one VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RetryBudgetStatus {
    /// Retries that may be granted now.
    pub available: f64,
    /// Retries that were granted and may still be on their way.
    pub pending: u32,
    /// Requests in the last [`RetryBudget::WINDOW`].
    pub requests: u64,
    /// Most retries that are available and on their way together.
    pub reserve: f64,
    /// Name of the service.
    pub service: Box<str>,
}
