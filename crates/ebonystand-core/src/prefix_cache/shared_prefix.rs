use super::*;

/// Prefix of a prompt that other prompts share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPrefix {
    /// Hash of the model and the parts that make up the prefix.
    pub id: PrefixId,
    /// Length of the prefix in tokens.
    pub tokens: Tokens,
}

impl SharedPrefix {
    /// Returns all shared prefixes of a prompt, the longest first. The hash covers the model and
    /// the parts in their order, because an engine can use a cached part only after all parts
    /// before it.
    #[must_use]
    pub fn list_in(prompt: &Prompt) -> Vec<Self> {
        let Some((_, shared)) = prompt.parts.split_last() else {
            return Vec::new();
        };
        let mut hasher = Xxh3::new();
        hasher.update(prompt.model.as_bytes());
        let mut tokens: Tokens = 0;
        let prefixes = shared.iter().map(|part| {
            hasher.update(&part.id.to_le_bytes());
            tokens = tokens.saturating_add(part.tokens);
            let id = hasher.digest();
            Self { id, tokens }
        });
        let mut prefixes = prefixes.collect::<Vec<_>>();
        prefixes.reverse();
        prefixes
    }
}
