use super::*;

/// Which engines keep which shared beginnings of prompts.
///
/// A VM knows it of the answers that it relayed: an engine that has begun an answer has read the whole
/// prompt. The rest it is told by the other VMs. All of it is a hint: an engine may have dropped a
/// beginning for a newer one, and then reads it again as if nothing had been known.
#[derive(Clone, Debug, Default)]
pub struct CacheDirectory {
    /// What VMs of other regions are still to be told.
    for_others: Vec<CachedPrefix>,
    /// What VMs of the own region are still to be told.
    for_region: Vec<CachedPrefix>,
    holders: FxHashMap<PrefixId, Vec<Holder>>,
    swept: Duration,
}

/// An engine that keeps a beginning, as far as the choice of one that hands it out looks at it.
#[derive(Clone, Copy, Debug)]
pub struct Export<'a> {
    /// Regions that may keep the beginning; `None` if all may.
    pub homes: Option<&'a BTreeSet<RegionId>>,
    /// The engine.
    pub instance: UpstreamKey,
    /// When the beginning was last used there.
    pub used: Duration,
}

/// An engine that keeps a beginning.
#[derive(Clone, Debug)]
struct Holder {
    /// Regions that may keep what it keeps; `None` if all may.
    homes: Option<BTreeSet<RegionId>>,
    instance: UpstreamKey,
    /// When the other VMs were told of it last; none if they never were.
    told: Option<Duration>,
    /// When a request with this beginning was last known to have begun there.
    used: Duration,
}

impl CacheDirectory {
    /// A beginning that has not been used for so long counts as dropped: an engine at its peak fills
    /// its memory with other prompts in an estimated 15 to 25 s.
    const LIFE: Duration = Duration::from_secs(20);
    /// Beginnings that are known at most: with three engines each, of some 80 bytes, 2 MB. Further ones
    /// are read as if engines handed nothing over.
    pub const MOST: usize = 8_192;
    /// Time after which the others are told again of a beginning that goes on being used, so that they
    /// hold it for kept as long as it is.
    const TOLD_EVERY: Duration = Duration::from_secs(5);
    /// Several VMs that use a beginning at the same time tell of it before they hear of each other; what was
    /// told within this time is not passed on.
    const FRESH_AFTER: Duration = Duration::from_secs(1);
    /// Time between two looks for what counts as dropped.
    const SWEEP_EVERY: Duration = Duration::from_secs(1);

    /// Notes that an engine has begun an answer to a prompt with this beginning.
    pub fn begun(&mut self, now: Duration, cached: &CachedPrefix) {
        let Some(holder) = self.holder(now, cached) else {
            return;
        };
        let is_due = |told: Duration| now >= told + Self::TOLD_EVERY;
        if !holder.told.is_none_or(is_due) {
            return;
        }
        holder.told = Some(now);
        Self::tell(&mut self.for_others, cached);
        Self::tell(&mut self.for_region, cached);
    }

    /// Forgets all that engines keep: they are gone, or have become cold. All are forgotten in one pass over
    /// what is known, since a zone's engines become cold together.
    pub fn forget(&mut self, instances: &FxHashSet<UpstreamKey>) {
        if instances.is_empty() {
            return;
        }
        self.holders.retain(|_, holders| {
            holders.retain(|holder| !instances.contains(&holder.instance));
            !holders.is_empty()
        });
    }

    /// Engines that keep a beginning.
    pub fn holders<'a>(
        &'a self,
        now: Duration,
        prefix: PrefixId,
    ) -> impl Iterator<Item = Export<'a>> {
        let holders = self.holders.get(&prefix).into_iter().flatten();
        let live = holders.filter(move |holder| Self::is_live(now, holder));
        live.map(|holder| Export {
            homes: holder.homes.as_ref(),
            instance: holder.instance,
            used: holder.used,
        })
    }

    /// Whether an engine keeps a beginning.
    #[must_use]
    pub fn keeps(&self, now: Duration, prefix: PrefixId, instance: &str) -> bool {
        let instance = UpstreamKey::from(instance);
        let mut holders = self.holders(now, prefix);
        holders.any(|export| export.instance == instance)
    }

    /// Forgets what has not been used for long.
    pub fn sweep(&mut self, now: Duration) {
        if now < self.swept + Self::SWEEP_EVERY {
            return;
        }
        self.swept = now;
        self.holders.retain(|_, holders| {
            holders.retain(|holder| Self::is_live(now, holder));
            !holders.is_empty()
        });
    }

    /// What VMs of other regions are to be told since the last call. One of each region is enough: it
    /// tells the others there.
    pub fn take_for_others(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.for_others)
    }

    /// What VMs of the own region are to be told since the last call.
    pub fn take_for_region(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.for_region)
    }

    /// Takes what another VM tells; what the own region has not just been told, and is to be.
    pub fn told(
        &mut self,
        now: Duration,
        cached: Vec<CachedPrefix>,
        news: CacheNews,
    ) -> Vec<CachedPrefix> {
        let mut fresh = Vec::new();
        for cached in cached {
            let Some(holder) = self.holder(now, &cached) else {
                continue;
            };
            let is_fresh = |told: Duration| now >= told + Self::FRESH_AFTER;
            let is_fresh = holder.told.is_none_or(is_fresh);
            holder.told = Some(now);
            if !is_fresh {
                continue;
            }
            match news {
                CacheNews::Away => Self::tell(&mut self.for_region, &cached),
                CacheNews::Relayed => {}
                CacheNews::Reported => Self::tell(&mut self.for_others, &cached),
            }
            fresh.push(cached);
        }
        fresh
    }

    /// The account of an engine and a beginning that it keeps; `None` if there are too many. What
    /// a request without homes has used as well belongs to that one, too.
    fn holder(&mut self, now: Duration, cached: &CachedPrefix) -> Option<&mut Holder> {
        let is_full = self.holders.len() >= Self::MOST;
        if is_full && !self.holders.contains_key(&cached.prefix) {
            return None;
        }
        let holders = self.holders.entry(cached.prefix).or_default();
        let mut known = holders.iter();
        let known = known.position(|known| known.instance == cached.instance);
        let index = known.unwrap_or_else(|| {
            holders.push(Holder {
                homes: cached.homes.clone(),
                instance: cached.instance,
                told: None,
                used: now,
            });
            holders.len() - 1
        });
        let holder = holders.get_mut(index)?;
        holder.used = now;
        if cached.homes.is_none() && holder.homes.take().is_some() {
            holder.told = None;
        }
        Some(holder)
    }

    /// Adds to what is still to be told. A VM that tells nobody, having no other region, would gather it for
    /// ever; what does not fit is told when it is due again.
    fn tell(untold: &mut Vec<CachedPrefix>, cached: &CachedPrefix) {
        if untold.len() < Self::MOST {
            untold.push(cached.clone());
        }
    }

    fn is_live(now: Duration, holder: &Holder) -> bool {
        now.saturating_sub(holder.used) < Self::LIFE
    }
}
