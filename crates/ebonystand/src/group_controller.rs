use super::*;
use {
    ebonystand_core::{
        Command, CommandOutcome, LogPayload, LogSnapshot, MemberId, ProposalError, ProposalId,
        ReplicaInput, ReplicaMessage, ReplicaStatus, StateMachine,
    },
    ebonystand_wire::Proposed,
    group_thread::{GroupEvent, GroupThread, GroupView},
    node::Node,
    state_controller::StateController,
    std::collections::BTreeMap,
};

/// Brings commands to the replicated log, and what it commits to the state.
pub(crate) struct GroupController {
    /// Since when no command has got through.
    failing_since: Cell<Option<Duration>>,
    tried_at: Cell<Duration>,
    asked: RefCell<FxHashMap<u64, oneshot::Sender<Proposed>>>,
    leader: RefCell<Option<VmId>>,
    /// Number of the next proposal. The first one is random: an answer to a proposal of a former
    /// process reaches this one too.
    next: Cell<u64>,
    outcomes: RefCell<BTreeMap<u64, CommandOutcome>>,
    proposals: RefCell<FxHashMap<ProposalId, oneshot::Sender<Proposed>>>,
    status: RefCell<Option<ReplicaStatus>>,
    thread: Option<GroupThread>,
}

impl GroupController {
    const ANSWER: Duration = Duration::from_secs(2);
    /// Outcomes kept until the answers to their proposers come.
    const OUTCOMES: usize = 1_024;
    /// Time without a leader that an election explains.
    const ELECTION: Duration = Duration::from_secs(3);
    const PAUSE: Duration = Duration::from_millis(50);
    /// Time between two tries while no leader is reached.
    const TRY_EVERY: Duration = Duration::from_secs(1);
    /// Time after which a proposer is told that it does not know what became of its command.
    const TRY_FOR: Duration = Duration::from_secs(6);

    /// Creates the controller of a process; `first_id` is random.
    pub(crate) fn new(thread: Option<GroupThread>, first_id: u64) -> Self {
        Self {
            asked: RefCell::default(),
            failing_since: Cell::new(None),
            leader: RefCell::default(),
            next: Cell::new(first_id),
            outcomes: RefCell::default(),
            proposals: RefCell::default(),
            status: RefCell::default(),
            thread,
            tried_at: Cell::new(Duration::ZERO),
        }
    }

    /// Has a command ordered, and returns what became of it. It may be brought to the log more
    /// than once: each command names itself, so that the second time changes nothing.
    pub(crate) async fn propose(
        node: &Rc<Node>,
        command: Command,
    ) -> Result<CommandOutcome, Refusal> {
        let end = node.clock.now() + Self::TRY_FOR;
        let mut turn = 0;
        while node.clock.now() < end {
            node.group.tried_at.set(node.clock.now());
            let proposed = match Self::target(node, turn) {
                Some(vm) if vm == node.settings.vm => Self::propose_here(node, &command).await,
                Some(vm) => Self::ask(node, &vm, &command).await,
                None => Proposed::Nowhere,
            };
            match proposed {
                Proposed::Done(outcome) => {
                    node.group.failing_since.set(None);
                    return Ok(*outcome);
                }
                Proposed::Elsewhere(leader) => {
                    node.group.leader.replace(leader);
                }
                Proposed::Nowhere => {
                    node.group.leader.replace(None);
                    let since = node.group.failing_since.get();
                    let since = since.unwrap_or(node.clock.now());
                    node.group.failing_since.set(Some(since));
                }
            }
            turn += 1;
            actix_rt::time::sleep(Self::PAUSE).await;
        }
        Err(Refusal::possibly_run(
            RefusalCode::NotReady,
            "no leader answered; what was asked for may still come into force",
        )
        .with_retry_after(Duration::from_secs(1)))
    }

    /// Whether asking would be in vain: no command has got through for longer than an election
    /// takes, and the last try was just now. One request at a time still tries.
    pub(crate) fn out_of_reach(&self, now: Duration) -> bool {
        let failing = self.failing_since.get();
        let failing = failing.is_some_and(|since| now.saturating_sub(since) > Self::ELECTION);
        failing && now.saturating_sub(self.tried_at.get()) < Self::TRY_EVERY
    }

    /// Takes another VM's answer.
    pub(crate) fn answered(&self, id: u64, proposed: Proposed) {
        let tx = self.asked.borrow_mut().remove(&id);
        if let Some(tx) = tx {
            let _ = tx.send(proposed);
        }
    }

    /// Brings a command of another VM to the log.
    pub(crate) async fn propose_for(node: Rc<Node>, to: VmId, id: u64, command: Command) {
        if let Command::Change(req) = &command {
            log::info!(from:% = to, request:% = req.request_id; "change of another VM received");
        }
        let proposed = Box::new(Self::propose_here(&node, &command).await);
        node.send(&to, PeerMessage::Proposed { id, proposed });
    }

    pub(crate) fn receive(&self, from: MemberId, message: ReplicaMessage) {
        if let Some(thread) = &self.thread {
            thread.input(ReplicaInput::Message { from, message });
        }
    }

