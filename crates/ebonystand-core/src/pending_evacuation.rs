use super::*;

/// Request to start or end an evacuation that a VM has read and that is not accepted yet.
///
/// The request names no revision, so a copy that its caller has given up on looks like a new
/// request. One that is read before its caller gives up is proposed on the version in force at that
/// time: whatever the caller has acknowledged elsewhere afterwards makes it a conflict, however long
/// the proposal takes. One that may have waited in the socket of a process that did not run is
/// refused, and so is one whose caller has closed its connection.
#[derive(Clone, Debug)]
pub struct PendingEvacuation {
    base: Version,
    read_at: Duration,
}

/// Reason why a VM does not propose a request to start or end an evacuation.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum EvacuationError {
    /// The VM did not run until just now, so the request may be older than its caller's patience.
    #[snafu(display("this VM stood still, and the request may have waited meanwhile"))]
    AfterStall,
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
    /// Time after it was read for which a request is proposed. A caller that a stall was too short
    /// to be noticed by still waits then, so that a conflict may move the base on.
    const PROPOSAL_TIME: Duration = Self::CALLER_TIMEOUT.saturating_sub(StallWatch::MAX_GAP);

    /// Creates a request that was read at `now` by a VM with `version` in force. `may_have_waited` is
    /// that of the [`StallWatch`].
    ///
    /// # Errors
    /// [`EvacuationError::AfterStall`] if the caller may have given up before the request was read.
    pub fn new(
        now: Duration,
        version: Version,
        may_have_waited: bool,
    ) -> Result<Self, EvacuationError> {
        if may_have_waited {
            return Err(EvacuationError::AfterStall);
        }
        Ok(Self {
            base: version,
            read_at: now,
        })
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
        if age >= Self::PROPOSAL_TIME {
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
