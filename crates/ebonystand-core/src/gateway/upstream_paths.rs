//! This VM's own path to the upstreams of its region.

use super::*;

impl UpstreamBook {
    /// Number of upstreams that a round of probes connects to.
    const PROBED_UPSTREAMS: usize = 3;

    /// Returns whether this VM has lost its path to the upstreams of a service.
    #[must_use]
    pub fn is_path_cut(&self, service: &str) -> bool {
        self.paths.is_cut(service)
    }

    /// Returns whether this VM reaches no upstream of its region, so that it cannot serve what other
    /// VMs forward.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        let services = self.local_services();
        !services.is_empty() && services.iter().all(|service| self.paths.is_cut(service))
    }

    /// Returns the services whose upstreams this VM does not reach.
    pub fn cut_services(&self) -> impl Iterator<Item = &ServiceId> {
        self.paths.cut_services()
    }

    /// Returns the services that have upstreams in this VM's region.
    #[must_use]
    pub fn local_services(&self) -> BTreeSet<ServiceId> {
        let local = self.upstreams.values().filter(|known| self.is_local(known));
        local.map(|known| known.listed.service.clone()).collect()
    }

    /// Returns the addresses of a service's upstreams in this VM's region.
    #[must_use]
    pub fn local_addresses(&self, service: &str) -> Vec<SocketAddr> {
        let local = self.local_upstreams(service);
        local.map(|known| known.listed.address).collect()
    }

    /// Raises the suspicion that this VM has lost its path to the upstreams of a service, and returns
    /// whether probes are to be started.
    pub fn suspect_path(&mut self, now: Duration, service: &str) -> bool {
        self.paths.suspect(now, service)
    }

    /// Returns the addresses that a round of probes connects to, of different zones first, and none
    /// of the upstreams `except`. Equal draws give equal addresses.
    #[must_use]
    pub fn probe_targets(
        &self,
        service: &str,
        except: &[UpstreamId],
        draw: u64,
    ) -> Vec<SocketAddr> {
        let order = RendezvousHash::new(draw);
        let local = self.local_upstreams(service);
        let mut local = local
            .filter(|known| !except.contains(&known.listed.instance))
            .collect::<Vec<_>>();
        local.sort_by_key(|known| order.weight(&known.listed.instance));
        let mut zones = BTreeSet::new();
        let (mut targets, others): (Vec<_>, Vec<_>) = local
            .into_iter()
            .partition(|known| zones.insert(&known.listed.zone));
        targets.extend(others);
        let targets = targets.into_iter().take(Self::PROBED_UPSTREAMS);
        targets.map(|known| known.listed.address).collect()
    }

    /// Records whether a round of probes has reached an upstream of a service. Once the path is back,
    /// its upstreams are no longer passed over for failures that were not theirs.
    pub fn record_probe(&mut self, now: Duration, service: &str, is_reached: bool) -> ProbeOutcome {
        let outcome = self.paths.record_probe(now, service, is_reached);
        if outcome == ProbeOutcome::Regained {
            let of_service = self.upstreams.values_mut();
            of_service
                .filter(|known| *known.listed.service == *service)
                .for_each(KnownUpstream::reset_backoff);
        }
        outcome
    }

    fn local_upstreams(&self, service: &str) -> impl Iterator<Item = &KnownUpstream> {
        let all = self.upstreams.values();
        all.filter(move |known| {
            *known.listed.service == *service
                && self.is_local(known)
                && !known.is_leaving()
                && !known.is_address_reused
        })
    }
}
