use super::*;

/// Size and structure of a prompt, as declared by a request for a model engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prompt {
    /// Prompt length in tokens.
    pub input: Tokens,
    /// Model that the request asks for.
    pub model: ModelId,
    /// Most tokens that the answer may have.
    pub output: Tokens,
    /// Parts of the prompt in order; the last one belongs to this request or session alone.
    pub parts: Vec<PromptPart>,
}

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Identifier of the part, equal in all requests that share it.
    pub id: PromptPartId,
    /// Length of the part in tokens.
    pub tokens: Tokens,
}

impl Prompt {
    /// Largest number of shared parts that are looked at one by one.
    const MAX_SHARED_PARTS: usize = 64;

    /// Returns the hash of the last shared part, by which all VMs assign the prompt to the same
    /// engine; `None` if no part is shared. Earlier parts are shared by more requests, often by all
    /// of a kind, and would assign all of these to one engine. Such parts are short and soon cached
    /// by every engine.
    #[must_use]
    pub fn placement_hash(&self) -> Option<u64> {
        let shared = self.parts.split_last()?.1;
        let last = shared.last()?;
        Some(xxh3_64(&last.id.to_le_bytes()))
    }

    /// Returns the identifiers of the shared parts: all but the last, which belongs to the request alone.
    #[must_use]
    pub fn shared_part_ids(&self) -> Box<[PromptPartId]> {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let shared = shared.iter().take(Self::MAX_SHARED_PARTS);
        shared.map(|part| part.id).collect()
    }

    /// Returns the length of the shared parts in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> Tokens {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let tokens = shared.iter().map(|part| part.tokens);
        let tokens = tokens.fold(0, Tokens::saturating_add);
        tokens.min(self.input)
    }

    /// Returns the length of the prompt without its shared parts in tokens.
    #[must_use]
    pub fn own_tokens(&self) -> Tokens {
        self.input - self.shared_tokens()
    }

    /// Returns the tokens of the prompt plus the most tokens of its answer.
    #[must_use]
    pub fn max_total_tokens(&self) -> Tokens {
        self.input.saturating_add(self.output)
    }
}
