/// Estimate of how many requests the whole fleet sends for each request that this VM sends.
///
/// Between two load reports a VM sees only its own dispatches. If each VM counted just those, all
/// of them would fill the same upstream, since to each it looks nearly as idle as reported. A VM
/// that counts each own dispatch once for every request of the fleet anticipates the others, which
/// do the same.
#[derive(Clone, Debug)]
pub(crate) struct FleetLoadFactor {
    /// Value of [`Self::cautious_factor`], which is the factor raised to
    /// [`Self::CAUTIOUS_EXPONENT`].
    cautious: f64,
    factor: f64,
    /// Decayed sum of this VM's requests in flight at the reporting upstreams.
    own: f64,
    /// Decayed sum of the requests that the upstreams reported.
    reported: f64,
}

impl FleetLoadFactor {
    /// Exponent that turns the factor into the cautious one.
    const CAUTIOUS_EXPONENT: f64 = 0.75;
    /// Weight of the earlier sums at each new report.
    const DECAY: f64 = 0.98;
    /// Upper limit of the factor. Beyond it, a VM's own dispatches are too few to tell anything.
    const MAX_FACTOR: f64 = 64.0;
    /// Decayed sum of reported requests from which the estimate is used.
    const MIN_REPORTED: f64 = 4.0;

    /// Factor for decisions that are costly if the estimate is too high: sending a request to
    /// another region or refusing it.
    ///
    /// A VM's own dispatches are few and uneven: with the full factor, one request in six is sent
    /// to another region under ordinary load.
    pub(crate) fn cautious_factor(&self) -> f64 {
        self.cautious
    }

    /// Estimated number of the fleet's requests for each request of this VM, at least 1.
    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }

    /// Records an upstream's load report: `own` requests of this VM are in flight there, of
    /// `reported` in all.
    pub(crate) fn record_report(&mut self, own: u32, reported: u32) {
        self.own = self.own * Self::DECAY + f64::from(own);
        self.reported = self.reported * Self::DECAY + f64::from(reported.max(own));
        self.factor = match self.reported < Self::MIN_REPORTED {
            true => 1.0,
            false => (self.reported / self.own.max(1.0)).clamp(1.0, Self::MAX_FACTOR),
        };
        self.cautious = self.factor.powf(Self::CAUTIOUS_EXPONENT);
    }
}

impl Default for FleetLoadFactor {
    fn default() -> Self {
        Self {
            cautious: 1.0,
            factor: 1.0,
            own: 0.0,
            reported: 0.0,
        }
    }
}