    /// Takes what the thread reports until the storage fails.
    pub(crate) async fn run(
        node: Rc<Node>,
        mut events: mpsc::UnboundedReceiver<GroupEvent>,
    ) -> Result {
        while let Some(event) = events.recv().await {
            match event {
                GroupEvent::Effects(effects, view) => {
                    for effect in effects {
                        Self::take(&node, effect)?;
                    }
                    Self::look(&node, *view);
                }
                GroupEvent::Failed(source) => return Err(Error::Storage { source }),
            }
        }
        Ok(())
    }

    pub(crate) fn status(&self) -> Option<ReplicaStatus> {
        self.status.borrow().clone()
    }

    async fn ask(node: &Rc<Node>, vm: &VmId, command: &Command) -> Proposed {
        let id = node.group.next_id();
        let (tx, rx) = oneshot::channel();
        node.group.asked.borrow_mut().insert(id, tx);
        let command = Box::new(command.clone());
        node.send(vm, PeerMessage::Propose { command, id });
        let answer = actix_rt::time::timeout(Self::ANSWER, rx).await;
        node.group.asked.borrow_mut().remove(&id);
        match answer {
            Ok(Ok(proposed)) => proposed,
            _ => Proposed::Nowhere,
        }
    }

    fn commit(node: &Rc<Node>, index: u64, command: &[u8]) -> Result {
        let command = postcard::from_bytes(command).context(error::Entry { index })?;
        let outcome = StateController::commit(node, &command);
        log::debug!(index = index, outcome:? = outcome; "committed");
        let mut outcomes = node.group.outcomes.borrow_mut();
        outcomes.insert(index, outcome);
        while outcomes.len() > Self::OUTCOMES {
            outcomes.pop_first();
        }
        Ok(())
    }

    fn install(node: &Rc<Node>, snapshot: &LogSnapshot) -> Result {
        if snapshot.state.is_empty() {
            return Ok(());
        }
        let index = snapshot.position.index;
        let machine = StateMachine::decode(&snapshot.state).context(error::Entry { index })?;
        log::info!(index = index; "state installed from a snapshot");
        StateController::install(node, machine);
        Ok(())
    }

    fn look(node: &Rc<Node>, view: GroupView) {
        let status = view.status;
        StateController::set_lease(node, view.lease_until);
        let leader = status.leader.as_ref().map(|leader| leader.vm.clone());
        if leader.is_some() {
            node.group.leader.replace(leader);
        }
        node.group.status.replace(Some(status));
    }

    fn next_id(&self) -> u64 {
        let id = self.next.get();
        self.next.set(id.wrapping_add(1));
        id
    }

    async fn propose_here(node: &Rc<Node>, command: &Command) -> Proposed {
        let Some(thread) = &node.group.thread else {
            return Proposed::Nowhere;
        };
        let Ok(command) = postcard::to_stdvec(command) else {
            return Proposed::Nowhere;
        };
        let id = node.group.next_id();
        let (tx, rx) = oneshot::channel();
        node.group.proposals.borrow_mut().insert(id, tx);
        thread.input(ReplicaInput::Propose {
            command: command.into(),
            id,
        });
        let answer = actix_rt::time::timeout(Self::ANSWER, rx).await;
        node.group.proposals.borrow_mut().remove(&id);
        match answer {
            Ok(Ok(proposed)) => proposed,
            _ => Proposed::Nowhere,
        }
    }

    fn proposed(&self, id: ProposalId, result: Result<u64, ProposalError>) {
        let tx = self.proposals.borrow_mut().remove(&id);
        let Some(tx) = tx else { return };
        let proposed = match result {
            Ok(index) => match self.outcomes.borrow_mut().remove(&index) {
                Some(outcome) => Proposed::Done(Box::new(outcome)),
                None => Proposed::Nowhere,
            },
            Err(ProposalError::NotLeader { leader }) => {
                Proposed::Elsewhere(leader.map(|leader| leader.vm))
            }
            Err(ProposalError::ChangeRefused | ProposalError::LeadershipLost) => Proposed::Nowhere,
        };
        let _ = tx.send(proposed);
    }

    fn take(node: &Rc<Node>, effect: GroupEffect) -> Result {
        match effect {
            GroupEffect::Commit { entry } => match &entry.payload {
                LogPayload::Command(command) => {
                    Self::commit(node, entry.position.index, command)?;
                }
                LogPayload::Members(members) => {
                    log::info!(members:? = members; "members of the group changed");
                }
                LogPayload::Noop => {}
            },
            GroupEffect::InstallSnapshot { snapshot } => Self::install(node, &snapshot)?,
            GroupEffect::Proposed { id, result } => node.group.proposed(id, result),
            GroupEffect::Readable { .. } => {}
            GroupEffect::Send { message, to } => {
                if let Some(thread) = &node.group.thread {
                    let from = thread.id().clone();
                    node.send(&to, PeerMessage::Replica { from, message });
                }
            }
            GroupEffect::TakeSnapshot { index } => {
                if let (Some(thread), Some(state)) = (&node.group.thread, node.state.snapshot()) {
                    thread.input(ReplicaInput::SnapshotTaken { index, state });
                }
            }
        }
        Ok(())
    }

    /// VM to bring a command to: the leader if it is known, else one member after another.
    fn target(node: &Node, turn: usize) -> Option<VmId> {
        if let Some(leader) = node.group.leader.borrow().clone() {
            return Some(leader);
        }
        let members = &node.settings.members;
        if members.is_empty() {
            return None;
        }
        Some(members[turn % members.len()].clone())
    }
}
