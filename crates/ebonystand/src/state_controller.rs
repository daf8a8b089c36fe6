use super::*;
use {
    allowance_controller::AllowanceController,
    caller::Caller,
    ebonystand_core::{
        AcceptedChange, Change, Command, CommandOutcome, Feed, FeedInput, FeedOutput, StateMachine,
    },
    gateway::GatewayController,
    group_controller::GroupController,
    node::Node,
};

/// Holds the state that the log makes, or a copy of its configuration, and passes it on.
pub(crate) struct StateController {
    feed: RefCell<Feed>,
    keys: RefCell<FxHashMap<KeyHash, KeyId>>,
    leading: Cell<bool>,
    lease_until: Cell<Option<Duration>>,
    machine: RefCell<StateMachine>,
}

impl StateController {
    const PRUNE_EVERY: Duration = Duration::from_secs(60);

    /// Who holds the key with this hash, if it is valid now.
    pub(crate) fn caller(&self, hash: &KeyHash) -> Option<Caller> {
        let keys = self.keys.borrow();
        let id = keys.get(hash)?;
        let document = self.document();
        let key = document.keys.get(id)?;
        if !self.key_valid(id) || !authenticate::same(&key.hash, hash) {
            return None;
        }
        Some(Caller {
            key: id.clone(),
            workspace: key.workspace.clone(),
        })
    }

    /// Applies a command that the log has committed.
    pub(crate) fn commit(node: &Rc<Node>, command: &Command) -> CommandOutcome {
        let before = node.document().version;
        let outcome = node.state.machine.borrow_mut().apply(command);
        let version = node.document().version;
        if let Command::Change(ChangeRequest {
            change: Change::SetEvacuated { evacuated, zone },
            expected_version,
            request_id,
        }) = command
        {
            log::info!(
                zone:% = zone, evacuated = *evacuated, request:% = request_id,
                expected:? = expected_version, outcome:? = outcome, version = version;
                "change of an evacuation committed"
            );
        }
        if let (Command::Change(req), true) = (command, version > before) {
            Self::changed(node, Some(&req.change), None);
            let change = AcceptedChange {
                change: req.change.clone(),
                version,
            };
            Self::step(node, FeedInput::Committed { change });
        }
        outcome
    }

