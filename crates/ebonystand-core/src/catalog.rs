use super::*;

/// The configuration as a state machine: equal changes in equal order give equal catalogs on
/// every VM.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalog {
    document: Document,
    outcomes: BTreeMap<RequestId, ChangeOutcome>,
    recent: VecDeque<RequestId>,
}

impl Catalog {
    /// Outcomes that are remembered for resends. A resend that comes later meets a conflict,
    /// since each change but a withdrawal names the version it expects, so it never runs twice.
    pub const REMEMBERED: usize = 4_096;

    /// Applies a change; a resend gets the first outcome.
    pub fn apply(&mut self, req: &ChangeRequest) -> ChangeOutcome {
        if let Some(outcome) = self.outcomes.get(&req.request_id) {
            return outcome.clone();
        }
        let outcome = self.decide(req);
        self.remember(req.request_id.clone(), outcome.clone());
        outcome
    }

    /// The document in force.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Makes a change that the log's members have accepted, on a VM that is not one of them. Only
    /// the next version is taken: whether it was.
    pub fn follow(&mut self, accepted: &AcceptedChange) -> bool {
        if accepted.version != self.version() + 1 {
            return false;
        }
        self.document.make(accepted);
        true
    }

    /// Takes over a newer document as a whole; whether it was newer.
    pub fn install(&mut self, document: Document) -> bool {
        if document.version <= self.version() {
            return false;
        }
        self.document = document;
        true
    }

    /// Version in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.document.version
    }

    fn decide(&mut self, req: &ChangeRequest) -> ChangeOutcome {
        if !req.change.commutes() && req.expected_version != Some(self.version()) {
            return ChangeOutcome::Conflict {
                version: self.version(),
            };
        }
        let faults = self.document.faults_after(&req.change);
        if !faults.is_empty() {
            return ChangeOutcome::Refused { faults };
        }
        if self.document.has_already(&req.change) {
            return ChangeOutcome::Accepted {
                version: self.version(),
            };
        }
        let version = self.version() + 1;
        self.document.make(&AcceptedChange {
            change: req.change.clone(),
            version,
        });
        ChangeOutcome::Accepted { version }
    }

    fn remember(&mut self, id: RequestId, outcome: ChangeOutcome) {
        self.recent.push_back(id.clone());
        self.outcomes.insert(id, outcome);
        while self.recent.len() > Self::REMEMBERED {
            if let Some(oldest) = self.recent.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }
}
