use super::*;

/// Order of a [`PlacementController`] to change one replica. Its `Display` text is the log line.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{action} {replica}: {reason}")]
pub struct PlacementOrder {
    /// What the engine or the router has to do with the replica.
    pub action: PlacementAction,
    /// Reason for the change, as logged.
    pub reason: PlacementReason,
    /// Engine and model that the order is about.
    pub replica: ModelReplica,
}
