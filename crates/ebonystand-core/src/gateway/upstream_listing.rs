//! The list of upstreams: what of a book follows from their coming, changing and going.

use super::*;

impl UpstreamBook {
    /// Least time for which an upstream counts as cold after it appears on the list or its zone
    /// returns: the list lags and may not show yet that the upstream is cold.
    const MIN_COLD_TIME: Duration = Duration::from_millis(2_000);

    /// Replaces the list of upstreams and drops the state of those no longer on it.
    pub fn update_list(
        &mut self,
        now: Duration,
        scope: ListScope,
        listed: impl IntoIterator<Item = ListedUpstream>,
    ) {
        let listed = listed.into_iter().collect::<Vec<_>>();
        let names = listed.iter().map(|entry| &entry.instance);
        let names = names.collect::<FxHashSet<_>>();
        let known = self.upstreams.keys();
        let removed = known.filter(|instance| !names.contains(instance));
        let removed = removed.cloned().collect::<Vec<_>>();
        self.list_scope = scope;
        self.change_list(now, listed, &removed);
    }

    /// Applies changes to the list of upstreams: the new entries, and the instances that are no
    /// longer on it.
    pub fn change_list(
        &mut self,
        now: Duration,
        changed: Vec<ListedUpstream>,
        removed: &[UpstreamId],
    ) {
        let is_first = self.upstreams.is_empty();
        let mut emptied = FxHashSet::default();
        for instance in removed {
            if let Some(known) = self.upstreams.remove(instance) {
                self.forget_requests(instance);
                self.instances_by_key.remove(&known.key);
                emptied.insert(known.key);
            }
        }
        for upstream in changed {
            let instance = upstream.instance.clone();
            let region = self.zones.get(&upstream.zone).cloned();
            let known = match self.upstreams.remove(&instance) {
                Some(known) if is_same_incarnation(&known.listed, &upstream) => {
                    if now >= known.cold_until && !upstream.cold_for.is_zero() {
                        emptied.insert(known.key);
                    }
                    Self::update_upstream(now, known, upstream, region)
                }
                before => {
                    self.forget_requests(&instance);
                    emptied.extend(before.map(|known| known.key));
                    Self::new_upstream(now, upstream, region, is_first)
                }
            };
            self.instances_by_key.insert(known.key, instance.clone());
            self.upstreams.insert(instance, known);
        }
        self.caches.remove_engines(&emptied);
        let listed = self.upstreams.values().map(|known| &known.listed);
        let listed = listed.map(|listed| (&listed.service, &listed.software));
        self.software.record_list(now, listed);
    }

    /// Records that a read which began at `read_at` found the list in force.
    pub fn confirm_list(&mut self, now: Duration, read_at: Duration) {
        self.software.record_confirmation(now, read_at);
    }

    /// Returns the software versions on the list that all VMs know.
    #[must_use]
    pub fn known_software(&self, now: Duration) -> Vec<(ServiceId, SoftwareVersion)> {
        let listed = self.software.listed();
        let known =
            listed.filter(|(service, software)| self.software.is_known(now, service, software));
        let known = known.map(|(service, software)| (service.clone(), software.clone()));
        known.collect()
    }

    /// Records software versions that all VMs know, as another VM has told.
    pub fn record_known_software(&mut self, now: Duration, known: &[(ServiceId, SoftwareVersion)]) {
        for (service, software) in known {
            self.software.record_known(now, service, software);
        }
    }

    /// Returns whether the list covers the upstreams of other regions.
    #[must_use]
    pub fn lists_other_regions(&self) -> bool {
        self.list_scope == ListScope::AllRegions
    }

    /// Returns the list entries of all known upstreams, in order of their names.
    pub fn listed_upstreams(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.upstreams.values().map(|known| &known.listed)
    }

    /// Returns the software versions of each service on the list.
    pub fn software_statuses(&self, now: Duration) -> impl Iterator<Item = SoftwareStatus> {
        let mut counts = BTreeMap::<_, (u32, u32)>::new();
        for listed in self.listed_upstreams() {
            let (all, leaving) = counts
                .entry((&listed.service, &listed.software))
                .or_default();
            *all += 1;
            *leaving += u32::from(listed.leaving);
        }
        let counts = counts.into_iter();
        counts.map(
            move |((service, software), (listed, leaving))| SoftwareStatus {
                leaving,
                listed,
                service: service.clone(),
                software: software.clone(),
                takes_streams: self.software.may_begin(now, service, software),
            },
        )
    }

    /// Returns whether an upstream was going to end: it is leaving, or is no longer on the list.
    #[must_use]
    pub fn is_end_expected(&self, instance: &str) -> bool {
        let known = self.upstreams.get(instance);
        known.is_none_or(KnownUpstream::is_leaving)
    }

    /// Returns the availability zone of a listed upstream.
    #[must_use]
    pub fn zone(&self, instance: &str) -> Option<&ZoneId> {
        self.upstreams.get(instance).map(|known| &known.listed.zone)
    }

    /// Treats the upstreams of a zone as cold after its evacuation ends, since they may have cooled
    /// down meanwhile.
    pub fn record_zone_return(&mut self, now: Duration, zone: &str) {
        for known in self.upstreams.values_mut() {
            if &*known.listed.zone == zone {
                known.cold_until = known.cold_until.max(now + Self::MIN_COLD_TIME);
            }
        }
    }

    /// Forgets the requests, the limit and the notices of an upstream that is gone.
    fn forget_requests(&mut self, instance: &str) {
        self.busy.remove(instance);
        self.limited.remove(instance);
        self.noticed.remove(instance);
    }

    /// Creates the state of an upstream that is new on the list; it counts as cold at first, unless
    /// it is on the first list of this VM.
    fn new_upstream(
        now: Duration,
        upstream: ListedUpstream,
        region: Option<RegionId>,
        is_first: bool,
    ) -> KnownUpstream {
        let lag = match is_first {
            true => Duration::ZERO,
            false => Self::MIN_COLD_TIME,
        };
        let cold_until = now + upstream.cold_for.max(lag);
        let is_leaving = upstream.leaving;
        KnownUpstream {
            leaving_since: is_leaving.then_some(now),
            ..KnownUpstream::new(upstream, region, cold_until)
        }
    }

    /// Updates the state of an upstream from its new list entry; one that has become cold again has
    /// lost its caches.
    fn update_upstream(
        now: Duration,
        mut known: KnownUpstream,
        upstream: ListedUpstream,
        region: Option<RegionId>,
    ) -> KnownUpstream {
        if !upstream.cold_for.is_zero() {
            if now >= known.cold_until {
                known.sent_prefixes.clear();
            }
            known.cold_until = known.cold_until.max(now + upstream.cold_for);
        }
        known.leaving_since = match upstream.leaving {
            true => known.leaving_since.or(Some(now)),
            false => None,
        };
        known.listed = upstream;
        known.region = region;
        known
    }
}

/// Returns whether two entries of the same instance describe the same start of a server. One that comes back at
/// its address under the same name, with other software, is another one.
fn is_same_incarnation(known: &ListedUpstream, upstream: &ListedUpstream) -> bool {
    known.address == upstream.address && known.software == upstream.software
}
