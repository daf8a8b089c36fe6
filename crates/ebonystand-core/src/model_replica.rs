use super::*;

/// Replica of a model on an engine.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{model} on {engine}")]
pub struct ModelReplica {
    /// Engine that holds the replica, or is to load it.
    pub engine: UpstreamId,
    /// Model whose weights the replica consists of.
    pub model: ModelId,
}

impl ModelReplica {
    /// Creates the replica of `model` on `engine`, cloning both ids.
    #[must_use]
    pub fn new(engine: &UpstreamId, model: &ModelId) -> Self {
        Self {
            engine: engine.clone(),
            model: model.clone(),
        }
    }
}
