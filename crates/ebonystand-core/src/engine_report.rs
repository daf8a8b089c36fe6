use super::*;

/// State of an engine by its last report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Whether the engine is leaving and gets no new work.
    pub leaving: bool,
    /// Number of running requests of each loaded model.
    pub models: BTreeMap<ModelId, u64>,
    /// Time at which the report was made.
    pub reported_at: Duration,
    /// Memory for weights in bytes, both used and free.
    pub weight_capacity: u64,
}
