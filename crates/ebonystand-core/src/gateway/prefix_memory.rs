use super::*;

/// Parts of prompts that an upstream has been sent by this VM, the newest last.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixMemory {
    order: VecDeque<u64>,
    parts: FxHashMap<u64, u32>,
}

impl PrefixMemory {
    /// Parts remembered for one upstream: 8 bytes each, and more than an engine keeps of 2,000
    /// tokens each in the largest memory that is planned.
    const CAPACITY: usize = 512;

    pub(crate) fn clear(&mut self) {
        self.order.clear();
        self.parts.clear();
    }

    /// Tokens at the beginning of the prompt that are likely to be kept.
    pub(crate) fn kept(&self, prompt: &Prompt) -> Tokens {
        let kept = prompt.parts.iter();
        kept.take_while(|part| self.parts.contains_key(&part.id))
            .map(|part| part.tokens)
            .sum()
    }

    pub(crate) fn note(&mut self, prompt: &Prompt) {
        for part in &prompt.parts {
            *self.parts.entry(part.id).or_default() += 1;
            self.order.push_back(part.id);
        }
        while self.order.len() > Self::CAPACITY {
            let Some(id) = self.order.pop_front() else {
                return;
            };
            if let Some(count) = self.parts.get_mut(&id) {
                *count -= 1;
                if *count == 0 {
                    self.parts.remove(&id);
                }
            }
        }
    }
}
