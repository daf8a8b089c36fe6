use super::*;

/// Speeds of upstreams, as VMs of the region tell one another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedNews {
    /// All that a relay knows of engines' reading.
    pub known: Vec<KnownSpeed>,
    /// Reading of prompts, the latest one of each engine.
    pub samples: Vec<SpeedSample>,
    /// Upstreams that are slow now, or no longer so.
    pub work_times: Vec<WorkTimeNews>,
}

impl SpeedNews {
    /// Most entries of each list in one message; the rest is told later or dropped.
    pub const MAX_ENTRIES: usize = 64;
    /// Most bytes that one entry is encoded in.
    pub(crate) const MAX_ENTRY_BYTES: usize = 16;

    /// Returns whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of entries.
    pub(crate) fn len(&self) -> usize {
        self.known.len() + self.samples.len() + self.work_times.len()
    }

    /// Adds older news that was not sent; of each upstream the newest word is kept.
    pub(crate) fn merge_older(&mut self, older: Self) {
        merge(&mut self.known, older.known, |known| known.upstream);
        merge(&mut self.samples, older.samples, |sample| sample.upstream);
        merge(&mut self.work_times, older.work_times, |news| news.upstream);
    }
}

/// Adds the older entries of upstreams that have no newer one, while there is room.
fn merge<T>(newer: &mut Vec<T>, older: Vec<T>, upstream: impl Fn(&T) -> UpstreamKey) {
    for entry in older {
        let mut others = newer.iter();
        let is_covered = others.any(|other| upstream(other) == upstream(&entry));
        if !is_covered && newer.len() < SpeedNews::MAX_ENTRIES {
            newer.push(entry);
        }
    }
}
