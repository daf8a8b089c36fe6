use super::*;

/// Whether a refused request has run on an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request has not run, and nothing that was sent can make it run later.
    #[display("not_run")]
    NotRun,
    /// The request ran to its end.
    #[display("ran")]
    Ran,
    /// The request may have run, completely or in part.
    #[display("unknown")]
    Unknown,
}
