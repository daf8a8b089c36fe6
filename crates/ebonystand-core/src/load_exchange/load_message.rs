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
    /// Bytes of an upstream's load, and of a word on what an engine keeps, as they are encoded at most.
    const ENTRY_BYTES: usize = 16;
    /// Bytes of the rest, without what other regions told.
    const REST_BYTES: usize = 16;
    /// Bytes of what another region told of a service.
    const PRESSURE_BYTES: usize = 64;

    /// The newer state in the place of `older`, which was not sent: news of both on what engines keep.
    #[must_use]
    pub fn after(mut self, mut older: Self) -> Self {
        let (mut news, _) = older.take_cached();
        let cached = self.cached_mut();
        news.append(cached);
        let beyond = news.len().saturating_sub(CacheDirectory::MOST);
        news.drain(..beyond);
        *cached = news;
        self
    }

    /// Bytes that it is encoded in at most.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let (cached, pressures, under_way) = match self {
            Self::Group { cached, under_way }
            | Self::Report {
                cached, under_way, ..
            } => (cached.len(), 0, under_way.len()),
            Self::Region {
                cached,
                pressures,
                under_way,
                ..
            } => (cached.len(), pressures.len(), under_way.len()),
        };
        Self::REST_BYTES
            + (cached + under_way) * Self::ENTRY_BYTES
            + pressures * Self::PRESSURE_BYTES
    }

    fn cached_mut(&mut self) -> &mut Vec<CachedPrefix> {
        match self {
            Self::Group { cached, .. }
            | Self::Region { cached, .. }
            | Self::Report { cached, .. } => cached,
        }
    }

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
