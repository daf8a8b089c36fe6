use super::*;

/// Decides whether this VM reads the list of upstreams on behalf of its region.
///
/// Each read loads the list's server, whose rate limit covers the whole fleet, so the live VM with
/// the smallest name reads the list and sends it to the others. A VM that has received no list for
/// some intervals reads it itself, whatever the cause: the reader may be frozen, partitioned or
/// unable to reach the server. VMs that start together do not know one another at first, and each
/// would read the list as the first one; a VM therefore first waits to discover the others.
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
    /// Read intervals without a list after which a VM reads the list itself.
    const SILENT_INTERVALS: u32 = 3;

    /// Returns whether this VM has probably discovered all VMs of its region, so that it can tell
    /// which is the first. `others` are the live VMs that it knows of now.
    pub fn has_discovered_peers(&mut self, now: Duration, others: &[VmId]) -> bool {
        if others.len() > self.peers_seen.0 {
            self.peers_seen = (others.len(), now);
        }
        let (_, since) = self.peers_seen;
        now >= self.started_at + Self::MIN_DISCOVERY_TIME
            && now >= since + Self::DISCOVERY_QUIET_TIME
    }

    /// Returns whether this VM must read the list now: it is the first of the live VMs in `others`,
    /// or the list is overdue.
    #[must_use]
    pub fn is_reader(&self, now: Duration, own: &VmId, others: &[VmId]) -> bool {
        let is_first = others.iter().all(|other| own <= other);
        is_first || self.is_list_overdue(now)
    }

    /// Returns whether no list has been received for several read intervals.
    #[must_use]
    pub fn is_list_overdue(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_received) >= self.read_interval * Self::SILENT_INTERVALS
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
