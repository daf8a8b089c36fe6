use super::*;

/// Message between VMs of a region about the requests in flight at upstreams, the prefixes that
/// engines cache, the limits that upstreams name and their speeds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LoadMessage {
    /// Contacts with the upstreams of zones since the last message; relays pass it on.
    Contacts {
        /// Counts of the zones in which an upstream was lately not reached.
        zones: ZoneContacts,
    },
    /// From a relay to another relay: the load of the VMs that report to it, and its own.
    Group {
        /// Newly cached prefixes that the relay has learned of since its last message, except from
        /// other relays.
        #[serde(with = "crate::prefix_cache::cached_news")]
        cached: Vec<CachedPrefix>,
        /// Requests in flight of the relay and the VMs that report to it, as sums by upstream.
        under_way: UpstreamLoads,
    },
    /// From a relay to a VM that reports to it: the load of the whole region.
    Region {
        /// Newly cached prefixes that the relay has learned of since its last message.
        #[serde(with = "crate::prefix_cache::cached_news")]
        cached: Vec<CachedPrefix>,
        /// Number of the recipient's latest report that the sum includes, so that the recipient can
        /// subtract its own load.
        included: u32,
        /// Latencies that other regions have reported.
        region_latencies: Vec<RelayedLatency>,
        /// Sum of the requests in flight of all VMs, including the recipient's, by upstream.
        under_way: UpstreamLoads,
    },
    /// From a VM to its relay: its own load.
    Report {
        /// Newly cached prefixes known to this VM.
        #[serde(with = "crate::prefix_cache::cached_news")]
        cached: Vec<CachedPrefix>,
        /// Report number, which grows with each report.
        number: u32,
        /// Requests that the VM has in flight, by upstream.
        under_way: UpstreamLoads,
    },
    /// What upstreams said of their limits; relays pass it on.
    Limits {
        /// News since the last message.
        news: Vec<LimitNews>,
    },
    /// Speeds of upstreams; relays pass them on.
    Speeds {
        /// News since the last message.
        news: SpeedNews,
    },
}

impl LoadMessage {
    /// Most bytes that one upstream's load or one cached prefix is encoded in.
    const MAX_ENTRY_BYTES: usize = 16;
    /// Most bytes that the rest of the message is encoded in, without the latencies.
    const MAX_HEADER_BYTES: usize = 16;
    /// Most bytes that another region's latency for one service is encoded in.
    const MAX_LATENCY_BYTES: usize = 80;

    /// Returns this message with the cached prefixes of `older`, which was not sent, put before its
    /// own. The loads of `older` are outdated and dropped, and so are the oldest prefixes beyond
    /// [`CacheDirectory::MAX_PREFIXES`]. Contacts are added up. Of limits and speeds, the newest word of each upstream is kept.
    #[must_use]
    pub fn merge_unsent(mut self, mut older: Self) -> Self {
        if let (Self::Contacts { zones }, Self::Contacts { zones: older }) = (&mut self, &older) {
            add_contacts(zones, older);
            return self;
        }
        if let (Self::Limits { news }, Self::Limits { news: older }) = (&mut self, &mut older) {
            older.retain(|other| news.iter().all(|news| news.upstream != other.upstream));
            older.append(news);
            let excess = older.len().saturating_sub(LimitNews::MAX_IN_MESSAGE);
            older.drain(..excess);
            std::mem::swap(news, older);
            return self;
        }
        if let (Self::Speeds { news }, Self::Speeds { news: older }) = (&mut self, &mut older) {
            news.merge_older(std::mem::take(older));
            return self;
        }
        let (mut merged, _) = older.take_cached();
        let Some(cached) = self.cached_mut() else {
            return self;
        };
        merged.append(cached);
        let excess = merged.len().saturating_sub(CacheDirectory::MAX_PREFIXES);
        merged.drain(..excess);
        *cached = merged;
        self
    }

    /// Returns an upper bound of the encoded length in bytes.
    #[must_use]
    pub fn max_encoded_len(&self) -> usize {
        let (cached, region_latencies, under_way) = match self {
            Self::Contacts { zones } => {
                return Self::MAX_HEADER_BYTES + zones.len() * ContactCounts::MAX_BYTES;
            }
            Self::Limits { news } => {
                return Self::MAX_HEADER_BYTES + news.len() * LimitNews::MAX_BYTES;
            }
            Self::Speeds { news } => {
                return Self::MAX_HEADER_BYTES + news.len() * SpeedNews::MAX_ENTRY_BYTES;
            }
            Self::Group { cached, under_way }
            | Self::Report {
                cached, under_way, ..
            } => (cached.len(), 0, under_way.len()),
            Self::Region {
                cached,
                region_latencies,
                under_way,
                ..
            } => (cached.len(), region_latencies.len(), under_way.len()),
        };
        Self::MAX_HEADER_BYTES
            + (cached + under_way) * Self::MAX_ENTRY_BYTES
            + region_latencies * Self::MAX_LATENCY_BYTES
    }

    fn cached_mut(&mut self) -> Option<&mut Vec<CachedPrefix>> {
        match self {
            Self::Group { cached, .. }
            | Self::Region { cached, .. }
            | Self::Report { cached, .. } => Some(cached),
            Self::Contacts { .. } | Self::Limits { .. } | Self::Speeds { .. } => None,
        }
    }

    /// Takes the cached prefixes out of the message, with their origin.
    pub(crate) fn take_cached(&mut self) -> (Vec<CachedPrefix>, CacheNewsOrigin) {
        let (cached, origin) = match self {
            Self::Group { cached, .. } | Self::Region { cached, .. } => {
                (cached, CacheNewsOrigin::Relay)
            }
            Self::Report { cached, .. } => (cached, CacheNewsOrigin::Reporter),
            Self::Contacts { .. } | Self::Limits { .. } | Self::Speeds { .. } => {
                return (Vec::new(), CacheNewsOrigin::Relay);
            }
        };
        (std::mem::take(cached), origin)
    }
}

/// Adds the counts of each zone.
pub(crate) fn add_contacts(sums: &mut ZoneContacts, contacts: &ZoneContacts) {
    for (zone, counts) in contacts {
        sums.entry(zone.clone()).or_default().add(*counts);
    }
}
