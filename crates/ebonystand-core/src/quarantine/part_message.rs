use super::*;

/// Message between the [`PartQuarantine`]s of two VMs. The counters of a service are the VMs that rendezvous hashing of
/// its name selects: one of all, its owner, and one of the region of the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PartMessage {
    /// Confirmation that the sender has recorded an [`Self::Announced`].
    Acknowledged {
        /// Parts that were announced, with their stages and the numbers of the announcements.
        parts: Vec<(PromptPartId, PartStage, u16)>,
        /// Service whose upstreams run the parts.
        service: ServiceId,
    },
    /// Announcement to all VMs of what they must do about parts.
    Announced {
        /// Parts of prompts.
        parts: Vec<AnnouncedPart>,
        /// Service whose upstreams run the parts.
        service: ServiceId,
    },
    /// Report to the counters that an upstream went down under runs that had not begun to answer.
    Lost {
        /// Whether the sender has seen upstreams of the service begin answers lately, on prompts without these parts.
        others_survive: bool,
        /// Number of the report, unique on the sender.
        report: u64,
        /// Runs that were lost with the upstream.
        runs: Vec<LostRun>,
        /// Service of the upstream.
        service: ServiceId,
        /// Upstream that went down.
        upstream: UpstreamId,
    },
    /// Confirmation that the sender has counted an [`Self::Lost`].
    Recorded {
        /// Number of the report.
        report: u64,
    },
    /// Report to the counters that a request which has ended upstreams comes again, with a quarantined part.
    Repeated {
        /// Quarantined part of its prompt.
        part: PromptPartId,
        /// Service that is to run it.
        service: ServiceId,
    },
    /// Request to the owner to run a prompt that has suspected parts.
    RequestTrial {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Parts of the prompt that the sender knows as suspects.
        parts: Vec<PromptPartId>,
        /// Request, the same on each VM that it passes.
        request: u64,
        /// Service that is to run it.
        service: ServiceId,
    },
    /// Tells the owner that a trial has ended without running.
    Returned {
        /// Request that was to run.
        request: u64,
        /// Service that was to run it.
        service: ServiceId,
    },
    /// Report to the counters that an upstream has begun an answer on prompts with these suspects.
    Survived {
        /// Suspected or quarantined parts.
        parts: Vec<PromptPartId>,
        /// Service of the upstream.
        service: ServiceId,
    },
    /// Owner's permission, in answer to [`Self::RequestTrial`].
    TrialGranted {
        /// Request that may run.
        request: u64,
    },
}

/// What VMs must do about a part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncedPart {
    /// Number of the announcement, which the acknowledgement repeats.
    pub announcement: u16,
    /// Upstreams that went down under a part that is or was quarantined.
    pub explained: Vec<UpstreamId>,
    /// Requests that were lost under a part until it was quarantined. Their trials would not test the verdict.
    pub lost_requests: Vec<Fingerprint>,
    /// Part of prompts.
    pub part: PromptPartId,
    /// Time until the entry expires.
    pub remaining: Duration,
    /// What the VMs must do.
    pub stage: PartStage,
    /// Times that the part was quarantined since it was last cleared, as far as the announcing VM knows.
    pub verdicts: u8,
}

/// Run that was lost with its upstream before it had begun to answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostRun {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the owner had permitted the run as a trial.
    pub is_trial: bool,
    /// Shared parts of its prompt, in the order of the prompt. A report leaves out those that an upstream has begun an answer
    /// on lately.
    pub parts: Vec<PromptPartId>,
}
