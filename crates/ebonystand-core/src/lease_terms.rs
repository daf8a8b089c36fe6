use super::*;

/// Time limits that the safety of leases and grants depends on, and limits on their traffic.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms;

impl LeaseTerms {
    /// Longest time that a connected VM takes to adopt a committed configuration: 9 s, plus a
    /// freeze too short to be detected.
    pub const MAX_ADOPTION_DELAY: Duration = Duration::from_secs(12);
    /// Time between two calls after which a VM counts as frozen. It may have missed a configuration
    /// that gave its part to another VM, so it leaves the part unused for [`Self::THAW_DELAY`].
    pub const FREEZE_THRESHOLD: Duration = Duration::from_secs(3);
    /// Time that a VM waits before it uses a part that the configuration moved to it. The former
    /// holder may act on an older version until then: one that misses a version adopts the next at
    /// most [`Self::MAX_ADOPTION_DELAY`] after it is published, and its leases last up to
    /// [`Self::LENDER_TERM`] longer.
    pub const HANDOVER_DELAY: Duration = Duration::from_millis(
        2 * Self::MAX_ADOPTION_DELAY.as_millis() as u64 + Self::LENDER_TERM.as_millis() as u64,
    );
    /// Time from a claim, on the claimant's clock, for which its grant may be spent: two round
    /// trips between regions.
    pub const GRANT_TERM: Duration = Duration::from_millis(300);
    /// Time from a grant, on the holder's clock, by which [`Self::GRANT_TERM`] has elapsed on every
    /// clock.
    pub(crate) const HOLDER_GRANT_TERM: Duration = Duration::from_millis(315);
    /// Time from lending, on the lender's clock, until it treats the lease as expired. The borrower
    /// counts [`Self::BORROWER_TERM`] from its ask, which came earlier, and what it grants from the
    /// lease may be spent for [`Self::GRANT_TERM`] longer. The remainder covers clocks that drift
    /// apart by up to 5,000 ppm each.
    pub const LENDER_TERM: Duration = Duration::from_millis(2_100);
    /// Time from an ask, on the borrower's clock, for which the lease may be used. A restarted
    /// holder leaves its part unused for [`Self::LENDER_TERM`]: 2 s and not 3 s, since after a
    /// restart of all VMs every workspace waits for it, and not less, since renewals must survive
    /// lost packets.
    pub const BORROWER_TERM: Duration = Duration::from_millis(1_750);
    /// Time that a VM needs after a freeze to adopt the configurations it missed.
    pub const THAW_DELAY: Duration = Duration::from_secs(9);
    /// Longest time between two calls of [`Allowance::tick`] on a VM that is not frozen.
    pub const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);
    /// Time from an ask until the lease is renewed, short enough that one renewal may be lost.
    pub(crate) const RENEWAL_DELAY: Duration = Duration::from_millis(500);
    /// Interval on whose multiples the leases of all workspaces are renewed, so that they share
    /// messages.
    pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
    /// Time allowed for an answer on top of the links' delays.
    pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(20);
    /// Time without a request after which a workspace returns its leases and is dropped from
    /// memory. It is well below [`Self::BORROWER_TERM`], since the tokens of a lease that expires
    /// are lost.
    pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
    /// Number of leases of one workspace on one VM above which it returns them and asks for a
    /// single one.
    pub(crate) const MAX_LEASES: usize = 32;
    /// Time in which the rate that a recall leaves with a borrower fills the capacity left with it.
    pub(crate) const RECALL_FILL_TIME: Duration = Duration::from_millis(100);
    /// Time without a request after which a VM answers a recall by returning everything.
    pub(crate) const QUIET_THRESHOLD: Duration = Duration::from_millis(1_000);
    /// Shortest time between two ticks of a workspace.
    pub(crate) const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
    /// Shortest time between two rounds of asks that prefetch leases.
    pub(crate) const PREFETCH_INTERVAL: Duration = Duration::from_millis(100);
    /// Shortest time between two recalls of a workspace's leases.
    pub(crate) const RECALL_INTERVAL: Duration = Duration::from_millis(50);
    /// Time that the own region's holder has to answer a claim before the other holders are asked
    /// too.
    pub(crate) const HEDGE_DELAY: Duration = Duration::from_millis(40);
    /// Longest time that a claim waits at a holder. It leaves time for the grant to arrive before
    /// it expires.
    pub(crate) const MAX_CLAIM_WAIT: Duration = Duration::from_millis(200);
    /// Longest time that a claim waits at a holder for the rate to serve it.
    pub(crate) const MAX_QUEUE_WAIT: Duration = Duration::from_millis(50);
    /// Time that a holder remembers an expired grant for refunds: the longest time that a request
    /// waits for an upstream.
    pub(crate) const REFUND_WINDOW: Duration = Duration::from_secs(15);
}
