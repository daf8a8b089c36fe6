use super::*;

/// A newer document that is being copied in parts from peers that go on changing it.
///
/// The parts may be of different versions, all at least [`DocumentCopy::since`]. Making all
/// changes after `since` up to the newest part's version then gives that version's document: an
/// entry that one of them touches ends as its last change left it, and any other has been the same
/// in all those versions.
#[derive(Clone, Debug)]
pub(crate) struct DocumentCopy {
    document: Document,
    /// Where the next part starts; `None` once all are there.
    next: Option<DocumentCursor>,
    since: Version,
    top: Version,
}

impl DocumentCopy {
    /// Starts with the first part.
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
            next: Some(DocumentCursor::default()),
            since: version,
            top: version,
        };
        copy.put(part);
        Some(copy)
    }

    /// Whether a part at this place comes next.
    pub(crate) fn awaits(&self, cursor: &DocumentCursor) -> bool {
        self.next.as_ref() == Some(cursor)
    }

    /// The document, once it is all of one version.
    pub(crate) fn finished(&self) -> bool {
        self.next.is_none() && self.document.version >= self.top
    }

    /// The document.
    pub(crate) fn into_document(self) -> Document {
        self.document
    }

    /// Makes the changes that follow.
    pub(crate) fn make(&mut self, changes: &[AcceptedChange]) {
        if self.next.is_some() {
            return;
        }
        for accepted in changes {
            if accepted.version == self.document.version + 1 {
                self.document.make(accepted);
            }
        }
    }

    /// What to ask for next.
    pub(crate) fn request(&self) -> FeedMessage {
        match &self.next {
            Some(cursor) => FeedMessage::PullPart {
                cursor: cursor.clone(),
            },
            None => FeedMessage::Pull {
                after: self.document.version,
            },
        }
    }

    /// Version of the first part. Who no longer knows all changes since then answers a request for
    /// them with a first part, and the copy starts anew.
    pub(crate) fn since(&self) -> Version {
        self.since
    }

    /// Takes over a part; an unexpected one changes nothing.
    pub(crate) fn put(&mut self, part: DocumentPart) {
        if self.next.as_ref() != Some(&part.cursor) || part.version < self.since {
            return;
        }
        self.top = self.top.max(part.version);
        self.next = match part.entries.last() {
            Some(entry) if !part.last => Some(entry.cursor()),
            Some(_) | None => None,
        };
        self.document.put_part(part);
    }
}
