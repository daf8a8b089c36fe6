use super::*;

/// Log of the last changes of the configuration, for VMs that lag by a few versions.
///
/// A change that replaces the document or its routing is not kept, since a copy of the document is
/// no larger.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<AcceptedChange>,
    /// Version that the oldest kept change follows.
    floor: Version,
}

impl ChangeLog {
    /// Maximum number of changes kept: about three hours at the highest planned rate.
    const CAPACITY: usize = 1_024;
    /// Maximum number of changes in one message.
    pub(crate) const MAX_PER_MESSAGE: usize = 64;

    /// Returns the next changes after `version`, or `None` if they are no longer kept or do not
    /// exist.
    pub(crate) fn changes_after(&self, version: Version) -> Option<Vec<AcceptedChange>> {
        if version < self.floor || version > self.version() {
            return None;
        }
        let skipped = (version - self.floor) as usize;
        let changes = self
            .changes
            .iter()
            .skip(skipped)
            .take(Self::MAX_PER_MESSAGE);
        Some(changes.cloned().collect())
    }

    /// Returns the answer to a VM that has version `after`: the next changes, or the first part of
    /// the document if they are not kept.
    pub(crate) fn answer_pull(&self, document: &Document, after: Version) -> FeedMessage {
        let version = document.version;
        if after >= version {
            let changes = Vec::new();
            return FeedMessage::Changes { changes, version };
        }
        match self.changes_after(after) {
            Some(changes) => FeedMessage::Changes { changes, version },
            None => FeedMessage::part(document, DocumentCursor::default()),
        }
    }

    pub(crate) fn floor(&self) -> Version {
        self.floor
    }

    /// Appends the change that makes the next version. Any other change, or one that is not kept,
    /// empties the log.
    pub(crate) fn push(&mut self, accepted: AcceptedChange) {
        let next = accepted.version == self.version() + 1;
        let is_replacement = matches!(
            accepted.change,
            Change::Apply { .. } | Change::PutRouting { .. }
        );
        if !next || is_replacement {
            self.reset(accepted.version);
            return;
        }
        self.changes.push_back(accepted);
        if self.changes.len() > Self::CAPACITY {
            self.changes.pop_front();
            self.floor += 1;
        }
    }

    /// Empties the log, since the document has jumped to `version`.
    pub(crate) fn reset(&mut self, version: Version) {
        self.changes.clear();
        self.floor = version;
    }

    /// Returns the version of the last change.
    pub(crate) fn version(&self) -> Version {
        self.floor + self.changes.len() as u64
    }
}
