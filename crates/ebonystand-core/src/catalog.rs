use super::*;

/// State machine of the configuration. The same changes in the same order give equal catalogs on
/// every VM.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalog {
    document: Document,
    outcomes: BTreeMap<RequestId, ChangeOutcome>,
    recent: VecDeque<RequestId>,
    /// Encoded by [`StateMachine::encode`], as snapshots of older builds lack it.
    #[serde(skip)]
    pub(crate) evacuation_versions: EvacuationVersions,
}

impl Catalog {
    /// Maximum number of outcomes remembered for resends. A later resend ends in a conflict and is
    /// not applied twice, since each change but a withdrawal names the version it expects.
    pub const MAX_OUTCOMES: usize = 4_096;

    /// Applies a request and returns its outcome; a resend gets the first outcome.
    pub fn apply(&mut self, req: &ChangeRequest) -> ChangeOutcome {
        if let Some(outcome) = self.outcomes.get(&req.request_id) {
            return outcome.clone();
        }
        let outcome = self.apply_new(req);
        self.record_outcome(req.request_id.clone(), outcome.clone());
        outcome
    }

    /// Returns the document in force.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Applies a change that the log has accepted, on a VM that is not a member of the log. Only a
    /// change that makes the next version is applied; returns whether it was.
    pub fn apply_accepted(&mut self, accepted: &AcceptedChange) -> bool {
        if accepted.version != self.version() + 1 {
            return false;
        }
        self.document.apply(accepted);
        true
    }

    /// Replaces the whole document with a newer one; returns whether it was newer.
    pub fn install_document(&mut self, document: Document) -> bool {
        if document.version <= self.version() {
            return false;
        }
        self.document = document;
        true
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.document.version
    }

    /// Checks and applies a request that has no outcome yet.
    fn apply_new(&mut self, req: &ChangeRequest) -> ChangeOutcome {
        if self.is_outdated(req) {
            return ChangeOutcome::Conflict {
                version: self.version(),
            };
        }
        let faults = self.document.faults_after(&req.change);
        if !faults.is_empty() {
            return ChangeOutcome::Refused { faults };
        }
        let zone = req.evacuation_zone();
        if zone.is_none() && self.document.is_no_op(&req.change) {
            return ChangeOutcome::Accepted {
                version: self.version(),
            };
        }
        let version = self.version() + 1;
        if let Some(zone) = zone {
            self.evacuation_versions.record(zone.clone(), version);
        }
        self.document.apply(&AcceptedChange {
            change: req.change.clone(),
            version,
        });
        ChangeOutcome::Accepted { version }
    }

    /// Returns whether a change since the version that the request is based on makes it a conflict.
    /// Only changes of the same zone's evacuation conflict with a change of an evacuation.
    fn is_outdated(&self, req: &ChangeRequest) -> bool {
        match (req.evacuation_zone(), req.expected_version) {
            (Some(zone), Some(expected)) => self.evacuation_versions.last_version(zone) > expected,
            // Log entries of older builds base a change of an evacuation on no version.
            _ if matches!(req.change, Change::SetEvacuated { .. }) => false,
            (_, expected) => !req.change.commutes() && expected != Some(self.version()),
        }
    }

    /// Remembers an outcome for resends, and forgets the oldest one beyond
    /// [`Catalog::MAX_OUTCOMES`].
    fn record_outcome(&mut self, id: RequestId, outcome: ChangeOutcome) {
        self.recent.push_back(id.clone());
        self.outcomes.insert(id, outcome);
        while self.recent.len() > Self::MAX_OUTCOMES {
            if let Some(oldest) = self.recent.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }
}
