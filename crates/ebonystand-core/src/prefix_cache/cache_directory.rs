use super::*;

/// Directory of the engines that cache shared prompt prefixes.
///
/// A VM learns of them from the answers that it relays, since an engine that has begun an answer
/// has read the whole prompt, and from the reports of other VMs. All entries are hints: an engine
/// may have evicted a prefix for a newer one, and then reads it again as if nothing had been known.
#[derive(Clone, Debug, Default)]
pub struct CacheDirectory {
    /// Newly cached prefixes to be sent to other regions.
    for_other_regions: Vec<CachedPrefix>,
    /// Newly cached prefixes to be sent to VMs of the own region.
    for_region: Vec<CachedPrefix>,
    /// Entries by prefix.
    holders: FxHashMap<PrefixId, Vec<PrefixHolder>>,
    /// When expired entries were last removed.
    last_sweep: Duration,
}

/// Engine that caches a prefix, as seen by the choice of an import source.
#[derive(Clone, Copy, Debug)]
pub struct HolderView<'a> {
    /// Regions that may cache the prefix; `None` if all may.
    pub homes: Option<&'a BTreeSet<RegionId>>,
    /// Short name of the engine.
    pub instance: UpstreamKey,
    /// When the prefix was last used on the engine.
    pub last_used: Duration,
}

/// Entry of the directory: an engine that caches a prefix.
#[derive(Clone, Debug)]
struct PrefixHolder {
    /// Regions that may cache the prefix; `None` if all may.
    homes: Option<BTreeSet<RegionId>>,
    instance: UpstreamKey,
    /// When the entry was last reported by or to the other VMs; `None` if never.
    last_reported: Option<Duration>,
    /// When an answer to a request with this prefix was last known to have begun on the engine.
    last_used: Duration,
}

impl CacheDirectory {
    /// Time without use after which a prefix counts as evicted: at peak load, an engine fills its
    /// memory with other prompts in an estimated 15 to 25 s.
    const PREFIX_LIFETIME: Duration = Duration::from_secs(20);
    /// Most prefixes in the directory: with three engines each, at some 80 bytes per entry, 2 MB.
    /// Further prefixes are not recorded, so engines read them instead of importing them.
    pub const MAX_PREFIXES: usize = 8_192;
    /// Most engines recorded for a prefix. A prefix that all prompts share is soon cached by every
    /// engine, and a few of them are enough to import it from.
    pub const MAX_HOLDERS: usize = 32;
    /// Interval at which a prefix that stays in use is reported again, so that the other VMs do not
    /// drop their entries.
    const REPORT_INTERVAL: Duration = Duration::from_secs(5);
    /// Time after a report in which further reports of the same entry are not passed on: several
    /// VMs that use a prefix at the same time report it before they hear of one another.
    const DUPLICATE_WINDOW: Duration = Duration::from_secs(1);
    /// Time between two removals of expired entries.
    const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

    /// Records that an engine has begun an answer to a prompt with this prefix, and queues a report
    /// if one is due.
    pub fn record_cached(&mut self, now: Duration, cached: &CachedPrefix) {
        let Some(holder) = self.get_or_add_holder(now, cached) else {
            return;
        };
        let is_due = |reported: Duration| now >= reported + Self::REPORT_INTERVAL;
        if !holder.last_reported.is_none_or(is_due) {
            return;
        }
        holder.last_reported = Some(now);
        Self::push_bounded(&mut self.for_other_regions, cached);
        Self::push_bounded(&mut self.for_region, cached);
    }

    /// Removes all entries of engines that are gone or have become cold. All engines are removed in
    /// one pass over the directory, since the engines of a zone become cold together.
    pub fn remove_engines(&mut self, instances: &FxHashSet<UpstreamKey>) {
        if instances.is_empty() {
            return;
        }
        self.holders.retain(|_, holders| {
            holders.retain(|holder| !instances.contains(&holder.instance));
            !holders.is_empty()
        });
    }

