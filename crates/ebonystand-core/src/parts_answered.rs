use super::*;

/// Parts of a copy that were sent lately, so that none is sent again while it may still be under way.
///
/// A part takes seconds on a slow link. Were it sent each time that it is asked for again, the copies
/// would fill the link, and the parts that follow would never come.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartsAnswered {
    sent: BTreeMap<VmId, (DocumentCursor, Version, Duration)>,
}

impl PartsAnswered {
    /// VMs that are remembered.
    const CAPACITY: usize = 64;
    /// Time after which a part that is asked for again counts as lost.
    const LOST: Duration = Duration::from_secs(6);
    /// The same for a first part, which a VM that has started anew asks for too.
    const FIRST_LOST: Duration = Duration::from_secs(2);

    /// Whether a part may be sent; noted if so.
    pub(crate) fn admits(&mut self, now: Duration, to: &VmId, part: &DocumentPart) -> bool {
        self.sent
            .retain(|_, (.., at)| now.saturating_sub(*at) < Self::LOST);
        let place = (&part.cursor, part.version);
        let lost = match *place.0 == DocumentCursor::default() {
            true => Self::FIRST_LOST,
            false => Self::LOST,
        };
        if let Some((cursor, version, at)) = self.sent.get(to)
            && (cursor, *version) == place
            && now.saturating_sub(*at) < lost
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
