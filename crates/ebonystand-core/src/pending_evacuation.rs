use super::*;

/// Request to start or end an evacuation that a VM has read and that is not accepted yet.
///
/// The request names no revision, so a copy that its caller has given up on looks like a new
/// request. It is proposed only while its caller waits, and only on the version that was in force
/// on the VM while the caller was last seen waiting: whatever is acknowledged after that makes it a
/// conflict.
#[derive(Clone, Debug)]
pub struct PendingEvacuation {
    base: Version,
    read_at: Duration,
}

/// Reason why a VM does not propose a request to start or end an evacuation.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum EvacuationError {
    /// The caller has closed its connection.
    #[snafu(display("the caller has closed its connection"))]
    CallerLeft,
    /// The caller has turned to another VM by now, even if its connection still looks open.
    #[snafu(display("the request was read {} ms ago", age.as_millis()))]
    Expired {
        /// Time since the VM read the request.
        age: Duration,
    },
}

impl PendingEvacuation {
    /// Time after which callers give up on a request and send it to another VM.
    pub const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

    /// Creates a request that was read at `now` by a VM with `version` in force.
    #[must_use]
    pub fn new(now: Duration, version: Version) -> Self {
        Self {
            base: version,
            read_at: now,
        }
    }

    /// Returns the version to propose the request on. `is_caller_connected` must have been found out
    /// after the request was read, and again after each conflict.
    ///
    /// # Errors
    /// [`EvacuationError`] if the request must not be proposed any more.
    pub fn base_version(
        &self,
        now: Duration,
        is_caller_connected: bool,
    ) -> Result<Version, EvacuationError> {
        if !is_caller_connected {
            return Err(EvacuationError::CallerLeft);
        }
        let age = now.saturating_sub(self.read_at);
        if age >= Self::CALLER_TIMEOUT {
            return Err(EvacuationError::Expired { age });
        }
        Ok(self.base)
    }

    /// Records that the zone's evacuation was changed since the base version. `version` is the one
    /// that the conflict reports.
    pub fn record_conflict(&mut self, version: Version) {
        self.base = self.base.max(version);
    }
}
