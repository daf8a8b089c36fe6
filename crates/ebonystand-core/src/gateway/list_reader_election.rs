use super::*;

/// Decides whether this VM reads the list of upstreams on behalf of its region.
///
/// Each read loads the list's server, whose rate limit covers the whole fleet, so the live VM with
/// the smallest name reads the list and sends it to the others. If no list arrives for some
/// intervals, whatever the cause, the next VMs by name read it too: the reader may be frozen,
/// partitioned or unable to reach the server. Their number doubles with each further interval, so
/// that in a large region the list's server gets a few more reads and not one of every VM. VMs that
/// start together do not know one another at first, and each would read the list as the first one;
/// a VM therefore first waits to discover the others.
#[derive(Clone, Debug)]
pub struct ListReaderElection {
    read_interval: Duration,
    /// When this VM last received the list from a reader, or when it started.
    last_received: Duration,
    /// Largest number of other live VMs seen so far, and when that number was reached.
    peers_seen: (usize, Duration),
    started_at: Duration,
}

impl ListReaderElection {
    /// Shortest time after the start of a VM before it relies on the VMs that it knows of.
    pub const MIN_DISCOVERY_TIME: Duration = Duration::from_millis(500);
    /// Time without a newly discovered VM after which discovery counts as complete.
    const DISCOVERY_QUIET_TIME: Duration = Duration::from_millis(300);
    /// Read intervals without a list after which VMs besides the first read the list.
    const SILENT_INTERVALS: u32 = 3;
    /// VMs that read the list as soon as it is overdue, the first one included.
    const FIRST_READERS: usize = 4;
    /// Most read intervals between two reads of a VM whose reads fail.
    const MAX_BACKOFF_INTERVALS: u32 = 4;

    /// Returns whether this VM has probably discovered all VMs of its region, so that it can tell
    /// which is the first. `others` are the live VMs of the region that it knows of now, and
    /// `has_contact` tells whether it has met any VM of the fleet, or has none to meet: in a large
    /// fleet whose VMs all start together, that can take seconds.
    pub fn has_discovered_peers(
        &mut self,
        now: Duration,
        others: &[VmId],
        has_contact: bool,
    ) -> bool {
        if others.len() > self.peers_seen.0 {
            self.peers_seen = (others.len(), now);
        }
        let (_, since) = self.peers_seen;
        has_contact
            && now >= self.started_at + Self::MIN_DISCOVERY_TIME
            && now >= since + Self::DISCOVERY_QUIET_TIME
    }

    /// Returns whether this VM must read the list now: it is the first of the live VMs in `others`,
    /// or the list has been overdue for long enough for its place among them.
    #[must_use]
    pub fn is_reader(&self, now: Duration, own: &VmId, others: &[VmId]) -> bool {
        let place = others.iter().filter(|other| *other < own).count();
        // Every interval, twice as many VMs read the list as in the one before.
        let doublings = (place / Self::FIRST_READERS).checked_ilog2();
        let waited = doublings.map_or(0, |doublings| doublings + 1);
        place == 0 || self.is_overdue_for(now, Self::SILENT_INTERVALS + waited)
    }

    /// Returns whether no list has been received for several read intervals.
    #[must_use]
    pub fn is_list_overdue(&self, now: Duration) -> bool {
        self.is_overdue_for(now, Self::SILENT_INTERVALS)
    }

    /// Returns the time until the next read, after `failures` failed reads in a row. A server that
    /// refuses reads because it gets too many recovers only if it gets fewer.
    #[must_use]
    pub fn next_read_delay(&self, failures: u32) -> Duration {
        let intervals = 1_u32.checked_shl(failures).unwrap_or(u32::MAX);
        self.read_interval * intervals.min(Self::MAX_BACKOFF_INTERVALS)
    }

    fn is_overdue_for(&self, now: Duration, intervals: u32) -> bool {
        now.saturating_sub(self.last_received) >= self.read_interval * intervals
    }

    /// Records that a list arrived from the VM that reads it.
    pub fn record_list_received(&mut self, now: Duration) {
        self.last_received = now;
    }

    /// Creates the state of a VM that starts at `now` and has received no list; `read_interval` is
    /// the time between two reads.
    #[must_use]
    pub fn new(read_interval: Duration, now: Duration) -> Self {
        Self {
            read_interval,
            last_received: now,
            peers_seen: (0, now),
            started_at: now,
        }
    }
}
