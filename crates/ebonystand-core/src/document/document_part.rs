use super::*;

/// Consecutive entries of a [`Document`], sent as one message, with the fields that are not maps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentPart {
    /// Position in the document after which the part's entries start.
    pub cursor: DocumentCursor,
    /// [`Document::evacuated`] at the part's version.
    pub evacuated: BTreeSet<ZoneId>,
    /// Entries in the order of their sections and names, [`Document::PART_ENTRIES`] at most.
    pub entries: Vec<DocumentEntry>,
    /// Whether this is the last part of the document.
    pub last: bool,
    /// [`Document::preset`] at the part's version.
    pub preset: PresetName,
    /// [`Document::presets`] at the part's version.
    pub presets: Presets,
    /// [`Document::routing`] at the part's version without its source; present in the first part
    /// only.
    pub routing: Option<Box<Routing>>,
    /// Version of the document that the entries were read from.
    pub version: Version,
}
