use super::*;

/// What a request for a model engine says of its prompt.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: Tokens,
    /// Model that is asked for.
    pub model: ModelId,
    /// Most tokens of the answer.
    pub output: Tokens,
    /// Parts of the prompt in their order; the last one is the request's or session's own.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Equal in all requests that share the part.
    pub id: u64,
    /// Its length.
    pub tokens: Tokens,
}

impl Prompt {
    /// Hash of the last part that other requests share, on which all VMs place the prompt; none if
    /// it shares nothing. Parts before it are shared by more requests, often by all of a kind: placed
    /// by the first one, they would all meet at one engine. Those parts are short and soon kept
    /// everywhere.
    #[must_use]
    pub fn shared(&self) -> Option<u64> {
        let shared = self.parts.split_last()?.1;
        let last = shared.last()?;
        Some(xxh3_64(&last.id.to_le_bytes()))
    }

    /// Tokens of the parts that other requests share.
    #[must_use]
    pub fn shared_tokens(&self) -> Tokens {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let tokens: Tokens = shared.iter().map(|part| part.tokens).sum();
        tokens.min(self.input)
    }

    /// Prompt and most output together.
    #[must_use]
    pub fn tokens(&self) -> Tokens {
        self.input.saturating_add(self.output)
    }
}
