use {super::*, std::collections::VecDeque};

/// Requests that upstreams have survived lately, as evidence that they do not crash them.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Survivals {
    /// Fingerprints in the order of the ends of their runs.
    recent: VecDeque<(Duration, Fingerprint)>,
}

impl Survivals {
    /// Time for which a survival counts. It is short, as a new release of the service may crash under
    /// a request that the one before survived.
    const LIFETIME: Duration = Duration::from_secs(10);
    /// Largest number of runs that are remembered.
    const MAX: usize = 4_096;

    pub(crate) fn record(&mut self, now: Duration, fingerprint: Fingerprint) {
        if self.recent.len() == Self::MAX {
            self.recent.pop_front();
        }
        self.recent.push_back((now, fingerprint));
    }

    pub(crate) fn contains(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let recent = self.recent.iter().rev();
        let mut recent = recent.take_while(|(at, _)| now.saturating_sub(*at) < Self::LIFETIME);
        recent.any(|(_, survived)| *survived == fingerprint)
    }
}
