use super::*;

/// Message between the [`Quarantine`]s of two VMs. The owner of a request is the VM that rendezvous
/// hashing of its fingerprint selects.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineMessage {
    /// Request to the owner for a permit to run a suspect.
    #[serde(rename = "ask")]
    RequestPermit {
        /// Fingerprint of the suspect request.
        fingerprint: Fingerprint,
        /// Longest time that the run can take once it has started.
        limit: Duration,
        /// Id that the sender allocated for the run.
        run: RunId,
    },
    /// Owner's reply to a [`Self::RequestPermit`].
    Answer {
        /// Whether the run may start.
        permit: RunPermit,
        /// Run that the permit was requested for.
        run: RunId,
    },
    /// Announcement to all VMs of what they must do about a request.
    Announced {
        /// Number of the announcement, which the acknowledgement repeats.
        announcement: u64,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Time until the entry expires.
        remaining: Duration,
        /// What the VMs must do.
        stage: SuspectStage,
    },
    /// Report to a VM that counts the crashes of the request: an upstream went down while it ran it.
    Crashed {
        /// Fingerprint of the request that was running.
        fingerprint: Fingerprint,
        /// Whether other runs of the request are in progress on the sender, or have crashed without
        /// the owner's confirmation.
        is_running: bool,
        /// Rule by which the crash counts.
        rule: CrashRule,
        /// Run that ended with the crash.
        run: RunId,
        /// Upstream that went down.
        upstream: UpstreamId,
    },
    /// Report to the owner that a run of a suspect ended without a crash.
    Ended {
        /// Fingerprint of the suspect request.
        fingerprint: Fingerprint,
        /// Whether other runs of the request are in progress on the sender, or have crashed without
        /// the owner's confirmation.
        is_running: bool,
        /// Run that ended.
        run: RunId,
    },
    /// Owner's confirmation to the reporter of a run's end: the report is counted and, after a
    /// crash, every reachable VM knows of it.
    Recorded {
        /// Run whose end was reported.
        run: RunId,
    },
    /// Report to a VM that counts the crashes of the request: an upstream has survived a run.
    Survived {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Id that the sender allocated for the report.
        run: RunId,
    },
    /// Confirmation that the sender has recorded an [`Self::Announced`].
    #[serde(rename = "told")]
    Acknowledged {
        /// Number of the announcement, copied from it.
        announcement: u64,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Whether runs of the request are in progress on the sender, or have crashed without the
        /// owner's confirmation.
        is_running: bool,
        /// Stage that was announced.
        stage: SuspectStage,
    },
}
