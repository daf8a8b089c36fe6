use super::*;

/// State of an upstream as one VM sees it, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Whether the upstream may get new work from this VM.
    pub available: bool,
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Number of requests of this VM that run on the upstream.
    pub in_flight: u64,
    /// Whether the upstream is leaving: it finishes its requests and gets no new ones.
    pub leaving: bool,
    /// Region of the upstream.
    pub region: RegionId,
    /// Age of the last load report in milliseconds; none without a report.
    pub report_age_ms: Option<u64>,
    /// Number of requests that wait or run on the upstream by its last load report.
    pub reported_load: Option<u64>,
}
