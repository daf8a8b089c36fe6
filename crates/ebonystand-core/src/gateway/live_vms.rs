use super::*;

/// VMs of the own region, from which each VM derives without a message which of them send to an
/// upstream that takes few requests.
#[derive(Clone, Debug)]
pub struct LiveVms {
    own: VmId,
    all: Vec<VmId>,
    /// VMs that are no longer seen, with the time until which they count as senders.
    departed: BTreeMap<VmId, Duration>,
    /// Time of the first view.
    first_view: Option<Duration>,
}

impl LiveVms {
    /// Most VMs that send to one cold upstream. Each spaces its requests on its own, so any second
    /// can have one request more per VM than the VM's share of the rate. With three VMs, that stays
    /// below one and a half times the rate plus three, which cold engines tolerate; with more,
    /// requests of several VMs that coincide would exceed it.
    const MAX_COLD_SENDERS: usize = 3;
    /// Time for which a VM that is no longer seen counts as a sender. VMs on the two sides of a cut
    /// would otherwise each take over the shares of the other side.
    const DEPARTED_HOLD: Duration = Duration::from_secs(15);
    /// Time after the first view until which a VM takes no more than its least share, since it may
    /// not have met the others yet.
    const DISCOVERY_TIME: Duration = Duration::from_secs(5);

    /// Creates the set with this VM as its only member.
    #[must_use]
    pub fn new(own: VmId) -> Self {
        let all = vec![own.clone()];
        Self {
            own,
            all,
            departed: BTreeMap::new(),
            first_view: None,
        }
    }

    /// Replaces the live VMs. This VM is always a member, even if `live` lacks it.
    pub fn update_live(&mut self, now: Duration, live: impl IntoIterator<Item = VmId>) {
        let mut all: Vec<_> = live.into_iter().filter(|vm| *vm != self.own).collect();
        all.push(self.own.clone());
        all.sort_unstable();
        let before = std::mem::replace(&mut self.all, all);
        let gone = before
            .into_iter()
            .filter(|vm| self.all.binary_search(vm).is_err());
        self.departed
            .extend(gone.map(|vm| (vm, now + Self::DEPARTED_HOLD)));
        self.departed
            .retain(|vm, _| self.all.binary_search(vm).is_err());
        self.first_view.get_or_insert(now);
    }

    /// Forgets VMs that have been out of sight for [`Self::DEPARTED_HOLD`], and returns whether the
    /// shares of limits change with time alone.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let before = self.departed.len();
        self.departed.retain(|_, until| now < *until);
        self.departed.len() != before || self.is_discovering(now)
    }

    /// Returns the number of VMs that send to `upstream` while it is cold; `None` if this VM is not
    /// one of them. VMs with equal views agree without a message, and different upstreams get
    /// different senders.
    pub(crate) fn cold_sender_count(&self, upstream: &str) -> Option<u32> {
        let senders = self.member_count().min(Self::MAX_COLD_SENDERS);
        (self.rank(upstream) < senders).then_some(senders as u32)
    }

    /// Returns this VM's part in sending to an upstream that has a limit.
    pub(crate) fn limit_share(
        &self,
        now: Duration,
        upstream: &str,
        limit: UpstreamLimit,
    ) -> LimitShare {
        let members = self.member_count();
        let most = limit.max_senders();
        let senders = match self.is_discovering(now) {
            true => most,
            false => members.min(most),
        };
        let interval = |vms: usize| limit.interval() * u32::try_from(vms).unwrap_or(u32::MAX);
        let stale_interval = interval(members);
        LimitShare {
            interval: interval(senders),
            is_sender: self.rank(upstream) < most,
            stale_interval,
            stale_phase: stale_interval.mul_f64(self.spread(upstream)),
        }
    }

    /// Returns the name of this VM.
    pub(crate) fn own(&self) -> &VmId {
        &self.own
    }

    /// Number of VMs that count as senders, those included that have gone out of sight lately.
    pub(crate) fn member_count(&self) -> usize {
        self.all.len() + self.departed.len()
    }

    /// Number of VMs that come before this one as senders to `upstream`.
    fn rank(&self, upstream: &str) -> usize {
        let rendezvous = RendezvousHash::new(xxh3_64(upstream.as_bytes()));
        let own = rendezvous.weight(&self.own);
        let members = self.all.iter().chain(self.departed.keys());
        members.filter(|vm| rendezvous.weight(vm) > own).count()
    }

    /// Fraction from 0 to 1 that differs from VM to VM.
    fn spread(&self, upstream: &str) -> f64 {
        let rendezvous = RendezvousHash::new(xxh3_64(upstream.as_bytes()));
        rendezvous.weight(&self.own) as f64 / u64::MAX as f64
    }

    fn is_discovering(&self, now: Duration) -> bool {
        self.first_view
            .is_none_or(|first| now < first + Self::DISCOVERY_TIME)
    }
}
