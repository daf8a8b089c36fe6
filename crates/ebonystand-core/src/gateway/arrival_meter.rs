use super::*;

/// Requests of a service that arrived from other regions lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalMeter {
    /// Times of the arrivals within the last [`RegionBudget::PERIOD`].
    arrivals: VecDeque<Duration>,
    /// Latest arrival from each region.
    latest: BTreeMap<RegionId, Duration>,
}

impl ArrivalMeter {
    /// Most arrivals that are counted; a VM serves fewer in a period.
    const MAX_COUNTED: usize = 1_024;

    /// Records a request that arrives from `region`.
    pub(crate) fn record(&mut self, now: Duration, region: &RegionId) {
        self.latest.insert(region.clone(), now);
        while self
            .arrivals
            .front()
            .is_some_and(|at| !Self::is_recent(now, *at))
        {
            self.arrivals.pop_front();
        }
        if self.arrivals.len() < Self::MAX_COUNTED {
            self.arrivals.push_back(now);
        }
    }

    /// Returns the number of requests that arrived within the last [`RegionBudget::PERIOD`].
    pub(crate) fn count(&self, now: Duration) -> u32 {
        let recent = self.arrivals.iter().rev();
        let recent = recent.take_while(|at| Self::is_recent(now, **at));
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a request arrived from `region` within the last [`RegionBudget::PERIOD`].
    pub(crate) fn has_heard_from(&self, now: Duration, region: &RegionId) -> bool {
        let latest = self.latest.get(region);
        latest.is_some_and(|at| Self::is_recent(now, *at))
    }

    fn is_recent(now: Duration, at: Duration) -> bool {
        now < at + RegionBudget::PERIOD
    }
}
