use super::*;

/// Newer document that is being copied in parts from peers whose own document keeps changing.
///
/// The parts may be of different versions, all at least [`DocumentCopy::base_version`]. Applying
/// all changes after that version up to the newest part's version then gives the document of the
/// newest version: an entry that one of the changes touches ends as its last change left it, and
/// any other entry has been the same in all those versions.
#[derive(Clone, Debug)]
pub(crate) struct DocumentCopy {
    document: Document,
    /// Cursor at which the next part starts; `None` once all parts are there.
    next_cursor: Option<DocumentCursor>,
    /// Version of the first part.
    base_version: Version,
    /// Highest version among the parts.
    newest_version: Version,
}

impl DocumentCopy {
    /// Starts a copy with the first part; returns `None` if `part` is another one.
    pub(crate) fn start(part: DocumentPart) -> Option<Self> {
        if part.cursor != DocumentCursor::default() {
            return None;
        }
        let version = part.version;
        let mut copy = Self {
            document: Document {
                version,
                ..Document::default()
            },
            next_cursor: Some(DocumentCursor::default()),
            base_version: version,
            newest_version: version,
        };
        copy.add_part(part);
        Some(copy)
    }

    /// Returns whether the part at `cursor` is the next one to add.
    pub(crate) fn expects(&self, cursor: &DocumentCursor) -> bool {
        self.next_cursor.as_ref() == Some(cursor)
    }

    /// Returns whether the document is complete and of one version.
    pub(crate) fn is_complete(&self) -> bool {
        self.next_cursor.is_none() && self.document.version >= self.newest_version
    }

    /// Returns the copied document.
    pub(crate) fn into_document(self) -> Document {
        self.document
    }

    /// Applies the changes that follow the document's version in sequence, once all parts are
    /// there.
    pub(crate) fn apply_changes(&mut self, changes: &[AcceptedChange]) {
        if self.next_cursor.is_some() {
            return;
        }
        for accepted in changes {
            if accepted.version == self.document.version + 1 {
                self.document.apply(accepted);
            }
        }
    }

    /// Returns the request for the next part, or for the changes that are missing after the last
    /// part.
    pub(crate) fn next_request(&self) -> FeedMessage {
        match &self.next_cursor {
            Some(cursor) => FeedMessage::PullPart {
                cursor: cursor.clone(),
            },
            None => FeedMessage::Pull {
                after: self.document.version,
            },
        }
    }

    /// Returns the version of the first part. A peer that no longer holds all changes since then
    /// answers a request for them with a first part, which starts a new copy.
    pub(crate) fn base_version(&self) -> Version {
        self.base_version
    }

    /// Adds the next part; any other part is ignored.
    pub(crate) fn add_part(&mut self, part: DocumentPart) {
        if self.next_cursor.as_ref() != Some(&part.cursor) || part.version < self.base_version {
            return;
        }
        self.newest_version = self.newest_version.max(part.version);
        self.next_cursor = match part.entries.last() {
            Some(entry) if !part.last => Some(entry.cursor()),
            Some(_) | None => None,
        };
        self.document.insert_part(part);
    }
}
