use super::*;

/// Tells by this VM's clock when other VMs read their lists.
///
/// The clocks of two VMs start at different times. The list that took the shortest time from its reader to this VM
/// tells how far they are apart, and what any other one takes longer is its lateness. So a list that waited on its
/// way is not taken for a new one.
#[derive(Clone, Debug, Default)]
pub struct ReadingDates {
    readers: FxHashMap<(VmId, Incarnation), ClockDistance>,
}

/// Least milliseconds by which this VM's clock is ahead of a reader's when one of its lists arrives.
#[derive(Clone, Copy, Debug)]
struct ClockDistance {
    /// Of the lists of the former window.
    former_ms: i64,
    least_ms: i64,
    since: Duration,
}

impl ReadingDates {
    /// Time after which an old distance no longer counts, as clocks drift apart.
    const WINDOW: Duration = Duration::from_secs(300);

    /// Returns when a list that arrives now was read, at the latest.
    pub fn date(&mut self, now: Duration, reading: &ListReading) -> Duration {
        self.readers
            .retain(|_, known| now.saturating_sub(known.since) < 3 * Self::WINDOW);
        let distance_ms = now.as_millis() as i64 - reading.began_ms as i64;
        let key = (reading.reader.clone(), reading.incarnation);
        let known = self.readers.entry(key).or_insert(ClockDistance {
            former_ms: distance_ms,
            least_ms: distance_ms,
            since: now,
        });
        if now.saturating_sub(known.since) >= Self::WINDOW {
            known.former_ms = known.least_ms;
            known.least_ms = distance_ms;
            known.since = now;
        }
        known.least_ms = known.least_ms.min(distance_ms);
        let late_ms = distance_ms - known.least_ms.min(known.former_ms);
        now.saturating_sub(Duration::from_millis(late_ms.unsigned_abs()))
    }
}
