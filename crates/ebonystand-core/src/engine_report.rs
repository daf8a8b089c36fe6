use super::*;

/// What an engine last reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// It gets no new work.
    pub leaving: bool,
    /// Models that it has loaded, each with the requests that it runs for it.
    pub models: BTreeMap<ModelId, u64>,
    /// When it reported.
    pub reported_at: Duration,
    /// Room for weights, taken or not, in bytes.
    pub weight_capacity: u64,
}
