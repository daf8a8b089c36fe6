use super::*;
use {
    ebonystand_core::{
        CallKind, GatewayRoute, InquiryState, KnownOrigin, OriginAnswer, OriginHolders,
        OriginInquiry, OriginMessage, OriginTable, RouteTable, StreamKey, StreamOrigin, VmEntry,
    },
    node::Node,
    std::collections::BTreeMap,
};

/// Records at which software version streams began, and finds out for those that are taken up again.
pub(crate) struct OriginController {
    held: RefCell<OriginTable>,
    holders: RefCell<Option<LiveHolders>>,
    inquiries: RefCell<FxHashMap<u64, OpenInquiry>>,
    /// Number of the next inquiry. The first one is random: an answer to an inquiry of a former
    /// process reaches this one too.
    next_inquiry: Cell<u64>,
    /// Services of each route that may be resumed, by the name of the route.
    services: RefCell<BTreeMap<Box<str>, RouteServices>>,
}

/// Possible holders of origins, derived from the live VMs.
struct LiveHolders {
    holders: Rc<OriginHolders>,
    live: Rc<[VmEntry]>,
}

/// Services that get the requests of a route.
struct RouteServices {
    services: Vec<ServiceId>,
    /// Time from which on they have been the same.
    since: Duration,
}

struct OpenInquiry {
    inquiry: OriginInquiry,
    tx: oneshot::Sender<Option<KnownOrigin>>,
}

impl OriginController {
    /// Longest wait for the VMs of the own region to tell an origin.
    const NEAR_WAIT: Duration = Duration::from_millis(100);
    /// Longest wait for VMs of all regions to tell an origin.
    const WAIT: Duration = Duration::from_millis(400);

    /// Creates the controller of a process; `first_inquiry` is random.
    pub(crate) fn new(first_inquiry: u64) -> Self {
        Self {
            held: RefCell::default(),
            holders: RefCell::default(),
            inquiries: RefCell::default(),
            next_inquiry: Cell::new(first_inquiry),
            services: RefCell::default(),
        }
    }

    /// Whether streams of the route may be taken up at another upstream.
    pub(crate) fn is_resumable(route: &GatewayRoute) -> bool {
        route.kind == CallKind::Stream && route.resumable
    }

    /// Applies new routes: the services of a route that has changed do not tell where its streams began.
    pub(crate) fn configure(&self, now: Duration, table: &RouteTable) {
        let mut services = self.services.borrow_mut();
        let routes = table.routing().routes.iter();
        let resumable = routes.filter(|route| Self::is_resumable(route));
        let changed = resumable.map(|route| {
            let in_force = route.services();
            let known = services.remove(&route.name);
            let known = known.filter(|known| known.services == in_force);
            let in_force = known.unwrap_or(RouteServices {
                services: in_force,
                since: now,
            });
            (route.name.clone(), in_force)
        });
        *services = changed.collect();
    }

    /// Records the origin of a stream that may be taken up again, unless it follows from the lists of all VMs.
    pub(crate) fn record(
        &self,
        node: &Node,
        route: &GatewayRoute,
        key: StreamKey,
        origin: &StreamOrigin,
        lifetime: Duration,
    ) {
        let now = node.clock.now();
        if self.only_origin(node, &route.name).as_ref() == Some(origin) {
            return;
        }
        let mut held = self.held.borrow_mut();
        held.hold(now, key, origin.clone(), lifetime);
        node.metrics.stream_origins.set(held.len() as i64);
        drop(held);
        for vm in self.holders(node).to_tell(key) {
            Self::tell(node, &vm, key, origin.clone(), lifetime);
        }
    }

    /// Returns the number of streams whose origins this VM holds.
    pub(crate) fn held(&self) -> usize {
        self.held.borrow().len()
    }

    /// Finds out at which version a stream began; `None` if it can have been several.
    pub(crate) async fn find(
        &self,
        node: &Node,
        route: &GatewayRoute,
        key: Option<StreamKey>,
    ) -> Option<KnownOrigin> {
        let only = self.only_origin(node, &route.name);
        let Some(key) = key else {
            return only.map(KnownOrigin::OnlyVersion);
        };
        let held = self.held.borrow().get(node.clock.now(), key).cloned();
        if let Some(origin) = held {
            return Some(KnownOrigin::Recorded(origin));
        }
        let holders = self.holders(node);
        let (asked, wait) = match only {
            Some(_) => (holders.to_ask_near(key), Self::NEAR_WAIT),
            None => (holders.to_ask(key), Self::WAIT),
        };
        self.ask(node, route, key, asked, only, wait).await
    }

