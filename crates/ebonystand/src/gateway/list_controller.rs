use super::*;
use {
    ebonystand_core::{ListReaderElection, ListedUpstream, UpstreamKind},
    node::Node,
    std::collections::BTreeSet,
    xxhash_rust::xxh3::xxh3_64,
};

/// Keeps the list of upstreams of this VM's region. One VM of the region reads the list from its
/// source and the others receive it from there.
pub(crate) struct ListController {
    /// List in force and its hash; `None` until the first list arrives.
    listed: RefCell<Option<(u64, Vec<ListedUpstream>)>>,
    reader: RefCell<ListReaderElection>,
    source: Option<Rc<dyn UpstreamSource>>,
}

impl ListController {
    pub(crate) fn new(
        source: Option<Rc<dyn UpstreamSource>>,
        every: Duration,
        now: Duration,
    ) -> Self {
        Self {
            listed: RefCell::default(),
            reader: RefCell::new(ListReaderElection::new(every, now)),
            source,
        }
    }

    /// Whether this VM has received or read a list.
    pub(crate) fn is_known(&self) -> bool {
        self.listed.borrow().is_some()
    }

    /// Handles a list, or only the hash of one, from another VM of the region. A list is put in
    /// force and passed on to the VMs that report to this one; the hash of the list in force is
    /// passed on as well. A list with an unknown hash is requested from the sender.
    pub(crate) fn heard(
        &self,
        node: &Rc<Node>,
        from: &VmId,
        digest: u64,
        upstreams: Option<Vec<ListedUpstream>>,
    ) {
        let now = node.clock.now();
        self.reader.borrow_mut().record_list_received(now);
        let is_known = self
            .listed
            .borrow()
            .as_ref()
            .is_some_and(|(known, _)| *known == digest);
        match upstreams {
            Some(upstreams) => {
                log::info!(
                    from:% = from, leaving = upstreams.iter().filter(|u| u.leaving).count(),
                    upstreams = upstreams.len();
                    "list of upstreams heard"
                );
                let is_new = self.install(node, upstreams);
                self.share(node, is_new, &node.gateway.book.borrow().reporters());
            }
            None if is_known => self.share(node, false, &node.gateway.book.borrow().reporters()),
            None => node.send(from, PeerMessage::ListWanted),
        }
    }

    /// Sends the list in force to a VM that has requested it.
    pub(crate) fn send(&self, node: &Node, to: &VmId) {
        let listed = self.listed.borrow().clone();
        if let Some((digest, upstreams)) = listed {
            let upstreams = Some(upstreams);
            node.send(to, PeerMessage::Listed { digest, upstreams });
        }
    }

    /// Puts a list in force and returns whether it differs from the previous one.
    fn install(&self, node: &Node, upstreams: Vec<ListedUpstream>) -> bool {
        let digest = digest(&upstreams);
        let now = node.clock.now();
        let mut book = node.gateway.book.borrow_mut();
        book.update_list(now, upstreams.clone());
        let before = self.listed.replace(Some((digest, upstreams)));
        before.is_none_or(|(before, _)| before != digest)
    }

    /// Sends the list to VMs of the region, or only its hash if the list is not new.
    fn share(&self, node: &Node, is_new: bool, peers: &BTreeSet<VmId>) {
        let listed = self.listed.borrow();
        let Some((digest, upstreams)) = &*listed else {
            return;
        };
        for vm in peers.iter().filter(|vm| **vm != node.settings.vm) {
            let message = PeerMessage::Listed {
                digest: *digest,
                upstreams: is_new.then(|| upstreams.clone()),
            };
            node.send(vm, message);
        }
    }

    /// Waits after the start of this VM until it knows which VMs of the region can read the list,
    /// the list is overdue, or a list has arrived.
    async fn discover_readers(node: &Rc<Node>) {
        const POLL_INTERVAL: Duration = Duration::from_millis(50);
        let this = &node.gateway.list;
        loop {
            let now = node.clock.now();
            let readers = Self::readers(node);
            let has_contact = node.membership.live(now).len() > 1 || node.settings.is_alone();
            let has_met = this
                .reader
                .borrow_mut()
                .has_discovered_peers(now, &readers, has_contact);
            if has_met || this.reader.borrow().is_list_overdue(now) || this.is_known() {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the live VMs of the region that are eligible to read the list.
    fn readers(node: &Node) -> Vec<VmId> {
        let live = node.membership.live(node.clock.now());
        let readers = live.iter().map(|entry| &entry.record).filter(|record| {
            record.region == node.settings.region && record.forwards.is_some() && !record.leaving
        });
        readers.map(|record| record.vm.clone()).collect()
    }

    /// Reads the list of upstreams periodically while this VM is the region's reader, until the
    /// task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        let this = &node.gateway.list;
        let (mut failures, mut reading) = (0_u32, false);
        Self::discover_readers(&node).await;
        loop {
            let readers = Self::readers(&node);
            let now = node.clock.now();
            let reads = this
                .reader
                .borrow()
                .is_reader(now, &node.settings.vm, &readers);
            if reads != reading {
                log::info!(reads = reads; "reader of the list of upstreams");
                reading = reads;
            }
            let list = match reads {
                true => Some(this.read(&node).await),
                false => None,
            };
            match list {
                None => {}
                Some(Ok(listed)) => {
                    if failures > 0 || this.listed.borrow().is_none() {
                        log::info!(upstreams = listed.len(); "list of upstreams read");
                    }
                    failures = 0;
                    let is_new = this.install(&node, listed);
                    let mut peers = node.gateway.book.borrow().reporters();
                    peers.extend(node.gateway.book.borrow().relays());
                    this.share(&node, is_new, &peers);
                }
                Some(Err(error)) => {
                    if failures == 0 {
                        log::warn!(error:% = error; "list of upstreams could not be read");
                    }
                    failures = failures.saturating_add(1);
                }
            }
            node.gateway.pool.prune(node.clock.now());
            // The random factor keeps VMs that started together from reading the source at the same
            // moments.
            let part = node.gateway.jitter();
            let delay = this.reader.borrow().next_read_delay(failures);
            actix_rt::time::sleep(delay.mul_f64(part)).await;
        }
    }

    async fn read(&self, node: &Rc<Node>) -> Result<Vec<ListedUpstream>, FetchError> {
        let Some(source) = &self.source else {
            return Ok(Self::configured(&node.document()));
        };
        let fetch = Fetch {
            node: Rc::clone(node),
        };
        source.list(&fetch).await
    }

    /// Builds the list from the upstreams in the configuration itself.
    fn configured(document: &Document) -> Vec<ListedUpstream> {
        let upstreams = document.upstreams.iter();
        let listed = upstreams.filter_map(|(id, upstream)| {
            let UpstreamKind::Service { service } = &upstream.kind else {
                return None;
            };
            Some(ListedUpstream {
                address: upstream.address,
                cold_for: Duration::ZERO,
                instance: id.clone(),
                leaving: upstream.leaving,
                service: service.clone(),
                slots: u32::try_from(upstream.speed).unwrap_or(u32::MAX),
                zone: upstream.zone.clone(),
            })
        });
        listed.collect()
    }
}

/// Hashes a list so that VMs can compare their lists without sending them whole.
fn digest(upstreams: &[ListedUpstream]) -> u64 {
    match postcard::to_stdvec(upstreams) {
        Ok(bytes) => xxh3_64(&bytes),
        Err(error) => {
            log::error!(error:% = error; "list of upstreams could not be encoded to hash it");
            0
        }
    }
}
