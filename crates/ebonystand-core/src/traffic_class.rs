use super::*;

/// Class of traffic on a link between regions, the most urgent first.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TrafficClass {
    /// Agreement, configuration, allowance and membership.
    #[display("control")]
    Control,
    /// Requests and their answers.
    #[display("request")]
    Request,
    /// KV cache, weights and snapshots.
    #[display("bulk")]
    Bulk,
}

impl TrafficClass {
    /// Part of a link's second that the class leaves to the more urgent ones, in thousandths.
    pub(crate) fn reserved_permille(self) -> u64 {
        match self {
            Self::Control => 0,
            Self::Request => 100,
            Self::Bulk => 500,
        }
    }
}
