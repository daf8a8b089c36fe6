use super::*;

/// State shared by all workspaces of one [`Allowance`]: identity of the VM, sequence numbers and
/// pending outputs.
#[derive(Debug)]
pub(crate) struct AllowanceCx {
    pub(crate) draining: bool,
    pub(crate) incarnation: Incarnation,
    /// Pending message for each VM.
    pub(crate) outbox: BTreeMap<VmId, AllowanceMessage>,
    /// Pending outputs other than messages.
    pub(crate) outputs: Vec<AllowanceOutput>,
    /// Largest one-way delay from this VM's region to another.
    pub(crate) max_link_delay: Duration,
    /// Last sequence number handed out.
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
            max_link_delay: Duration::ZERO,
            sequence: 0,
            vm,
        }
    }

    /// Returns a sequence number that is unique within this start of the VM and larger than all
    /// before.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Appends an item to the pending message for `to`.
    pub(crate) fn queue_item(
        &mut self,
        to: &VmId,
        workspace: &WorkspaceId,
        action: AllowanceAction,
    ) {
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

    /// Takes all pending outputs, with one message for each VM.
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

    /// Time that a lender waits for the borrowers' answers to a recall.
    pub(crate) fn recall_timeout(&self) -> Duration {
        LeaseTerms::ANSWER_MARGIN + self.max_link_delay * 2
    }

    /// Longest time that a request waits for tokens: a round with the own region's holder, then one
    /// with all others.
    pub(crate) fn ticket_timeout(&self) -> Duration {
        (LeaseTerms::ANSWER_MARGIN + LeaseTerms::MAX_CLAIM_WAIT) * 2 + self.max_link_delay * 2
    }
}
