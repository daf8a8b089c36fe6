use super::*;

/// Detects availability zones whose upstreams have all become unreachable, from the contacts of all
/// VMs of the region.
///
/// A zone that loses power takes hundreds of upstreams with it. A VM that had to find out for each
/// of them would let a request wait for every one, until the list names them no more.
#[derive(Clone, Debug)]
pub(crate) struct ZoneHealth {
    own: VmId,
    /// Counts of all VMs by zone and interval, the newest last.
    recent: BTreeMap<ZoneId, VecDeque<(u64, ContactCounts)>>,
    /// Last contacts of this VM with each zone that reached an upstream.
    last_reached: BTreeMap<ZoneId, Duration>,
    /// Counts of this VM that have not been sent to the others.
    pending: ZoneContacts,
}

impl ZoneHealth {
    /// Time for which a contact counts.
    const WINDOW: Duration = Duration::from_millis(1_500);
    /// Length of the intervals in which contacts are counted.
    const INTERVAL: Duration = Duration::from_millis(100);
    /// Missed contacts from which a zone may count as lost: a few upstreams that stop together are
    /// no lost zone.
    const MIN_MISSED: u32 = 5;
    /// Missed contacts for each one that reached an upstream, from which a zone counts as lost.
    const MISSED_PER_REACHED: u32 = 4;
    /// One in this many VMs goes on using a lost zone, a different one each time, so that its return
    /// is noticed.
    const VMS_PER_PROBER: u64 = 16;
    /// Time for which a contact of this VM counts for more than what the others tell, who may have
    /// lost their own path.
    const TRUSTED: Duration = Duration::from_millis(300);
    /// Time for which a VM goes on using a lost zone.
    const PROBE_TIME: Duration = Duration::from_millis(500);

    pub(crate) fn new(own: VmId) -> Self {
        Self {
            own,
            recent: BTreeMap::new(),
            last_reached: BTreeMap::new(),
            pending: ZoneContacts::new(),
        }
    }

    /// Records the outcome of a contact of this VM, which the others are told if `is_told`.
    pub(crate) fn record_contact(
        &mut self,
        now: Duration,
        zone: &ZoneId,
        is_reached: bool,
        is_told: bool,
    ) {
        let counts = ContactCounts {
            reached: u32::from(is_reached),
            missed: u32::from(!is_reached),
        };
        self.add(now, zone, counts);
        if is_reached {
            self.last_reached.insert(zone.clone(), now);
        }
        if !is_told {
            return;
        }
        self.pending.entry(zone.clone()).or_default().add(counts);
    }

    /// Records contacts that other VMs report.
    pub(crate) fn record_reported(&mut self, now: Duration, contacts: &ZoneContacts) {
        for (zone, counts) in contacts {
            self.add(now, zone, *counts);
        }
    }

    /// Takes the counts of this VM to be sent to the others: those of zones with a recent miss. Of
    /// any other zone there is nothing to decide.
    pub(crate) fn take_pending(&mut self, now: Duration) -> ZoneContacts {
        let pending = std::mem::take(&mut self.pending);
        let with_misses = pending.into_iter();
        with_misses
            .filter(|(zone, _)| self.recent_counts(now, zone).missed > 0)
            .collect()
    }

    /// Returns the zones that this VM must not use now because their upstreams are unreachable.
    pub(crate) fn lost_zones(&self, now: Duration) -> Vec<&ZoneId> {
        let zones = self.recent.keys();
        zones
            .filter(|zone| self.is_lost(now, zone) && !self.probes(now, zone))
            .collect()
    }

    fn is_lost(&self, now: Duration, zone: &str) -> bool {
        let reached = self.last_reached.get(zone);
        if reached.is_some_and(|at| now < *at + Self::TRUSTED) {
            return false;
        }
        let counts = self.recent_counts(now, zone);
        let enough = counts.reached.saturating_mul(Self::MISSED_PER_REACHED);
        counts.missed >= Self::MIN_MISSED.max(enough)
    }

    /// Returns whether this VM goes on using a lost zone at this time.
    fn probes(&self, now: Duration, zone: &str) -> bool {
        let turn = now.as_millis() / Self::PROBE_TIME.as_millis();
        let turn = RendezvousHash::new(turn as u64);
        let draw = turn.weight(zone) ^ turn.weight(&self.own);
        draw.is_multiple_of(Self::VMS_PER_PROBER)
    }

    fn recent_counts(&self, now: Duration, zone: &str) -> ContactCounts {
        let oldest = Self::interval_at(now.saturating_sub(Self::WINDOW));
        let counts = self.recent.get(zone).into_iter().flatten();
        let counts = counts.filter(|(interval, _)| *interval >= oldest);
        counts.fold(ContactCounts::default(), |mut sum, (_, counts)| {
            sum.add(*counts);
            sum
        })
    }

    fn add(&mut self, now: Duration, zone: &ZoneId, counts: ContactCounts) {
        let interval = Self::interval_at(now);
        let oldest = Self::interval_at(now.saturating_sub(Self::WINDOW));
        let recent = self.recent.entry(zone.clone()).or_default();
        while recent.pop_front_if(|(at, _)| *at < oldest).is_some() {}
        match recent.back_mut() {
            Some((at, sum)) if *at == interval => sum.add(counts),
            _ => recent.push_back((interval, counts)),
        }
    }

    fn interval_at(at: Duration) -> u64 {
        (at.as_millis() / Self::INTERVAL.as_millis()) as u64
    }
}
