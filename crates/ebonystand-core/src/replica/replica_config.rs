use super::*;

/// Settings of a [`Replica`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaConfig {
    /// Most that the clocks of two VMs may differ over one `election_timeout`. A leader's lease is
    /// that much shorter than the time for which its voters refuse another candidate.
    pub clock_drift: Duration,
    /// For this long after a leader's message a voter helps no other candidate; without one it
    /// becomes a candidate itself after once to twice this time.
    pub election_timeout: Duration,
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// This replica.
    pub id: MemberId,
    /// VMs that found the group, and whose new incarnations are taken in without being asked.
    /// Equal on all of them.
    pub members: BTreeSet<VmId>,
    /// Whether this replica may found a group. A VM that has lost its disk must not: those that
    /// still hold the log may all be out of its reach.
    pub may_found: bool,
    /// Whether any VM of the fleet that asks is taken in, up to [`Self::voters`]. Otherwise only
    /// [`Self::members`] and new incarnations of members are.
    pub open: bool,
    /// Committed entries after which a snapshot is asked for.
    pub snapshot_threshold: u64,
    /// Voters that an open group aims at: twice the VMs that may be lost at once and one. Others
    /// that ask stay learners until a voter is lost for [`Self::REPLACE_AFTER`].
    pub voters: usize,
}

impl ReplicaConfig {
    /// Silence of a voter after which a learner takes its place. Longer than an election and the
    /// restart of a process, and shorter than the time in which a second loss is planned for.
    pub const REPLACE_AFTER: Duration = Duration::from_secs(3);

    /// How long a leader may act after it sent a heartbeat that a majority answered.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.election_timeout.saturating_sub(self.clock_drift)
    }

    /// Settings for links of tens of milliseconds: a heartbeat every 150 ms, an election after 1 s
    /// to 2 s, a lease of 900 ms. The incarnation is 0, to be replaced by the data folder's.
    #[must_use]
    pub fn new(vm: VmId, members: BTreeSet<VmId>) -> Self {
        Self {
            clock_drift: Duration::from_millis(100),
            election_timeout: Duration::from_secs(1),
            heartbeat: Duration::from_millis(150),
            id: MemberId { incarnation: 0, vm },
            may_found: true,
            members,
            open: false,
            snapshot_threshold: 4_096,
            voters: 5,
        }
    }
}
