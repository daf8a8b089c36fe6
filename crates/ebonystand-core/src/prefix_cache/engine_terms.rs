use super::*;

/// What a service's engines keep, and how they hand it to one another.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineTerms {
    /// Tokens that one engine's memory holds.
    pub cache_tokens: Tokens,
    /// Tokens that an event of a stream holds; 0 if that is not known.
    pub event_tokens: u32,
    /// Megabits a second of an engine's link to the others; 0 if they hand nothing over.
    pub link_mbps: u64,
    /// Bytes that a token takes on it.
    pub token_bytes: u64,
}

impl EngineTerms {
    /// Time assumed for an import beside its transfer: a round trip and the set-up of a connection.
    const SET_UP: Duration = Duration::from_millis(5);

    /// Events of an answer of so many tokens.
    #[must_use]
    pub fn events(&self, tokens: Tokens) -> u32 {
        let events = tokens.checked_div(u64::from(self.event_tokens));
        u32::try_from(events.unwrap_or(0)).unwrap_or(u32::MAX)
    }

    /// Time in which an engine imports so many tokens from another one; `None` if engines hand nothing
    /// over. Between availability zones it takes twice as long.
    #[must_use]
    pub fn import_time(&self, tokens: Tokens, same_zone: bool) -> Option<Duration> {
        if self.link_mbps == 0 || self.token_bytes == 0 {
            return None;
        }
        let bits = tokens as f64 * self.token_bytes as f64 * 8.0;
        let transfer = Duration::from_secs_f64(bits / (self.link_mbps as f64 * 1e6));
        let times = if same_zone { 1 } else { 2 };
        Some(Self::SET_UP + transfer * times)
    }
}
