use super::*;

/// State of an upstream as the router of one VM tracks it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    pub(crate) address: SocketAddr,
    pub(crate) circuit: CircuitBreaker,
    /// Sequence number of the upstream's last cache event.
    pub(crate) cache_sequence: u64,
    pub(crate) cost: u64,
    /// Counter that is incremented when the upstream's caches may be lost, which invalidates older
    /// prefix hints.
    pub(crate) generation: u32,
    pub(crate) id: UpstreamId,
    pub(crate) is_in_own_region: bool,
    pub(crate) is_in_own_zone: bool,
    pub(crate) leaving: bool,
    pub(crate) load: ObservedLoad,
    /// Time until which the upstream has asked this VM to send nothing.
    pub(crate) paused_until: Duration,
    pub(crate) region: u32,
    pub(crate) speed: u64,
    /// Time at which the upstream became available with cold caches; none if it was never cold.
    pub(crate) cold_since: Option<Duration>,
}

impl UpstreamState {
    /// Share of its speed that a cold upstream starts with.
    const COLD_SPEED_SHARE: f64 = 0.2;

    /// Whether the upstream may get a request: it is neither leaving, pausing nor `excluded`, and its
    /// circuit breaker allows a dispatch.
    pub(crate) fn allows_dispatch(&self, now: Duration, excluded: &[UpstreamId]) -> bool {
        !self.leaving
            && now >= self.paused_until
            && self.circuit.allows_dispatch(now)
            && !excluded.contains(&self.id)
    }

    pub(crate) fn new(id: &UpstreamId, upstream: &Upstream) -> Self {
        Self {
            address: upstream.address,
            cache_sequence: 0,
            circuit: CircuitBreaker::default(),
            cold_since: None,
            cost: upstream.cost,
            generation: 0,
            id: id.clone(),
            is_in_own_region: false,
            is_in_own_zone: false,
            leaving: upstream.leaving,
            load: ObservedLoad::default(),
            paused_until: Duration::ZERO,
            region: 0,
            speed: upstream.speed,
        }
    }

    /// Restarts slow start and invalidates the prefix hints to the upstream.
    pub(crate) fn mark_cold(&mut self, now: Duration) {
        self.cold_since = Some(now);
        self.generation = self.generation.wrapping_add(1);
    }

    /// Share of the upstream's speed to count on, from [`Self::COLD_SPEED_SHARE`] to 1.
    pub(crate) fn slow_start_factor(&self, now: Duration, slow_start: Duration) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let elapsed = now.saturating_sub(since).as_secs_f64();
        let warmed = elapsed / slow_start.as_secs_f64().max(f64::MIN_POSITIVE);
        (Self::COLD_SPEED_SHARE + (1.0 - Self::COLD_SPEED_SHARE) * warmed).min(1.0)
    }
}
