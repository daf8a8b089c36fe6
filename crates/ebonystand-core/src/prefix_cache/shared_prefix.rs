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
    /// Shortest beginning that is kept account of: shorter ones are read in the time that an import takes
    /// to be set up.
    const SHORTEST: Tokens = 1_000;

    /// All beginnings of a prompt that are worth importing, the longest first.
    ///
    /// The name covers the model, the parts in their order and the regions that may serve the request: what
    /// was read for a workspace that is bound to some regions is not handed to one that is not, or it
    /// would be stored outside of them.
    #[must_use]
    pub fn of(prompt: &Prompt, homes: Option<&BTreeSet<RegionId>>) -> Vec<Self> {
        let Some((_, shared)) = prompt.parts.split_last() else {
            return Vec::new();
        };
        let mut hasher = Xxh3::new();
        hasher.update(prompt.model.as_bytes());
        for home in homes.into_iter().flatten() {
            hasher.update(&[0]);
            hasher.update(home.as_bytes());
        }
        let mut tokens = 0;
        let prefixes = shared.iter().map(|part| {
            hasher.update(&part.id.to_le_bytes());
            tokens += part.tokens;
            let id = hasher.digest();
            Self { id, tokens }
        });
        let mut prefixes = prefixes.collect::<Vec<_>>();
        prefixes.retain(|prefix| prefix.tokens >= Self::SHORTEST);
        prefixes.reverse();
        prefixes
    }
}
