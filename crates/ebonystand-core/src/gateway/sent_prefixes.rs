use super::*;

/// Parts of the latest prompts that this VM has sent to an upstream, from the oldest to the newest.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentPrefixes {
    /// Parts in the order of their sending, with repetitions.
    order: VecDeque<u64>,
    /// Number of times that each part occurs in `order`.
    part_counts: FxHashMap<u64, u32>,
}

impl SentPrefixes {
    /// Parts remembered for one upstream, of 8 bytes each: more than an engine caches, at 2,000
    /// tokens per part, in the largest planned memory.
    const CAPACITY: usize = 512;

    /// Forgets all parts, after the upstream has lost its cache.
    pub(crate) fn clear(&mut self) {
        self.order.clear();
        self.part_counts.clear();
    }

    /// Returns the length in tokens of the longest prefix of the prompt that the upstream probably
    /// caches.
    pub(crate) fn cached_tokens(&self, prompt: &Prompt) -> Tokens {
        let kept = prompt.parts.iter();
        kept.take_while(|part| self.part_counts.contains_key(&part.id))
            .map(|part| part.tokens)
            .fold(0, Tokens::saturating_add)
    }

    /// Records the parts of a prompt that is sent, dropping the oldest beyond the capacity.
    pub(crate) fn record_prompt(&mut self, prompt: &Prompt) {
        for part in &prompt.parts {
            *self.part_counts.entry(part.id).or_default() += 1;
            self.order.push_back(part.id);
        }
        while self.order.len() > Self::CAPACITY {
            let Some(id) = self.order.pop_front() else {
                return;
            };
            if let Some(count) = self.part_counts.get_mut(&id) {
                *count -= 1;
                if *count == 0 {
                    self.part_counts.remove(&id);
                }
            }
        }
    }
}
