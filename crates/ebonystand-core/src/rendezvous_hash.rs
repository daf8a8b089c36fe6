use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rendezvous hash (highest random weight): VMs with equal lists select the same owner without
/// exchanging messages, and a VM that joins or leaves moves only its own share of the keys.
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
