use super::*;

/// An order of a [`PlacementController`]; its text is the log line.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{action} {replica}: {reason}")]
pub struct PlacementOrder {
    /// What to do.
    pub action: PlacementAction,
    /// Why.
    pub reason: PlacementReason,
    /// With what.
    pub replica: ModelReplica,
}
