use super::*;

/// Place in a [`Document`] that is copied in parts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentCursor {
    /// Last entry of the section that has been copied; `None` at its start.
    pub after: Option<Box<str>>,
    /// Section that is being copied.
    pub section: DocumentSection,
}
