use super::*;

/// Settings of a [`Replica`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaConfig {
    /// Largest difference between the clocks of two VMs over one `election_timeout`. A leader's
    /// lease is shorter by this much than the time during which its voters refuse other candidates.
    pub max_clock_drift: Duration,
    /// Time after a leader's message during which a voter ignores other candidates. A replica that
    /// hears no leader starts an election after one to two times this duration, drawn at random.
    pub election_timeout: Duration,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Identity of this replica.
    pub id: MemberId,
    /// VMs that found the group together. New incarnations of them are admitted without an
    /// operator's request. Must be equal on all of them.
    pub founding_vms: BTreeSet<VmId>,
    /// Whether this replica may found a group. Must be `false` on a VM that has lost its disk: the
    /// VMs that still hold the log may all be unreachable, and a second group would start without
    /// the committed entries.
    pub may_found_group: bool,
    /// Whether the group admits every VM that asks to join and makes up to [`Self::target_voters`]
    /// of them voters. Otherwise it admits only [`Self::founding_vms`] and new incarnations of
    /// members.
    pub admits_any_vm: bool,
    /// Number of committed entries after which the replica requests a new snapshot.
    pub snapshot_threshold: u64,
    /// Number of voters of a group that admits any VM: two for each VM whose simultaneous loss it
    /// must survive, and one more. Further members stay learners until a voter has been silent for
    /// [`Self::REPLACE_VOTER_AFTER`].
    pub target_voters: usize,
}

impl ReplicaConfig {
    /// Silence of a voter after which a learner replaces it. Longer than an election or the restart
    /// of a process, and short enough that the replacement is done before a second loss is
    /// expected.
    pub const REPLACE_VOTER_AFTER: Duration = Duration::from_secs(3);

    /// Returns how long a leader may act on its own after it sent a heartbeat that a majority
    /// answered.
    #[must_use]
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout.saturating_sub(self.max_clock_drift)
    }

    /// Returns settings for links with latencies of tens of milliseconds: a heartbeat every 150 ms,
    /// an election after 1 s to 2 s of silence, and a lease of 900 ms. The caller replaces the
    /// incarnation, which is 0, by the one in the data folder.
    #[must_use]
    pub fn new(vm: VmId, founding_vms: BTreeSet<VmId>) -> Self {
        Self {
            max_clock_drift: Duration::from_millis(100),
            election_timeout: Duration::from_secs(1),
            heartbeat_interval: Duration::from_millis(150),
            id: MemberId { incarnation: 0, vm },
            may_found_group: true,
            founding_vms,
            admits_any_vm: false,
            snapshot_threshold: 4_096,
            target_voters: 5,
        }
    }
}
