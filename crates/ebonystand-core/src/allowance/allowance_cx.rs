use super::*;

/// What the workspaces of one [`Allowance`] share.
#[derive(Debug)]
pub(crate) struct AllowanceCx {
    pub(crate) draining: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) outbox: BTreeMap<VmId, AllowanceMessage>,
    pub(crate) outputs: Vec<AllowanceOutput>,
    /// Longest one-way delay from this VM's region to another.
    pub(crate) reach: Duration,
    sequence: u64,
    pub(crate) vm: VmId,
}

impl AllowanceCx {
    pub(crate) fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            draining: false,
            incarnation,
            outbox: BTreeMap::new(),
            outputs: Vec::new(),
            reach: Duration::ZERO,
            sequence: 0,
            vm,
        }
    }

    /// Number that this start has not used yet.
    pub(crate) fn next(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Adds to the message for `to`.
    pub(crate) fn send(&mut self, to: &VmId, workspace: &WorkspaceId, action: AllowanceAction) {
        let item = AllowanceItem {
            action,
            workspace: workspace.clone(),
        };
        match self.outbox.get_mut(to) {
            Some(message) => message.items.push(item),
            None => {
                let items = vec![item];
                self.outbox.insert(to.clone(), AllowanceMessage { items });
            }
        }
    }

    /// Everything to be done, one message for each VM.
    pub(crate) fn take_outputs(&mut self) -> Vec<AllowanceOutput> {
        let mut outputs = std::mem::take(&mut self.outputs);
        let outbox = std::mem::take(&mut self.outbox);
        outputs.extend(
            outbox
                .into_iter()
                .map(|(to, message)| AllowanceOutput::Send { message, to }),
        );
        outputs
    }

    /// Time that a lender waits for the leases it called back.
    pub(crate) fn recall_wait(&self) -> Duration {
        LeaseTerms::ANSWER + self.reach * 2
    }

    /// Longest time that a request waits: one round with the own holder, one with the others.
    pub(crate) fn ticket_wait(&self) -> Duration {
        (LeaseTerms::ANSWER + LeaseTerms::CLAIM) * 2 + self.reach * 2
    }
}