    /// Handles a message of another VM.
    pub(crate) fn receive(&self, node: &Node, from: &VmId, message: OriginMessage) {
        let now = node.clock.now();
        match message {
            OriginMessage::Answer { answer, id } => self.receive_answer(from, id, answer),
            OriginMessage::Ask { id, key, route } => {
                let held = self.held.borrow().get(now, key).cloned();
                let known = held
                    .map(KnownOrigin::Recorded)
                    .or_else(|| self.only_origin(node, &route).map(KnownOrigin::OnlyVersion));
                let answer = OriginAnswer::from(known);
                node.send(
                    from,
                    PeerMessage::Origin(OriginMessage::Answer { answer, id }),
                );
            }
            OriginMessage::Hold {
                key,
                lifetime_ms,
                origin,
            } => {
                let lifetime = Duration::from_millis(lifetime_ms);
                let mut held = self.held.borrow_mut();
                let is_new = held.hold(now, key, origin.clone(), lifetime);
                node.metrics.stream_origins.set(held.len() as i64);
                // What comes after the others were handed over would end with this VM.
                if is_new && node.draining() {
                    for vm in self.holders(node).to_tell(key) {
                        Self::tell(node, &vm, key, origin.clone(), lifetime);
                    }
                }
            }
        }
    }

    /// Has other VMs hold the origins that this one, which is about to stop, holds.
    pub(crate) fn hand_over(&self, node: &Node) {
        let held = self.held.borrow();
        let holders = self.holders(node);
        for (key, origin, left) in held.iter(node.clock.now()) {
            for vm in holders.to_tell(key) {
                Self::tell(node, &vm, key, origin.clone(), left);
            }
        }
        if !held.is_empty() {
            log::info!(origins = held.len(); "origins of streams handed over");
        }
    }

    async fn ask(
        &self,
        node: &Node,
        route: &GatewayRoute,
        key: StreamKey,
        asked: Vec<VmId>,
        only: Option<StreamOrigin>,
        wait: Duration,
    ) -> Option<KnownOrigin> {
        let inquiry = OriginInquiry::new(asked.clone(), only);
        if asked.is_empty() {
            return inquiry.conclude();
        }
        let id = self.next_inquiry.get();
        self.next_inquiry.set(id.wrapping_add(1));
        let (tx, rx) = oneshot::channel();
        let open = OpenInquiry { inquiry, tx };
        self.inquiries.borrow_mut().insert(id, open);
        for vm in &asked {
            let ask = OriginMessage::Ask {
                id,
                key,
                route: route.name.clone(),
            };
            node.send(vm, PeerMessage::Origin(ask));
        }
        let answered = actix_rt::time::timeout(wait, rx).await;
        let open = self.inquiries.borrow_mut().remove(&id);
        match answered {
            Ok(Ok(known)) => known,
            _ => open.and_then(|open| open.inquiry.conclude()),
        }
    }

    fn receive_answer(&self, from: &VmId, id: u64, answer: OriginAnswer) {
        let mut inquiries = self.inquiries.borrow_mut();
        let Some(open) = inquiries.get_mut(&id) else {
            return;
        };
        if let InquiryState::Complete(known) = open.inquiry.receive(from, answer)
            && let Some(open) = inquiries.remove(&id)
        {
            // The caller may have left.
            let _ = open.tx.send(known);
        }
    }

    /// Returns the only origin that streams of a route can have, by what this VM has seen.
    fn only_origin(&self, node: &Node, route: &str) -> Option<StreamOrigin> {
        let now = node.clock.now();
        let max_age = StreamOrigin::MAX_STREAM_AGE;
        let services = self.services.borrow();
        let in_force = services.get(route)?;
        let [service] = in_force.services.as_slice() else {
            return None;
        };
        if in_force.since + max_age > now {
            return None;
        }
        let book = node.gateway.book.borrow();
        let software = book.only_software(now, service, max_age)?;
        Some(StreamOrigin {
            service: service.clone(),
            software: software.clone(),
        })
    }

    /// Returns the possible holders, which are derived anew only once the live VMs have changed.
    fn holders(&self, node: &Node) -> Rc<OriginHolders> {
        let live = node.membership.live(node.clock.now());
        let mut known = self.holders.borrow_mut();
        if let Some(known) = known
            .as_ref()
            .filter(|known| Rc::ptr_eq(&known.live, &live))
        {
            return Rc::clone(&known.holders);
        }
        let records = live.iter().map(|entry| &entry.record);
        let (vm, region) = (&node.settings.vm, &node.settings.region);
        let holders = OriginHolders::new(vm.clone(), region.clone(), records);
        let holders = Rc::new(holders);
        *known = Some(LiveHolders {
            holders: Rc::clone(&holders),
            live,
        });
        holders
    }

    fn tell(node: &Node, vm: &VmId, key: StreamKey, origin: StreamOrigin, lifetime: Duration) {
        let hold = OriginMessage::Hold {
            key,
            lifetime_ms: lifetime.as_millis() as u64,
            origin,
        };
        node.send(vm, PeerMessage::Origin(hold));
    }
}
