use super::*;

/// What an upstream bears while it is cold.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdTerms {
    /// Requests a second that it bears, from all VMs together; 0 if it bears any number.
    pub per_s: f64,
    /// How long it stays cold after its start, in milliseconds.
    pub span_ms: u64,
}

// The rate is read from a configuration and never computed, so it is never a NaN.
impl Eq for ColdTerms {}
