use super::*;

/// Some consecutive entries of a [`Document`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentPart {
    /// Place that the entries follow.
    pub cursor: DocumentCursor,
    /// [`Document::evacuated`] at this version.
    pub evacuated: BTreeSet<ZoneId>,
    /// The entries.
    pub entries: Vec<DocumentEntry>,
    /// No entry follows.
    pub last: bool,
    /// [`Document::preset`] at this version.
    pub preset: PresetName,
    /// [`Document::presets`] at this version.
    pub presets: Presets,
    /// [`Document::routing`] at this version, in the first part.
    pub routing: Option<Box<Routing>>,
    /// Version that the entries were read at.
    pub version: Version,
}
