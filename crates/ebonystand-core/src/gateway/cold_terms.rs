use super::*;

/// Load limits of an upstream for some time after its start, while it is cold.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdTerms {
    /// Requests per second that a cold upstream tolerates from all VMs together; 0 if unlimited.
    pub per_s: f64,
    /// Time for which an upstream stays cold after its start, in milliseconds.
    pub span_ms: u64,
}

// `Eq` holds because the rate is parsed from a configuration and never computed, so it is never
// NaN.
impl Eq for ColdTerms {}
