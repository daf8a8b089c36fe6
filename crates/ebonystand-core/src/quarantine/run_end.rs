use super::*;

/// How a run of a request on an upstream ended, as [`Quarantine`] distinguishes it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The upstream survived the run.
    Clean,
    /// The upstream went down during the run: its connections were reset, or it refuses new ones.
    Crashed {
        /// Upstream that went down.
        upstream: UpstreamId,
    },
}
