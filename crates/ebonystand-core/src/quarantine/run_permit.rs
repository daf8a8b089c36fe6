use super::*;

/// Owner's reply to a VM that requests to run a suspect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunPermit {
    /// The VM may start the run. No other run is granted until this one ends.
    Granted,
    /// The request is quarantined and must not run.
    Quarantined {
        /// Time until the quarantine entry expires.
        remaining: Duration,
    },
    /// No run can be granted now: another run is in progress, or not all VMs know of the last crash
    /// yet.
    Wait {
        /// Time to wait before the next permit request.
        retry_after: Duration,
    },
}
