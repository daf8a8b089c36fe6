use super::*;

/// Kind of an upstream, with the models or the service that it serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum UpstreamKind {
    /// The upstream is a model engine.
    Model {
        /// Models that the engine has loaded.
        models: BTreeSet<ModelId>,
    },
    /// The upstream is a server of a plain service.
    Service {
        /// Name of the service.
        service: ServiceId,
    },
}

impl UpstreamKind {
    /// Iterates over the targets of requests that may be sent to the upstream.
    pub fn targets(&self) -> impl Iterator<Item = Target> + '_ {
        let (models, service) = match self {
            Self::Model { models } => (Some(models), None),
            Self::Service { service } => (None, Some(service)),
        };
        let models = models.into_iter().flatten().cloned().map(Target::Model);
        models.chain(service.cloned().map(Target::Service))
    }
}
