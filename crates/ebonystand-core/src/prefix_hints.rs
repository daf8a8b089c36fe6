use {super::*, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Bounded table of the upstreams that are likely to have a prompt prefix cached.
///
/// The key includes the workspace. With a shared entry, a workspace could learn from its time to
/// first token which prompts another one has sent. Entries are only hints: a lost, late or wrong
/// one costs a cold prefill and never a request.
#[derive(Clone, Debug)]
pub(crate) struct PrefixHints {
    entries: Box<[Option<Hint>]>,
}

/// Hint that an upstream has the prefix of `key` cached, unless its generation has changed since.
#[derive(Clone, Copy, Debug)]
struct Hint {
    generation: u32,
    key: u64,
    upstream: u32,
}

impl PrefixHints {
    /// Number of entries in the table. A newer hint replaces an older one at the same index.
    const ENTRIES: usize = 16_384;

    pub(crate) fn remove(&mut self, key: u64, upstream: u32) {
        let entry = &mut self.entries[Self::entry_index(key)];
        if entry.is_some_and(|hint| hint.key == key && hint.upstream == upstream) {
            *entry = None;
        }
    }

    /// Index of the upstream, and the upstream's generation at the time of the hint.
    pub(crate) fn get(&self, key: u64) -> Option<(u32, u32)> {
        self.entries[Self::entry_index(key)]
            .filter(|hint| hint.key == key)
            .map(|hint| (hint.upstream, hint.generation))
    }

    pub(crate) fn key(workspace: &str, target: &Target, prefix: u64) -> u64 {
        let (kind, name) = match target {
            Target::Model(name) => (1, name),
            Target::Service(name) => (2, name),
        };
        let scope = xxh3_64_with_seed(workspace.as_bytes(), prefix);
        xxh3_64_with_seed(name.as_bytes(), scope ^ kind)
    }

    pub(crate) fn insert(&mut self, key: u64, upstream: u32, generation: u32) {
        self.entries[Self::entry_index(key)] = Some(Hint {
            generation,
            key,
            upstream,
        });
    }

    fn entry_index(key: u64) -> usize {
        key as usize % Self::ENTRIES
    }
}

impl Default for PrefixHints {
    fn default() -> Self {
        Self {
            entries: vec![None; Self::ENTRIES].into_boxed_slice(),
        }
    }
}
