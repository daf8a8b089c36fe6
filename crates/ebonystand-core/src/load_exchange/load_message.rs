use super::*;

/// What a VM tells others of its region about the load at upstreams and what engines keep.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LoadMessage {
    /// From a relay to another: the load of the VMs that report to it and its own.
    Group {
        /// What engines keep, news of these VMs.
        #[serde(with = "crate::prefix_cache::cached_news")]
        cached: Vec<CachedPrefix>,
        /// Sum of their loads.
        under_way: UpstreamLoads,
    },
    /// From a relay to a VM that reports to it: the load of the whole region.
    Region {
        /// What engines keep, news of the other VMs.
        #[serde(with = "crate::prefix_cache::cached_news")]
        cached: Vec<CachedPrefix>,
        /// Number of the recipient's report that the sum includes.
        included: u32,
        /// What other regions have told.
        pressures: Vec<ToldPressure>,
        /// Sum of the loads of all VMs, the recipient among them.
        under_way: UpstreamLoads,
    },
    /// From a VM to its relay: its own load.
    Report {
        /// What engines keep, news of this VM.
        #[serde(with = "crate::prefix_cache::cached_news")]
        cached: Vec<CachedPrefix>,
        /// Grows with each report.
        number: u32,
        /// Its load.
        under_way: UpstreamLoads,
    },
}

impl LoadMessage {
    /// Takes out what engines keep, with which VMs know of it.
    pub(crate) fn take_cached(&mut self) -> (Vec<CachedPrefix>, CacheNews) {
        let (cached, news) = match self {
            Self::Group { cached, .. } | Self::Region { cached, .. } => {
                (cached, CacheNews::Relayed)
            }
            Self::Report { cached, .. } => (cached, CacheNews::Reported),
        };
        (std::mem::take(cached), news)
    }
}
