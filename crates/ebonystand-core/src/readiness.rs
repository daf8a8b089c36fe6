use super::*;

/// Whether a VM that started may serve.
#[derive(Clone, Debug)]
pub(crate) struct Readiness {
    /// Version that the log's leader has told last; none if it has told none.
    leader: Option<Version>,
    ready: bool,
    started: Duration,
}

impl Readiness {
    /// Takes what is known now; whether the VM has just become ready. `has_newer` tells whether a
    /// peer is known to have a newer version.
    ///
    /// That no such peer is known is not enough: one that does not answer in time is forgotten.
    pub(crate) fn check(
        &mut self,
        now: Duration,
        version: Version,
        has_newer: bool,
        leading: bool,
    ) -> bool {
        let waited = now.saturating_sub(self.started) >= Feed::START_WAIT;
        let confirmed = self.leader.is_some() || leading || waited;
        let caught_up = version > 0 && version >= self.leader.unwrap_or_default() && !has_newer;
        let becomes_ready = !self.ready && caught_up && confirmed;
        self.ready |= becomes_ready;
        becomes_ready
    }

    /// Notes the version of a VM that leads the log or not.
    pub(crate) fn heard(&mut self, leading: bool, version: Version) {
        if leading {
            self.leader = Some(version);
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    pub(crate) fn new(started: Duration) -> Self {
        Self {
            leader: None,
            ready: false,
            started,
        }
    }
}