    /// The configuration in force. Not to be held while waiting.
    pub(crate) fn document(&self) -> Ref<'_, Document> {
        Ref::map(self.machine.borrow(), |machine| {
            machine.catalog().document()
        })
    }

    /// Takes over the state of a snapshot.
    pub(crate) fn install(node: &Rc<Node>, machine: StateMachine) {
        node.state.machine.replace(machine);
        Self::changed(node, None, None);
    }

    pub(crate) fn key_valid(&self, id: &KeyId) -> bool {
        let document = self.document();
        let in_force = document.keys.get(id).is_some_and(|key| !key.withdrawn);
        in_force && !self.feed.borrow().withdrawals().contains(id)
    }

    pub(crate) fn new(vm: VmId, members: Vec<VmId>, now: Duration, seed: u64) -> Self {
        Self {
            feed: RefCell::new(Feed::new(vm, members, now, seed)),
            keys: RefCell::default(),
            leading: Cell::new(false),
            lease_until: Cell::new(None),
            machine: RefCell::default(),
        }
    }

    /// Whether the VM may serve.
    pub(crate) fn ready(&self) -> bool {
        self.feed.borrow().is_ready()
    }

    /// Lets time pass until the task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        loop {
            Self::step(&node, FeedInput::Tick);
            let deadline = node.state.feed.borrow().deadline();
            let wait = deadline.saturating_sub(node.clock.now());
            actix_rt::time::sleep(wait).await;
        }
    }

    /// Has old orders forgotten, while this VM leads, until the task is dropped.
    pub(crate) async fn run_prune(node: Rc<Node>) {
        loop {
            actix_rt::time::sleep(Self::PRUNE_EVERY).await;
            let at = node.clock.wall().as_secs();
            let due = node.state.machine.borrow().orders().prune_command(at);
            let Some(command) = due.filter(|_| node.state.leads(node.clock.now())) else {
                continue;
            };
            if let Err(refusal) = GroupController::propose(&node, Command::Order(command)).await {
                log::warn!(refusal:% = refusal; "old orders are not forgotten yet");
            }
        }
    }

    /// Notes until when this VM may act as the log's leader.
    pub(crate) fn set_lease(node: &Rc<Node>, until: Option<Duration>) {
        node.state.lease_until.set(until);
        Self::look_at_lease(node);
    }

    /// The state, encoded.
    pub(crate) fn snapshot(&self) -> Option<Bytes> {
        match self.machine.borrow().encode() {
            Ok(bytes) => Some(bytes.into()),
            Err(error) => {
                log::error!(error:% = error; "the state cannot be encoded");
                None
            }
        }
    }

    pub(crate) fn step(node: &Rc<Node>, input: FeedInput) {
        Self::look_at_lease(node);
        Self::step_feed(node, input);
    }

    /// Compares the lease with the clock before each act. A process that was stopped and goes on
    /// handles what has come first: by a flag it would still take itself for the leader, and
    /// confirm an old version to a VM that starts.
    fn look_at_lease(node: &Rc<Node>) {
        let leading = node.state.leads(node.clock.now());
        if node.state.leading.replace(leading) != leading {
            Self::step_feed(node, FeedInput::Leading { leading });
            if leading {
                GatewayController::tell_leading(node);
            }
        }
    }

    /// Whether this VM leads the log now, and the version in force on it.
    pub(crate) fn leads_at(&self, node: &Node) -> (bool, Version) {
        (self.leads(node.clock.now()), self.document().version)
    }

    fn leads(&self, now: Duration) -> bool {
        self.lease_until.get().is_some_and(|until| now < until)
    }

    fn step_feed(node: &Rc<Node>, input: FeedInput) {
        let this = &node.state;
        let now = node.clock.now();
        let from = match &input {
            FeedInput::Message { from, .. } => Some(from.clone()),
            _ => None,
        };
        let outputs = {
            let document = this.document();
            this.feed.borrow_mut().step(now, &document, input)
        };
        for output in outputs {
            Self::take(node, output, from.as_ref());
        }
        let version = this.document().version;
        let digest = this.feed.borrow().withdrawals().digest();
        node.membership.set_version(version, digest);
    }

    /// Withdrawn keys that the log does not have yet.
    pub(crate) fn withdrawals_pending(&self) -> u64 {
        self.feed.borrow().withdrawals().pending().count() as u64
    }

    /// Tells the parts that work by the configuration; `change` is `None` if all of it may be new.
    /// `from` is the VM that the change came from, if it did not come from this VM's log.
    fn changed(node: &Rc<Node>, change: Option<&Change>, from: Option<&VmId>) {
        let document = node.document();
        let now = node.clock.now();
        log::info!(
            version = document.version, preset:% = document.preset, evacuated:? = document.evacuated,
            from:% = from.map_or("own log", |from| from);
            "configuration in force"
        );
        node.metrics.config_version.set(document.version as i64);
        node.gateway.configure(now, &document);
        let mut keys = node.state.keys.borrow_mut();
        match change {
            Some(Change::GiveKey { id, key }) => {
                keys.insert(key.hash, id.clone());
            }
            Some(Change::SetEvacuated { .. } | Change::WithdrawKey { .. }) => {}
            _ => {
                *keys = document
                    .keys
                    .iter()
                    .map(|(id, key)| (key.hash, id.clone()))
                    .collect();
                node.routes.configure(now, &document);
                AllowanceController::configure(node, now, &document);
                warn_of_workspaces_without_holder(&document);
            }
        }
    }

    fn take(node: &Rc<Node>, output: FeedOutput, from: Option<&VmId>) {
        match output {
            FeedOutput::Apply { change } => {
                let followed = node.state.machine.borrow_mut().apply_accepted(&change);
                if followed {
                    Self::changed(node, Some(&change.change), from);
                }
            }
            FeedOutput::Install { document } => {
                let installed = node.state.machine.borrow_mut().install_document(*document);
                if installed {
                    Self::changed(node, None, from);
                }
            }
            FeedOutput::Propose { req } => {
                let node = Rc::clone(node);
                actix_rt::spawn(async move {
                    // Asked again by the feed until the document shows it.
                    let _ = GroupController::propose(&node, Command::Change(req)).await;
                });
            }
            FeedOutput::PullEnded { end, from, waited } => log::info!(
                end:% = end, from:% = from, version = node.document().version,
                waited_ms:? = waited.map(|waited| waited.as_millis() as u64);
                "question for the configuration ended"
            ),
            FeedOutput::Ready => {
                log::info!("ready to serve");
                AllowanceController::complete_start(node);
            }
            FeedOutput::Send { message, to } => {
                node.send(&to, PeerMessage::Feed(Box::new(message)))
            }
            FeedOutput::Withdrawn { key } => log::info!(key:% = key; "key withdrawn"),
        }
    }
}

/// A workspace none of whose regions names a holder has no allowance anywhere: each of its
/// requests is refused as if it had used all of it.
fn warn_of_workspaces_without_holder(document: &Document) {
    let held = |region: &RegionId| {
        let region = document.regions.get(region);
        region.is_some_and(|region| !region.holders.is_empty())
    };
    for (id, workspace) in &document.workspaces {
        if !workspace.residency.iter().any(held) {
            log::warn!(workspace:% = id; "no region of the workspace has a holder: it has no allowance");
        }
    }
}
