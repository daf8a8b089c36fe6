use super::*;

/// Class of traffic on a link between regions, in descending order of urgency.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TrafficClass {
    /// Messages of consensus, configuration, allowance and membership.
    #[display("control")]
    Control,
    /// Requests and their answers.
    #[display("request")]
    Request,
    /// KV cache, model weights and snapshots.
    #[display("bulk")]
    Bulk,
}

impl TrafficClass {
    /// Share of a link's bandwidth, in thousandths, that the class leaves to more urgent classes.
    pub(crate) fn reserved_permille(self) -> u64 {
        match self {
            Self::Control => 0,
            Self::Request => 100,
            Self::Bulk => 500,
        }
    }
}
