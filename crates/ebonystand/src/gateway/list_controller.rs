use super::*;
use {
    ebonystand_core::{
        ListMismatch, ListReaderElection, ListReading, ListScope, ListUpdate, ListedUpstream,
        ReadingDates, SoftwareVersion, UpstreamKind, UpstreamList,
    },
    futures_util::future::try_join_all,
    node::Node,
    std::collections::BTreeSet,
};

/// Keeps the list of upstreams of this VM's region. One VM of the region reads the list from its
/// source and the others receive it from there.
pub(crate) struct ListController {
    /// Faults of the list as it was last read.
    faults: Cell<ListFaults>,
    /// List in force; `None` until the first list arrives.
    listed: RefCell<Option<UpstreamList>>,
    /// Read that found the list in force; `None` until the first list arrives.
    reading: RefCell<Option<ListReading>>,
    reading_dates: RefCell<ReadingDates>,
    reader: RefCell<ListReaderElection>,
    source: Option<Rc<dyn UpstreamSource>>,
}

/// List as it was read, in one part or by availability zone.
struct ListRead {
    faults: ListFaults,
    scope: ListScope,
    upstreams: Vec<ListedUpstream>,
}

/// What of a list could not be read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct ListFaults {
    /// Number of entries that are malformed or name an upstream a second time.
    ignored: usize,
    /// Whether the rest of the list is malformed.
    is_cut_off: bool,
}

impl ListRead {
    fn new(scope: ListScope, reads: Vec<UpstreamRead>) -> Self {
        let faults = ListFaults {
            ignored: reads.iter().map(|read| read.ignored).sum(),
            is_cut_off: reads.iter().any(|read| read.end == ReadEnd::Unreadable),
        };
        let upstreams = reads.into_iter().flat_map(|read| read.upstreams);
        Self {
            faults,
            scope,
            upstreams: upstreams.collect(),
        }
    }
}

impl ListController {
    pub(crate) fn new(
        source: Option<Rc<dyn UpstreamSource>>,
        every: Duration,
        now: Duration,
    ) -> Self {
        Self {
            faults: Cell::default(),
            listed: RefCell::default(),
            reading: RefCell::default(),
            reading_dates: RefCell::default(),
            reader: RefCell::new(ListReaderElection::new(every, now)),
            source,
        }
    }

    /// Whether this VM has received or read a list.
    pub(crate) fn is_known(&self) -> bool {
        self.listed.borrow().is_some()
    }

    /// Handles an update of the list from another VM of the region: puts it in force and passes it
    /// on to the VMs that report to this one. An update that does not fit the list in force is
    /// answered with a request for the whole list.
    pub(crate) fn receive(
        &self,
        node: &Rc<Node>,
        from: &VmId,
        reading: &ListReading,
        update: &ListUpdate,
    ) {
        let now = node.clock.now();
        self.reader.borrow_mut().record_list_received(now);
        let reporters = node.gateway.book.borrow().reporters();
        match self.apply(node, update) {
            Ok(()) => {
                let read_at = self.reading_dates.borrow_mut().date(now, reading);
                self.confirm(node, read_at, reading);
                self.share(node, reading, update, &reporters);
            }
            Err(mismatch) => {
                log::info!(from:% = from, reason:% = mismatch; "whole list of upstreams requested");
                node.send(from, PeerMessage::ListWanted);
            }
        }
    }

    /// Sends the whole list in force to a VM that has requested it.
    pub(crate) fn send_whole(&self, node: &Node, to: &VmId) {
        if let (Some(listed), Some(reading)) = (&*self.listed.borrow(), &*self.reading.borrow()) {
            let book = node.gateway.book.borrow();
            let known = book.known_software(node.clock.now());
            drop(book);
            node.send(
                to,
                PeerMessage::Listed(reading.clone(), listed.to_whole(known)),
            );
        }
    }

    /// Puts an update of the list in force.
    ///
    /// # Errors
    /// [`ListMismatch`] if the update does not fit the list in force.
    fn apply(&self, node: &Node, update: &ListUpdate) -> Result<(), ListMismatch> {
        let now = node.clock.now();
        let mut listed = self.listed.borrow_mut();
        let mut book = node.gateway.book.borrow_mut();
        match update {
            ListUpdate::Changes {
                base,
                changed,
                digest,
                removed,
            } => {
                let Some(list) = listed.as_mut() else {
                    let known = UpstreamList::default().digest();
                    return Err(ListMismatch::Base { base: *base, known });
                };
                if list.apply_changes(*base, *digest, changed, removed)? {
                    log_changes(list, changed, removed);
                    book.change_list(now, changed.clone(), removed);
                }
            }
            ListUpdate::Unchanged { digest } => {
                let known = listed.as_ref().map_or(0, UpstreamList::digest);
                if known != *digest {
                    let base = *digest;
                    return Err(ListMismatch::Base { base, known });
                }
            }
            ListUpdate::Whole {
                known_software,
                scope,
                upstreams,
            } => {
                log::info!(
                    upstreams = upstreams.len(), known_software = known_software.len();
                    "whole list of upstreams received"
                );
                book.update_list(now, *scope, upstreams.clone());
                book.record_known_software(now, known_software);
                *listed = Some(UpstreamList::new(*scope, upstreams.clone()));
            }
        }
        Ok(())
    }