    /// Returns the engines that are known to cache a prefix, by entries used recently enough.
    pub fn holders<'a>(
        &'a self,
        now: Duration,
        prefix: PrefixId,
    ) -> impl Iterator<Item = HolderView<'a>> {
        let holders = self.holders.get(&prefix).into_iter().flatten();
        let live = holders.filter(move |holder| Self::is_live(now, holder));
        live.map(|holder| HolderView {
            homes: holder.homes.as_ref(),
            instance: holder.instance,
            last_used: holder.last_used,
        })
    }

    /// Returns whether the engine `instance` is known to cache a prefix.
    #[must_use]
    pub fn is_cached(&self, now: Duration, prefix: PrefixId, instance: &str) -> bool {
        let instance = UpstreamKey::from(instance);
        let mut holders = self.holders(now, prefix);
        holders.any(|holder| holder.instance == instance)
    }

    /// Removes the entries that have not been used for [`Self::PREFIX_LIFETIME`]. Calls within a
    /// second of the last removal do nothing.
    pub fn remove_expired(&mut self, now: Duration) {
        if now < self.last_sweep + Self::SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.holders.retain(|_, holders| {
            holders.retain(|holder| Self::is_live(now, holder));
            !holders.is_empty()
        });
    }

    /// Takes the reports queued for other regions since the last call. They need to be sent to one
    /// VM of each region only, since that one passes them on in its region.
    pub fn take_for_other_regions(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.for_other_regions)
    }

    /// Takes the reports queued for VMs of the own region since the last call.
    pub fn take_for_region(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.for_region)
    }

    /// Records the prefixes that another VM reports, queues those to be passed on, and returns
    /// those not reported before or not recently. `origin` tells which VMs know them already.
    pub fn record_reported(
        &mut self,
        now: Duration,
        cached: Vec<CachedPrefix>,
        origin: CacheNewsOrigin,
    ) -> Vec<CachedPrefix> {
        let mut fresh = Vec::new();
        for cached in cached {
            let Some(holder) = self.get_or_add_holder(now, &cached) else {
                continue;
            };
            let is_fresh = |reported: Duration| now >= reported + Self::DUPLICATE_WINDOW;
            let is_fresh = holder.last_reported.is_none_or(is_fresh);
            holder.last_reported = Some(now);
            if !is_fresh {
                continue;
            }
            match origin {
                CacheNewsOrigin::OtherRegion => Self::push_bounded(&mut self.for_region, &cached),
                CacheNewsOrigin::Relay => {}
                CacheNewsOrigin::Reporter => {
                    Self::push_bounded(&mut self.for_other_regions, &cached)
                }
            }
            fresh.push(cached);
        }
        fresh
    }

    /// Returns the entry of an engine and a prefix with its time of last use updated, or adds one;
    /// `None` if the directory has no room for the prefix or the prefix none for the engine. Once a request that any region may
    /// serve has used the prefix, any region may cache it, and the entry is due to be reported
    /// again.
    fn get_or_add_holder(
        &mut self,
        now: Duration,
        cached: &CachedPrefix,
    ) -> Option<&mut PrefixHolder> {
        let is_full = self.holders.len() >= Self::MAX_PREFIXES;
        if is_full && !self.holders.contains_key(&cached.prefix) {
            return None;
        }
        let holders = self.holders.entry(cached.prefix).or_default();
        let mut known = holders.iter();
        let known = known.position(|known| known.instance == cached.instance);
        if known.is_none() && holders.len() >= Self::MAX_HOLDERS {
            return None;
        }
        let index = known.unwrap_or_else(|| {
            holders.push(PrefixHolder {
                homes: cached.homes.clone(),
                instance: cached.instance,
                last_reported: None,
                last_used: now,
            });
            holders.len() - 1
        });
        let holder = holders.get_mut(index)?;
        holder.last_used = now;
        if cached.homes.is_none() && holder.homes.take().is_some() {
            holder.last_reported = None;
        }
        Some(holder)
    }

    /// Adds a report to a queue. A VM without another region to report to would fill the queue
    /// without end, so it is bounded; a report that does not fit is sent when it is due again.
    fn push_bounded(queue: &mut Vec<CachedPrefix>, cached: &CachedPrefix) {
        if queue.len() < Self::MAX_PREFIXES {
            queue.push(cached.clone());
        }
    }

    /// Returns whether an entry has been used recently enough to count.
    fn is_live(now: Duration, holder: &PrefixHolder) -> bool {
        now.saturating_sub(holder.last_used) < Self::PREFIX_LIFETIME
    }
}
