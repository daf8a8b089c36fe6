/// Estimate of how many requests the whole fleet sends for each request of this VM.
///
/// Between two load reports a VM sees only its own dispatches. If each VM counted just those,
/// all of them would fill the same upstream, since to each it looks nearly as idle as reported.
/// Counting each own dispatch as many times as the fleet sends requests makes each VM plan for
/// the others, which do the same.
#[derive(Clone, Debug)]
pub(crate) struct FleetLoadFactor {
    cautious: f64,
    factor: f64,
    own: f64,
    reported: f64,
}

impl FleetLoadFactor {
    /// Exponent of the cautious estimate.
    const CAUTION: f64 = 0.75;
    /// Weight of the past against one new report.
    const DECAY: f64 = 0.98;
    /// Upper end of the estimate: past it a VM's own dispatches say too little.
    const HIGHEST: f64 = 64.0;
    /// Requests that must have been seen before the estimate counts.
    const SEEN: f64 = 4.0;

    /// Estimate for decisions that cost something when it is too high: to send away or to refuse.
    ///
    /// Own dispatches are few, and so uneven that with the full estimate one request in six was
    /// sent away on an ordinary day.
    pub(crate) fn cautious_factor(&self) -> f64 {
        self.cautious
    }

    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }

    pub(crate) fn record_report(&mut self, own: u32, reported: u32) {
        self.own = self.own * Self::DECAY + f64::from(own);
        self.reported = self.reported * Self::DECAY + f64::from(reported.max(own));
        self.factor = match self.reported < Self::SEEN {
            true => 1.0,
            false => (self.reported / self.own.max(1.0)).clamp(1.0, Self::HIGHEST),
        };
        self.cautious = self.factor.powf(Self::CAUTION);
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
