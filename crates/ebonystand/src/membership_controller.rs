use super::*;
use {
    ebonystand_core::{
        FeedInput, LivenessSnapshot, MembershipMessage, MembershipOutput, VmEntry, VmMembership,
        VmRecord, VmReturns,
    },
    node::Node,
    state_controller::StateController,
    std::collections::{BTreeMap, BTreeSet},
    tokio::net::UdpSocket,
};

/// Holds what is known of the other VMs, and exchanges it with them in datagrams.
pub(crate) struct MembershipController {
    /// The live VMs with what they were derived from.
    live: RefCell<Option<(LivenessSnapshot, Rc<[VmEntry]>)>>,
    membership: RefCell<VmMembership>,
    returns: RefCell<VmReturns>,
    socket: UdpSocket,
}

impl MembershipController {
    const LONGEST_DATAGRAM: usize = 2_048;
    /// Time between two looks at who is live; regions become unreachable by time alone.
    const REFRESH: Duration = Duration::from_millis(500);

    /// Every VM that is known of.
    pub(crate) fn entries(&self) -> Vec<VmEntry> {
        self.membership.borrow().entries().cloned().collect()
    }

    /// Number of VMs that serve requests on routes, as far as they are known, live or not.
    pub(crate) fn known_serving_count(&self) -> usize {
        let membership = self.membership.borrow();
        let serves =
            |entry: &&VmEntry| entry.record.forwards.is_some() || entry.record.takes_callers;
        membership.entries().filter(serves).count()
    }

    /// Adds addresses of VMs to meet.
    pub(crate) fn add_seeds(node: &Node, seeds: &[SocketAddr]) {
        node.membership.membership.borrow_mut().add_seeds(seeds);
    }

    /// Says that this VM takes no new work.
    pub(crate) fn leave(node: &Rc<Node>) {
        let now = node.clock.now();
        let outputs = node.membership.membership.borrow_mut().leave(now);
        Self::take(node, outputs);
    }

    /// Live VMs; the same allocation until one comes, goes or changes.
    pub(crate) fn live(&self, now: Duration) -> Rc<[VmEntry]> {
        let membership = self.membership.borrow();
        let liveness = membership.liveness_snapshot(now);
        let mut known = self.live.borrow_mut();
        match &*known {
            Some((since, live)) if *since == liveness => Rc::clone(live),
            _ => {
                let live = membership.live(now).cloned().collect::<Rc<[_]>>();
                self.returns.borrow_mut().record(now, &live);
                *known = Some((liveness, Rc::clone(&live)));
                live
            }
        }
    }

    /// Live VMs of the region, this one included.
    pub(crate) fn live_of(&self, now: Duration, region: &str) -> u32 {
        let membership = self.membership.borrow();
        let live = membership.live(now);
        let of_region = live.filter(|entry| *entry.record.region == *region && !entry.is_leaving());
        u32::try_from(of_region.count()).unwrap_or(u32::MAX).max(1)
    }

    pub(crate) fn new(
        own: VmRecord,
        seeds: Vec<SocketAddr>,
        now: Duration,
        seed: u64,
        socket: UdpSocket,
    ) -> Self {
        Self {
            live: RefCell::default(),
            membership: RefCell::new(VmMembership::new(own, seeds, now, seed)),
            returns: RefCell::default(),
            socket,
        }
    }

    /// Returns the time at which the first VM that is away from a region for which `is_allowed` holds is likely to take
    /// callers again; `None` if none is expected.
    pub(crate) fn next_return(
        &self,
        now: Duration,
        usual: Duration,
        is_allowed: impl Fn(&RegionId) -> bool,
    ) -> Option<Duration> {
        self.live(now);
        self.returns.borrow().next_return(now, usual, is_allowed)
    }

    /// Returns since when a VM that took callers is leaving or gone; `None` if it is not.
    pub(crate) fn away_since(&self, vm: &str) -> Option<Duration> {
        self.returns.borrow().away_since(vm)
    }

