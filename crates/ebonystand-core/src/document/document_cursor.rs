use super::*;

/// Position in a [`Document`] that is copied in parts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentCursor {
    /// Name of the last copied entry of the section; `None` at the section's start.
    pub after: Option<Box<str>>,
    /// Section that is being copied at this position.
    pub section: DocumentSection,
}
