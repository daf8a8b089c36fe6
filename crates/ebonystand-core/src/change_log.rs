use super::*;

/// The last changes of the configuration, for VMs that lag a little.
///
/// A change that replaces the document is not kept: a copy of the document is as small.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<AcceptedChange>,
    /// Version that the oldest kept change follows.
    floor: Version,
}

impl ChangeLog {
    /// Changes that are kept, about three hours of the largest planned rate.
    const CAPACITY: usize = 1_024;
    /// Changes of one message at most.
    pub(crate) const MESSAGE: usize = 64;

    /// The next changes after a version; `None` if they are kept no more or never were.
    pub(crate) fn after(&self, version: Version) -> Option<Vec<AcceptedChange>> {
        if version < self.floor || version > self.version() {
            return None;
        }
        let skipped = (version - self.floor) as usize;
        let changes = self.changes.iter().skip(skipped).take(Self::MESSAGE);
        Some(changes.cloned().collect())
    }

    /// Answer to a VM whose version is `after`.
    pub(crate) fn answer(&self, document: &Document, after: Version) -> FeedMessage {
        let version = document.version;
        if after >= version {
            let changes = Vec::new();
            return FeedMessage::Changes { changes, version };
        }
        match self.after(after) {
            Some(changes) => FeedMessage::Changes { changes, version },
            None => FeedMessage::part(document, DocumentCursor::default()),
        }
    }

    pub(crate) fn floor(&self) -> Version {
        self.floor
    }

    pub(crate) fn push(&mut self, accepted: AcceptedChange) {
        let next = accepted.version == self.version() + 1;
        let is_whole = matches!(
            accepted.change,
            Change::Apply { .. } | Change::PutRouting { .. }
        );
        if !next || is_whole {
            self.restart(accepted.version);
            return;
        }
        self.changes.push_back(accepted);
        if self.changes.len() > Self::CAPACITY {
            self.changes.pop_front();
            self.floor += 1;
        }
    }

    /// Forgets all, the document having jumped to `version`.
    pub(crate) fn restart(&mut self, version: Version) {
        self.changes.clear();
        self.floor = version;
    }

    /// Version of the last change.
    pub(crate) fn version(&self) -> Version {
        self.floor + self.changes.len() as u64
    }
}
