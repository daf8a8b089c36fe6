use super::*;

/// A beginning of a prompt that other prompts share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPrefix {
    /// Its name.
    pub id: PrefixId,
    /// Its length.
    pub tokens: Tokens,
}

impl SharedPrefix {
    /// All beginnings of a prompt that others share, the longest first. A name covers the model and the parts in
    /// their order: an engine uses what it keeps of a part only after all parts before it.
    #[must_use]
    pub fn of(prompt: &Prompt) -> Vec<Self> {
        let Some((_, shared)) = prompt.parts.split_last() else {
            return Vec::new();
        };
        let mut hasher = Xxh3::new();
        hasher.update(prompt.model.as_bytes());
        let mut tokens = 0;
        let prefixes = shared.iter().map(|part| {
            hasher.update(&part.id.to_le_bytes());
            tokens += part.tokens;
            let id = hasher.digest();
            Self { id, tokens }
        });
        let mut prefixes = prefixes.collect::<Vec<_>>();
        prefixes.reverse();
        prefixes
    }
}
