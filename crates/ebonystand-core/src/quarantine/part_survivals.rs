use super::*;

/// Parts of prompts on which upstreams have begun answers lately, as evidence that they do not end them.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartSurvivals {
    services: FxHashMap<ServiceId, FxHashMap<PromptPartId, Duration>>,

    count: usize,
}

impl PartSurvivals {
    /// Time for which a survival counts. It is short, as a part may begin to end upstreams that it did not end before.
    const LIFETIME: Duration = Duration::from_secs(3);
    /// Largest number of parts that are remembered.
    const MAX: usize = 4_096;

    pub(crate) fn record(&mut self, now: Duration, service: &str, parts: &[PromptPartId]) {
        if self.count + parts.len() > Self::MAX {
            self.remove_expired(now);
        }

        if !self.services.contains_key(service) {
            self.services.insert(service.into(), FxHashMap::default());
        }
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        for part in parts {
            if let Some(at) = known.get_mut(part) {
                *at = now;
            } else if self.count < Self::MAX {
                known.insert(*part, now);
                self.count += 1;
            }
        }
    }

    /// Returns whether upstreams of the service have begun any answers lately.
    pub(crate) fn has_any(&self, now: Duration, service: &str) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| known.values().any(|at| now < *at + Self::LIFETIME))
    }

    pub(crate) fn contains(&self, now: Duration, service: &str, part: PromptPartId) -> bool {
        let known = self.services.get(service);
        let at = known.and_then(|known| known.get(&part));
        at.is_some_and(|at| now < *at + Self::LIFETIME)
    }

    fn remove_expired(&mut self, now: Duration) {
        for known in self.services.values_mut() {
            known.retain(|_, at| now < *at + Self::LIFETIME);
        }
        self.services.retain(|_, known| !known.is_empty());
        self.count = self.services.values().map(FxHashMap::len).sum();
    }
}
