use super::*;

/// Outcome of a [`ChangeRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is in force.
    Accepted {
        /// Version from which on the change is in force.
        version: Version,
    },
    /// The version in force is not the one that the request expects.
    Conflict {
        /// Version in force when the request was applied.
        version: Version,
    },
    /// The change would make a faulty document, so the old document stays in force.
    Refused {
        /// Every fault that the document would have.
        faults: Vec<DocumentFault>,
    },
}

impl ChangeOutcome {
    /// Returns the HTTP status with which the operators' API answers.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Conflict { .. } => 409,
            Self::Refused { .. } => 422,
        }
    }
}
