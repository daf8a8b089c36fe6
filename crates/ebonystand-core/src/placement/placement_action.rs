use super::*;

/// Change to a model replica that a [`PlacementOrder`] requests.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum PlacementAction {
    /// The engine loads the model's weights.
    #[display("load")]
    Load,
    /// A retired replica receives new requests again.
    #[display("restore")]
    Restore,
    /// The replica receives no new requests and finishes those that it runs.
    #[display("retire")]
    Retire,
    /// The engine unloads the model's weights.
    #[display("unload")]
    Unload,
}
