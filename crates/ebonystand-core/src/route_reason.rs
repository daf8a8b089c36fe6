use super::*;

/// Reason why an upstream was chosen for a request.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteReason {
    /// The upstream is likely to have the prompt's prefix cached.
    #[display("affinity")]
    Affinity,
    /// The upstream was the best one of earlier decisions.
    #[display("best_known")]
    BestKnown,
    /// No upstream of the VM's own region can serve the request.
    #[display("none_in_region")]
    NoneInRegion,
    /// The upstream was the best one of a random sample.
    #[display("sampled")]
    Sampled,
    /// An upstream in another region is predicted to be faster by more than the preset's threshold.
    #[display("sent_away")]
    SentAway,
}
