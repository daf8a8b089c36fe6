use super::*;

/// Parts of the document that were sent lately, so that a part is not sent again while it may still
/// be in flight.
///
/// A part takes seconds on a slow link. If it were sent each time that it is requested again, the
/// copies would fill the link, and the following parts would never arrive.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentParts {
    sent: BTreeMap<VmId, (DocumentCursor, Version, Duration)>,
}

impl SentParts {
    /// Maximum number of receivers whose last part is remembered.
    const CAPACITY: usize = 64;
    /// Time after which a part that is requested again counts as lost.
    const RESEND_AFTER: Duration = Duration::from_secs(6);
    /// Time after which the first part of a document counts as lost. It is shorter than
    /// [`Self::RESEND_AFTER`], since a VM that has restarted asks for the first part too.
    const FIRST_RESEND_AFTER: Duration = Duration::from_secs(2);

    /// Returns whether a part may be sent to `to` now, and records it as sent if so.
    pub(crate) fn record_if_due(&mut self, now: Duration, to: &VmId, part: &DocumentPart) -> bool {
        self.sent
            .retain(|_, (.., at)| now.saturating_sub(*at) < Self::RESEND_AFTER);
        let position = (&part.cursor, part.version);
        let resend_after = match *position.0 == DocumentCursor::default() {
            true => Self::FIRST_RESEND_AFTER,
            false => Self::RESEND_AFTER,
        };
        if let Some((cursor, version, at)) = self.sent.get(to)
            && (cursor, *version) == position
            && now.saturating_sub(*at) < resend_after
        {
            return false;
        }
        if self.sent.len() < Self::CAPACITY {
            let sent = (part.cursor.clone(), part.version, now);
            self.sent.insert(to.clone(), sent);
        }
        true
    }
}
