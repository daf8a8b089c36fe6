use super::*;

/// Election state that a replica must make durable before it answers.
///
/// A replica that forgot its vote could vote for a second candidate in the same term. The term
/// would then have two leaders, which commit different entries at the same index.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that received this replica's vote in `term`.
    pub voted_for: Option<MemberId>,
}
