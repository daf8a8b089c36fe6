use super::*;

/// Message between the [`Quarantine`]s of two VMs.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineMessage {
    /// To the owner: may I run this suspect?
    #[serde(rename = "ask")]
    RequestPermit {
        /// The request.
        fingerprint: Fingerprint,
        /// Longest time that the run can take.
        limit: Duration,
        /// Run that it would be.
        run: RunId,
    },
    /// To the owner: the answer to an [`Self::RequestPermit`].
    Answer {
        /// The answer.
        permit: RunPermit,
        /// Run that was asked for.
        run: RunId,
    },
    /// To the owner: an upstream went down under this request.
    Crashed {
        /// The request.
        fingerprint: Fingerprint,
        /// Other runs of it are under way on the sender.
        is_running: bool,
        /// Run that ended.
        run: RunId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// To the owner: a run of a suspect ended well.
    Ended {
        /// The request.
        fingerprint: Fingerprint,
        /// Other runs of it are under way on the sender.
        is_running: bool,
        /// Run that ended.
        run: RunId,
    },
    /// To all VMs: refuse this request.
    Quarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// For how long.
        remaining: Duration,
    },
    /// To the reporter of a run's end: it is counted and, if it was a crash, all VMs that can be
    /// reached know of it.
    Recorded {
        /// Run that was reported.
        run: RunId,
    },
    /// To all VMs: ask before running this request.
    Suspected {
        /// The request.
        fingerprint: Fingerprint,
        /// For how long.
        remaining: Duration,
    },
    /// To the owner: I know of the suspect.
    #[serde(rename = "told")]
    Acknowledged {
        /// The request.
        fingerprint: Fingerprint,
        /// Runs of it are under way on the sender.
        is_running: bool,
    },
}
