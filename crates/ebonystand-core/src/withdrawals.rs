use {super::*, std::ops::Bound, xxhash_rust::xxh3::xxh3_64};

/// Set of withdrawn keys that the configuration in force does not show yet.
///
/// Any VM may add a key, even in a region that is cut off from the log, and none can take one back:
/// a key leaves the set only once the configuration shows it as withdrawn. Sets can therefore be
/// merged in any order, and their size follows the withdrawals of the last seconds rather than all
/// withdrawals ever made.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Withdrawals {
    /// XOR of the hashes of all keys in the set.
    digest: u64,
    /// Withdrawn keys with [`Withdrawal::version`].
    pending: BTreeMap<KeyId, Version>,
}

impl Withdrawals {
    /// Maximum number of entries in a page.
    pub const PAGE_ENTRIES: usize = 128;

    /// Returns whether the key is in the set, and thus withdrawn whatever the document says.
    #[must_use]
    pub fn contains(&self, key: &str) -> bool {
        self.pending.contains_key(key)
    }

    /// Returns a digest of the set, which is the same for equal sets.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Adds a withdrawal unless the document has it; returns whether it was new.
    pub fn insert(&mut self, document: &Document, withdrawal: &Withdrawal) -> bool {
        let Withdrawal { key, version } = withdrawal;
        if is_settled(document, key, *version) {
            return false;
        }
        if self.pending.insert(key.clone(), *version).is_some() {
            return false;
        }
        self.digest ^= xxh3_64(key.as_bytes());
        true
    }

    /// Returns up to [`Withdrawals::PAGE_ENTRIES`] entries after the key `after`, ordered by key.
    #[must_use]
    pub fn page(&self, after: Option<&KeyId>) -> Vec<Withdrawal> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.pending
            .range::<KeyId, _>((start, Bound::Unbounded))
            .take(Self::PAGE_ENTRIES)
            .map(|(key, version)| Withdrawal {
                key: key.clone(),
                version: *version,
            })
            .collect()
    }

    /// Iterates over the keys in the set.
    pub fn pending(&self) -> impl Iterator<Item = &KeyId> {
        self.pending.keys()
    }

    /// Removes the withdrawals that the document has.
    pub fn remove_settled(&mut self, document: &Document) {
        let settled: Vec<_> = self
            .pending
            .iter()
            .filter(|(key, version)| is_settled(document, key, **version))
            .map(|(key, _)| key.clone())
            .collect();
        for key in settled {
            self.pending.remove(&key);
            self.digest ^= xxh3_64(key.as_bytes());
        }
    }
}

/// Returns whether the document has the withdrawal of `key`, made at `version`. An older document
/// may lack the key because it was added later; one at least as new lacks it because the key was
/// removed for good.
fn is_settled(document: &Document, key: &str, version: Version) -> bool {
    match document.keys.get(key) {
        Some(key) => key.withdrawn,
        None => document.version >= version,
    }
}
