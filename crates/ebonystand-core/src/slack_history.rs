use super::*;

/// Lowest slack of a bucket since each of its recent reservations. Slack is the room left in the
/// bucket; a mark is the sequence number of a reservation.
///
/// A refund may credit no more than the bucket would hold if only the used tokens had been taken.
/// If all of it were credited to a bucket that was full in the meantime, the tokens that the full
/// bucket had to discard would count twice, and a window would see more than burst + rate × time.
#[derive(Debug)]
pub(crate) struct SlackHistory {
    /// Entries sorted by mark. The slack rises strictly from entry to entry, since the entry of a
    /// later reservation holds the lowest slack over a shorter time.
    entries: Vec<SlackEntry>,
}

impl SlackHistory {
    /// Largest number of entries. Beyond it, the two with the closest slack are merged to the
    /// smaller slack.
    const MAX_ENTRIES: usize = 8;

    /// Creates the history of a bucket that has had no slack.
    pub(crate) fn new(mark: u64) -> Self {
        Self {
            entries: vec![SlackEntry {
                first_mark: mark,
                slack: 0,
            }],
        }
    }

    /// Records a reservation that leaves the bucket with `slack` micro-tokens of room.
    pub(crate) fn record_reservation(&mut self, mark: u64, slack: MicroTokens) {
        self.entries.push(SlackEntry {
            first_mark: mark,
            slack,
        });
        if self.entries.len() > Self::MAX_ENTRIES {
            self.merge_closest();
        }
    }

    /// Lowers the slack of all entries to at most `slack`, the bucket's present room.
    pub(crate) fn record_slack(&mut self, slack: MicroTokens) {
        while self.entries.len() > 1 && self.entries[self.entries.len() - 2].slack >= slack {
            self.entries.pop();
        }
        if let Some(last) = self.entries.last_mut() {
            last.slack = last.slack.min(slack);
        }
    }

    /// Returns how much of `unused` may be credited for the reservation at `mark`, and subtracts it
    /// from the slack.
    pub(crate) fn take_refund(&mut self, mark: u64, unused: MicroTokens) -> MicroTokens {
        let after = self
            .entries
            .partition_point(|entry| entry.first_mark <= mark);
        let Some(index) = after.checked_sub(1) else {
            return 0;
        };
        let refund = unused.min(self.entries[index].slack);
        for entry in &mut self.entries[index..] {
            entry.slack -= refund;
        }
        let lowest = self.entries[index].slack;
        let start = self.entries[..index]
            .iter()
            .position(|entry| entry.slack >= lowest)
            .unwrap_or(index);
        self.entries[start].slack = lowest;
        self.entries.drain(start + 1..=index);
        refund
    }

    /// Merges the two adjacent entries with the closest slack.
    fn merge_closest(&mut self) {
        let closest = (1..self.entries.len())
            .min_by_key(|index| self.entries[*index].slack - self.entries[index - 1].slack);
        if let Some(index) = closest {
            self.entries.remove(index);
        }
    }
}
