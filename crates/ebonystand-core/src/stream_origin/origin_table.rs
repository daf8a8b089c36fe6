use super::*;

/// Origins of streams that a VM holds, until the streams can't be taken up any more.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    /// Expiry times with their keys, grouped by [`Self::EXPIRY_STEP`].
    expiries: BTreeMap<Duration, Vec<StreamKey>>,
    records: FxHashMap<StreamKey, OriginRecord>,
}

#[derive(Clone, Debug)]
struct OriginRecord {
    expires_at: Duration,
    origin: StreamOrigin,
}

impl OriginTable {
    /// Most origins held, about 4 MB. The oldest to expire yields to a new one.
    const MAX_RECORDS: usize = 32_768;
    /// Resolution of expiry times.
    const EXPIRY_STEP: Duration = Duration::from_millis(250);

    /// Returns the origin of a stream, if it is held.
    #[must_use]
    pub fn get(&self, now: Duration, key: StreamKey) -> Option<&StreamOrigin> {
        let record = self.records.get(&key)?;
        (now < record.expires_at).then_some(&record.origin)
    }

    /// Holds an origin for `lifetime`, at most for [`StreamOrigin::MAX_STREAM_AGE`]. An origin that is held
    /// already stays as it is and is held for the longer of the two times: the first event came from one
    /// upstream only. Returns whether it was not held before.
    pub fn hold(
        &mut self,
        now: Duration,
        key: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) -> bool {
        self.remove_expired(now);
        let expires_at = now + lifetime.min(StreamOrigin::MAX_STREAM_AGE);
        let is_new = !self.records.contains_key(&key);
        match self.records.get_mut(&key) {
            Some(record) if record.expires_at >= expires_at => return false,
            Some(record) => record.expires_at = expires_at,
            None => {
                if self.records.len() >= Self::MAX_RECORDS {
                    self.remove_soonest();
                }
                self.records
                    .insert(key, OriginRecord { expires_at, origin });
            }
        }
        self.expiries
            .entry(Self::step_after(expires_at))
            .or_default()
            .push(key);
        is_new
    }

    /// Returns whether no origin is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns all origins held, with the time left for each.
    pub fn iter(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (StreamKey, &StreamOrigin, Duration)> {
        self.records.iter().filter_map(move |(key, record)| {
            let left = record.expires_at.checked_sub(now)?;
            Some((*key, &record.origin, left))
        })
    }

    /// Returns the number of origins held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Removes the origins whose time is over.
    pub fn remove_expired(&mut self, now: Duration) {
        while let Some(entry) = self.expiries.first_entry()
            && *entry.key() <= now
        {
            for key in entry.remove() {
                if self
                    .records
                    .get(&key)
                    .is_some_and(|record| record.expires_at <= now)
                {
                    self.records.remove(&key);
                }
            }
        }
    }

    fn remove_soonest(&mut self) {
        while let Some(mut entry) = self.expiries.first_entry() {
            let key = entry.get_mut().pop();
            let Some(key) = key else {
                entry.remove();
                continue;
            };
            if self.records.remove(&key).is_some() {
                return;
            }
        }
    }

    fn step_after(expires_at: Duration) -> Duration {
        let steps = expires_at
            .as_millis()
            .div_ceil(Self::EXPIRY_STEP.as_millis());
        Self::EXPIRY_STEP * u32::try_from(steps).unwrap_or(u32::MAX)
    }
}
