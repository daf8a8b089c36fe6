use xxhash_rust::xxh3::xxh3_64_with_seed;

/// RendezvousHash (highest random weight) hashing: VMs with equal lists agree without a message,
/// and a VM that comes or goes moves only its own part of the keys.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RendezvousHash {
    key: u64,
}

impl RendezvousHash {
    pub(crate) fn new(key: u64) -> Self {
        Self { key }
    }

    pub(crate) fn select_owner<'a, T: AsRef<str>>(
        self,
        names: impl IntoIterator<Item = &'a T>,
    ) -> Option<&'a T> {
        names
            .into_iter()
            .max_by_key(|name| self.weight(name.as_ref()))
    }

    pub(crate) fn weight(self, name: &str) -> u64 {
        xxh3_64_with_seed(name.as_bytes(), self.key)
    }
}
