use super::*;

/// Model or plain service that a request is addressed to.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Target {
    /// Language model with this name.
    #[display("model {_0}")]
    Model(ModelId),
    /// Plain service with this name.
    #[display("service {_0}")]
    Service(ServiceId),
}
