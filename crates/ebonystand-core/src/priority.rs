use super::*;

/// Priority of a request at an engine; 0 is served first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Priority(u8);

impl Priority {
    /// Served last.
    pub const LOWEST: Self = Self(3);

    /// The number that is sent to the engine.
    #[must_use]
    pub fn level(self) -> u8 {
        self.0
    }

    /// Priority of a workspace that is `lead` times its quantum ahead of the others.
    pub(crate) fn from_lead(lead: Tokens) -> Self {
        match lead {
            0..=1 => Self(0),
            2..=4 => Self(1),
            5..=16 => Self(2),
            _ => Self::LOWEST,
        }
    }
}
