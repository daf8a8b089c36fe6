use super::*;

/// Speed and name of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Time from the request to the first token.
    pub first_token: Duration,
    /// Name that the engine reports as `model` in its answers.
    pub name: Box<str>,
    /// Time between two successive tokens.
    pub token: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(5),
            name: "engine".into(),
            token: Duration::from_millis(1),
        }
    }
}
