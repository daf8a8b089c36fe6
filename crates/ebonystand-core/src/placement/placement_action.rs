use super::*;

/// What a [`PlacementOrder`] asks for.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum PlacementAction {
    /// The engine loads the model.
    #[display("load")]
    Load,
    /// Requests go to a retired replica again.
    #[display("restore")]
    Restore,
    /// No new request goes to the replica, which finishes what it runs.
    #[display("retire")]
    Retire,
    /// The engine unloads the model.
    #[display("unload")]
    Unload,
}