    /// Where a VM listens for other VMs.
    pub(crate) fn peer(&self, vm: &VmId) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        membership.get(vm).map(|entry| entry.record.peer)
    }

    /// Whether anybody of a region answers.
    pub(crate) fn reachable(&self, now: Duration, region: &str) -> bool {
        self.membership.borrow().is_reachable(now, region)
    }

    /// Exchanges datagrams until the task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        let this = &node.membership;
        let mut buf = vec![0; Self::LONGEST_DATAGRAM];
        loop {
            let deadline = this.membership.borrow().deadline();
            let wait = deadline.saturating_sub(node.clock.now());
            tokio::select! {
                received = this.socket.recv_from(&mut buf) => {
                    if let Ok((len, _)) = received {
                        Self::receive(&node, &buf[..len]);
                    }
                }
                () = actix_rt::time::sleep(wait) => {
                    let outputs = this.membership.borrow_mut().tick(node.clock.now());
                    Self::take(&node, outputs);
                }
            }
        }
    }

    /// Tells the other parts who is live until the task is dropped.
    pub(crate) async fn run_refresh(node: Rc<Node>) {
        let mut known = BTreeMap::new();
        loop {
            Self::refresh(&node, &mut known);
            actix_rt::time::sleep(Self::REFRESH).await;
        }
    }

    /// Says whether callers may be sent to this VM.
    pub(crate) fn set_takes_callers(node: &Rc<Node>, takes: bool) {
        let now = node.clock.now();
        let mut membership = node.membership.membership.borrow_mut();
        let is_news = membership.own_record().takes_callers != takes;
        let outputs = membership.set_takes_callers(now, takes);
        drop(membership);
        if is_news {
            log::info!(takes_callers = takes; "readiness told");
        }
        Self::take(node, outputs);
    }

    /// Says how many times this VM's capacity is halved at present, and returns whether that is news.
    pub(crate) fn set_capacity_halvings(node: &Rc<Node>, halvings: u8) -> bool {
        let now = node.clock.now();
        let mut membership = node.membership.membership.borrow_mut();
        let is_news = membership.own_record().capacity_halvings != halvings;
        let outputs = membership.set_capacity_halvings(now, halvings);
        drop(membership);
        Self::take(node, outputs);
        is_news
    }

    /// Says where this VM takes forwarded requests, if it takes any now.
    pub(crate) fn set_forwards(node: &Rc<Node>, forwards: Option<SocketAddr>) {
        let now = node.clock.now();
        let mut membership = node.membership.membership.borrow_mut();
        let outputs = membership.set_forwards(now, forwards);
        drop(membership);
        Self::take(node, outputs);
    }

    pub(crate) fn set_version(&self, version: Version, withdrawals: u64) {
        let mut membership = self.membership.borrow_mut();
        membership.set_version(version);
        membership.set_withdrawals(withdrawals);
    }

    fn receive(node: &Rc<Node>, datagram: &[u8]) {
        let message = match node
            .peers
            .secret
            .open_datagram::<MembershipMessage>(datagram)
        {
            Ok(message) => message,
            Err(error) => {
                node.metrics.peer_refused.inc();
                log::debug!(error:% = error; "datagram refused");
                return;
            }
        };
        let now = node.clock.now();
        let outputs = node
            .membership
            .membership
            .borrow_mut()
            .receive(now, message);
        Self::take(node, outputs);
    }

    fn refresh(node: &Rc<Node>, known: &mut BTreeMap<VmId, Incarnation>) {
        let now = node.clock.now();
        let own = &node.settings;
        let live = node.membership.live(now);
        let records = live.iter().map(|entry| &entry.record);
        let now_live = records.map(|record| (record.vm.clone(), record.incarnation));
        let now_live = now_live.collect::<BTreeMap<_, _>>();
        if now_live == *known {
            return;
        }
        let come = now_live
            .iter()
            .filter(|(vm, at)| known.get(*vm) != Some(*at));
        let come = come.collect::<Vec<_>>();
        let gone = known.keys().filter(|vm| !now_live.contains_key(*vm));
        let gone = gone.collect::<Vec<_>>();
        let (first_come, first_gone) = (first_of(&come), first_of(&gone));
        log::info!(
            live = now_live.len(), come_count = come.len(), come:? = first_come,
            gone_count = gone.len(), gone:? = first_gone;
            "live VMs changed"
        );
        node.peers.prune();
        let records = live.iter().map(|entry| &entry.record);
        let of_region = records.filter(|record| record.region == own.region);
        let of_region = of_region.map(|record| record.vm.clone());
        let of_region = of_region.collect::<BTreeSet<_>>();
        let live_vms = now_live.keys().cloned().collect::<BTreeSet<_>>();
        node.parts
            .set_live(node, live_vms.clone(), of_region.clone());
        node.quarantine.set_live(now, live_vms, of_region);
        node.routes.share_links(node.vms_of_region());
        for (vm, incarnation) in &now_live {
            if known.get(vm).is_some_and(|old| old != incarnation) {
                node.parts.restarted(node, vm);
                node.quarantine.restarted(node, vm);
            }
        }
        *known = now_live;
        let others = live.iter().filter(|entry| entry.record.vm != own.vm);
        let (near, far): (Vec<_>, Vec<_>) =
            others.partition(|entry| entry.record.region == own.region);
        let vms = |entries: Vec<&VmEntry>| {
            let vms = entries.into_iter().map(|entry| entry.record.vm.clone());
            vms.collect::<Vec<_>>()
        };
        let input = FeedInput::Peers {
            far: vms(far),
            near: vms(near),
        };
        StateController::step(node, input);
    }

    fn take(node: &Rc<Node>, outputs: Vec<MembershipOutput>) {
        for output in outputs {
            match output {
                MembershipOutput::PeerVersion {
                    version,
                    vm,
                    withdrawals,
                } => StateController::step(
                    node,
                    FeedInput::PeerVersion {
                        version,
                        vm,
                        withdrawals,
                    },
                ),
                MembershipOutput::Send { message, to } => Self::send(node, &message, to),
            }
        }
    }

    fn send(node: &Node, message: &MembershipMessage, to: SocketAddr) {
        match node.peers.secret.seal_datagram(message) {
            // A datagram that cannot be sent now is lost, which gossip makes up for.
            Ok(datagram) => {
                let _ = node.membership.socket.try_send_to(&datagram, to);
            }
            Err(error) => log::error!(error:% = error; "datagram not sent"),
        }
    }
}

/// Returns the VMs that a log line names; the line tells the number of all.
fn first_of<T>(vms: &[T]) -> &[T] {
    const MAX_NAMED: usize = 8;
    &vms[..vms.len().min(MAX_NAMED)]
}
