use super::*;

/// Priority of a request at an engine. The engine serves 0 first.
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
    /// The priority that is served last.
    pub const LOWEST: Self = Self(3);

    /// Number that is sent to the engine.
    #[must_use]
    pub fn level(self) -> u8 {
        self.0
    }

    /// Priority of a workspace that is ahead of the others by `lead` quanta, see
    /// [`FairQueue::PRIORITY_QUANTUM`].
    pub(crate) fn from_lead(lead: Tokens) -> Self {
        match lead {
            0..=1 => Self(0),
            2..=4 => Self(1),
            5..=16 => Self(2),
            _ => Self::LOWEST,
        }
    }
}
