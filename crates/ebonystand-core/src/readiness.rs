use super::*;

/// State that decides when a VM that has started may serve requests.
#[derive(Clone, Debug)]
pub(crate) struct Readiness {
    /// Version that the log's leader last reported, if any.
    leader_version: Option<Version>,
    ready: bool,
    started: Duration,
}

impl Readiness {
    /// Updates the state, and returns whether the VM has just become ready. `has_newer` says
    /// whether a peer is known to have a newer version, and `leading` whether this VM leads the
    /// log.
    ///
    /// It is not enough that no such peer is known, since a peer that does not answer in time is
    /// forgotten.
    pub(crate) fn update(
        &mut self,
        now: Duration,
        version: Version,
        has_newer: bool,
        leading: bool,
    ) -> bool {
        let waited = now.saturating_sub(self.started) >= Feed::START_TIMEOUT;
        let confirmed = self.leader_version.is_some() || leading || waited;
        let caught_up =
            version > 0 && version >= self.leader_version.unwrap_or_default() && !has_newer;
        let becomes_ready = !self.ready && caught_up && confirmed;
        self.ready |= becomes_ready;
        becomes_ready
    }

    /// Records the version that a VM reports, if that VM leads the log.
    pub(crate) fn record_leader_version(&mut self, leading: bool, version: Version) {
        if leading {
            self.leader_version = Some(version);
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    pub(crate) fn new(started: Duration) -> Self {
        Self {
            leader_version: None,
            ready: false,
            started,
        }
    }
}
