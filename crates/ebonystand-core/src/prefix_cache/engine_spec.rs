use super::*;

/// Cache size and transfer speed of a service's model engines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "struct EngineTerms")]
pub struct EngineSpec {
    /// Tokens that the cache of one engine holds.
    pub cache_tokens: Tokens,
    /// Tokens per event of a stream; 0 if unknown.
    pub event_tokens: u32,
    /// Bandwidth of an engine's link to other engines, in megabits per second; 0 if engines do not
    /// transfer their caches.
    pub link_mbps: u64,
    /// Bytes that a cached token takes on the link.
    pub token_bytes: u64,
}

impl EngineSpec {
    /// Time assumed for an import besides its transfer: a round trip and the set-up of a
    /// connection.
    const IMPORT_SETUP_TIME: Duration = Duration::from_millis(5);

    /// Returns the number of events of an answer with so many tokens; 0 if the tokens per event are
    /// unknown.
    #[must_use]
    pub fn event_count(&self, tokens: Tokens) -> u32 {
        let events = tokens.checked_div(u64::from(self.event_tokens));
        u32::try_from(events.unwrap_or(0)).unwrap_or(u32::MAX)
    }

    /// Returns the time that an engine takes to import `tokens` tokens from another one; `None` if
    /// engines do not transfer their caches. The transfer, without the set-up, takes twice as long
    /// between availability zones.
    #[must_use]
    pub fn import_time(&self, tokens: Tokens, same_zone: bool) -> Option<Duration> {
        if self.link_mbps == 0 || self.token_bytes == 0 {
            return None;
        }
        let bits = tokens as f64 * self.token_bytes as f64 * 8.0;
        let transfer = Duration::from_secs_f64(bits / (self.link_mbps as f64 * 1e6));
        let times = if same_zone { 1 } else { 2 };
        Some(Self::IMPORT_SETUP_TIME + transfer * times)
    }
}