    /// Puts a list that this VM has read in force and returns the update for the other VMs.
    fn install(&self, node: &Node, read: ListRead) -> ListUpdate {
        let ListRead {
            faults,
            scope,
            mut upstreams,
        } = read;
        let mut listed = self.listed.borrow_mut();
        let list = listed.get_or_insert_default();
        let now = node.clock.now();
        if faults.is_cut_off {
            list.add_missing(scope, &mut upstreams);
        }
        let update = list.replace(now, scope, upstreams);
        let mut book = node.gateway.book.borrow_mut();
        match &update {
            ListUpdate::Changes {
                changed, removed, ..
            } => {
                log_changes(list, changed, removed);
                book.change_list(now, changed.clone(), removed);
            }
            ListUpdate::Unchanged { .. } => {}
            ListUpdate::Whole {
                scope, upstreams, ..
            } => {
                book.update_list(now, *scope, upstreams.clone());
            }
        }
        update
    }

    /// Records that a read which began at `read_at` by this VM's clock found the list in force.
    fn confirm(&self, node: &Node, read_at: Duration, reading: &ListReading) {
        let now = node.clock.now();
        node.gateway.book.borrow_mut().confirm_list(now, read_at);
        *self.reading.borrow_mut() = Some(reading.clone());
    }

    /// Sends an update of the list to VMs of the region.
    fn share(
        &self,
        node: &Node,
        reading: &ListReading,
        update: &ListUpdate,
        peers: &BTreeSet<VmId>,
    ) {
        for vm in peers.iter().filter(|vm| **vm != node.settings.vm) {
            node.send(vm, PeerMessage::Listed(reading.clone(), update.clone()));
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

    /// Requests the list from random VMs of the region until this VM has one. It cannot serve before
    /// that, and the next update of the list may be a read interval away.
    async fn request_first_list(node: Rc<Node>) {
        const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
        while !node.gateway.list.is_known() {
            let mut others = Self::readers(&node);
            others.retain(|vm| *vm != node.settings.vm);
            if let Some(count) = u64::try_from(others.len()).ok().filter(|count| *count > 0) {
                let index = (node.gateway.draw() % count) as usize;
                node.send(&others[index], PeerMessage::ListWanted);
            }
            actix_rt::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Reads the list of upstreams periodically while this VM is the region's reader, until the
    /// task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        let this = &node.gateway.list;
        let (mut failures, mut reading) = (0_u32, false);
        actix_rt::spawn(Self::request_first_list(Rc::clone(&node)));
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
                Some(Ok(mut read)) => {
                    let table = node.gateway.table();
                    let is_known = |service: &ServiceId| table.service(service).is_some();
                    read.faults.ignored +=
                        UpstreamList::remove_duplicates(&mut read.upstreams, is_known);
                    if failures > 0 || this.listed.borrow().is_none() {
                        log::info!(upstreams = read.upstreams.len(); "list of upstreams read");
                    }
                    failures = 0;
                    this.report_faults(&node, read.faults);
                    let update = this.install(&node, read);
                    let reading = ListReading {
                        began_ms: now.as_millis() as u64,
                        incarnation: node.incarnation,
                        reader: node.settings.vm.clone(),
                    };
                    this.confirm(&node, now, &reading);
                    let mut peers = node.gateway.book.borrow().reporters();
                    peers.extend(node.gateway.book.borrow().relays());
                    this.share(&node, &reading, &update, &peers);
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

    /// Returns the part of all upstreams that the next read covers.
    fn next_scope(&self) -> ListScope {
        let listed = self.listed.borrow();
        let listed = listed.as_ref();
        listed.map_or(ListScope::default(), |list| {
            list.scope().after_read(list.len())
        })
    }

    /// Counts the malformed entries of the list, and logs them when their number changes.
    fn report_faults(&self, node: &Node, faults: ListFaults) {
        node.metrics.ignored_list_entries.set(faults.ignored as i64);
        if self.faults.replace(faults) != faults {
            log::warn!(
                ignored = faults.ignored, is_cut_off = faults.is_cut_off;
                "malformed entries of the list of upstreams changed; they name no upstream"
            );
        }
    }

    /// Reads the list of all regions, or of the own region if that of all is too long.
    async fn read(&self, node: &Rc<Node>) -> Result<ListRead, FetchError> {
        let Some(source) = &self.source else {
            return Ok(ListRead {
                faults: ListFaults::default(),
                scope: ListScope::AllRegions,
                upstreams: Self::configured(&node.document()),
            });
        };
        let fetch = Fetch::new(node);
        let scope = self.next_scope();
        if scope == ListScope::AllRegions {
            let max = ListScope::MAX_OF_ALL_REGIONS;
            let read = source.list(&fetch, None, max).await?;
            if read.end != ReadEnd::Limit && read.upstreams.len() <= max {
                return Ok(ListRead::new(scope, vec![read]));
            }
        }
        let zones = node.settings.zones_of_region();
        let reads = zones.iter();
        let reads = reads.map(|zone| source.list(&fetch, Some(zone), usize::MAX));
        let reads = try_join_all(reads).await?;
        Ok(ListRead::new(ListScope::OwnRegion, reads))
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
                software: SoftwareVersion::default(),
                zone: upstream.zone.clone(),
            })
        });
        listed.collect()
    }
}

fn log_changes(list: &UpstreamList, changed: &[ListedUpstream], removed: &[UpstreamId]) {
    log::info!(
        changed = changed.len(), removed = removed.len(), upstreams = list.len();
        "list of upstreams changed"
    );
}
