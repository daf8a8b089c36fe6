use super::*;

/// Lengths of time that the allowance's safety rests on.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms;

impl LeaseTerms {
    /// Longest time that a VM that is not cut off takes to adopt an accepted configuration: 9 s,
    /// and a freeze that goes unnoticed.
    pub const ADOPTION: Duration = Duration::from_secs(12);
    /// A VM that was not called for longer was frozen. It may have missed a configuration that
    /// gave its part to another VM, so it leaves the part unused for [`Self::THAW`].
    pub const FREEZE: Duration = Duration::from_secs(3);
    /// Wait before a VM uses a part that the configuration moved to it. Until then its former
    /// holder may act on an older version: one that skips a version adopts the next one at most
    /// [`Self::ADOPTION`] after its turn, and its leases last [`Self::HOLD`] longer.
    pub const HANDOVER_DELAY: Duration = Duration::from_millis(
        2 * Self::ADOPTION.as_millis() as u64 + Self::HOLD.as_millis() as u64,
    );
    /// Time from a claim, on the claimant's clock, for which what it was granted may be spent: two round
    /// trips between regions.
    pub const GRANT: Duration = Duration::from_millis(300);
    /// Time from a grant, on the holder's clock, by which [`Self::GRANT`] has passed on any clock.
    pub(crate) const GRANT_HOLD: Duration = Duration::from_millis(315);
    /// Time from lending, on the lender's clock, until it takes the lease as ended. The borrower
    /// counts [`Self::LENGTH`] from its ask, which came first, and what it grants of the lease may be
    /// spent [`Self::GRANT`] longer; the rest outweighs clocks that run apart by up to 5,000 ppm each.
    pub const HOLD: Duration = Duration::from_millis(2_100);
    /// Time from an ask, on the borrower's clock, for which the lease may be used. A holder that starts
    /// anew leaves its part unused for [`Self::HOLD`]: 2 s and not 3 s, since after a start of all VMs every
    /// workspace waits for it, and not less, since renewals must outlast lost packets.
    pub const LENGTH: Duration = Duration::from_millis(1_750);
    /// Time in which a VM that was frozen adopts what it missed.
    pub const THAW: Duration = Duration::from_secs(9);
    /// Longest time between two calls of [`Allowance::tick`] on a VM that is not frozen.
    pub const HEARTBEAT: Duration = Duration::from_secs(1);
    /// Time from an ask to the renewal, so that one may be lost.
    pub(crate) const RENEWED: Duration = Duration::from_millis(500);
    /// Renewals of all workspaces happen at multiples of it, so that they share messages.
    pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
    /// Time for an answer beyond the delay of the links.
    pub(crate) const ANSWER: Duration = Duration::from_millis(20);
    /// A workspace not used for longer gives its leases back and is dropped from memory. Well within
    /// [`Self::LENGTH`]: the tokens of a lease that ends by itself are lost.
    pub(crate) const IDLE: Duration = Duration::from_millis(1_500);
    /// Leases of one workspace on one VM beyond which it gives them back and asks for one.
    pub(crate) const LEASES: usize = 32;
    /// Time in which a rate that a recall leaves with its VM fills the capacity left with it.
    pub(crate) const KEPT: Duration = Duration::from_millis(100);
    /// A VM without a request for longer gives all back when a lease is called back.
    pub(crate) const QUIET: Duration = Duration::from_millis(1_000);
    /// Least time between two ticks of a workspace.
    pub(crate) const STEP: Duration = Duration::from_millis(1);
    /// Time between two asks for stock.
    pub(crate) const STOCK: Duration = Duration::from_millis(100);
    /// Time between two recalls of a workspace's leases.
    pub(crate) const RECALL: Duration = Duration::from_millis(50);
    /// Time after which a claim that the holder of the own region has not answered is put to the others too.
    pub(crate) const HEDGE: Duration = Duration::from_millis(40);
    /// Longest time that a claim waits at a holder, so that a grant can be spent when it arrives.
    pub(crate) const CLAIM: Duration = Duration::from_millis(200);
    /// Longest time that a claim waits at a holder whose rate will serve it.
    pub(crate) const QUEUE: Duration = Duration::from_millis(50);
    /// Time for which a holder remembers a grant of which tokens may come back: the longest time
    /// that a request waits for an upstream.
    pub(crate) const REFUND: Duration = Duration::from_secs(15);
}
