//! Limits that upstreams name in their answers.

use super::*;

impl UpstreamBook {
    /// Records the limit that an answer of an upstream names to a request sent at `sent_at`, or that
    /// it names none, and returns whether that changes the limit in force.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was last
    /// named: it may have overtaken or been overtaken by another answer.
    pub fn record_limit(
        &mut self,
        now: Duration,
        instance: &str,
        sent_at: Duration,
        limit: Option<UpstreamLimit>,
    ) -> bool {
        let Some(known) = self.upstreams.get_mut(instance) else {
            return false;
        };
        let before = known.limit;
        if let Some(limit) = limit {
            let named_at = now;
            known.limit = Some(NamedLimit { limit, named_at });
        } else if before.is_some_and(|named| sent_at >= named.named_at) {
            known.limit = None;
        }
        known.limit.map(|named| named.limit) != before.map(|named| named.limit)
    }
}
