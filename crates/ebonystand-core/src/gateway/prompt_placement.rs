//! Engines that cache the shared prefixes of a prompt, and imports from them.

use super::*;

/// Prompt with the engines that cache its shared prefixes.
pub(super) struct PromptPlacement<'a> {
    /// Engine on which all VMs agree to read and cache the shared parts.
    pub(super) owner: Option<UpstreamKey>,
    /// Shared prefixes of the prompt, the longest first.
    pub(super) shared_prefixes: Vec<PrefixSources<'a>>,
    pub(super) prompt: &'a Prompt,
}

/// Shared prefix of a prompt, with the engines that cache it.
pub(super) struct PrefixSources<'a> {
    pub(super) sources: Vec<ImportSource<'a>>,
    pub(super) prefix: SharedPrefix,
}

/// Engine that caches a prefix.
pub(super) struct ImportSource<'a> {
    /// Regions that may cache the prefix; `None` if all may.
    homes: Option<&'a BTreeSet<RegionId>>,
    pub(super) known: &'a KnownUpstream,
    /// Whether other engines may import from this one.
    can_export: bool,
    /// When the prefix was last used on the engine.
    last_used: Duration,
}

impl PromptPlacement<'_> {
    /// Returns whether an engine caches the longest shared prefix of the prompt.
    pub(super) fn caches_longest(&self, known: &KnownUpstream) -> bool {
        let longest = self.shared_prefixes.first();
        longest.is_some_and(|part| {
            part.sources
                .iter()
                .any(|source| source.known.key == known.key)
        })
    }
}

impl UpstreamBook {
    /// Longest time of an import that is preferred even if reading is faster. A short part is read
    /// in less time, but reading it occupies the engine, which is the scarce resource: the requests
    /// queued behind it and the running streams wait meanwhile.
    const ALWAYS_IMPORTED_WITHIN: Duration = Duration::from_millis(10);

    /// Returns the engine from which `known`, which caches the first `cached` tokens of the prompt,
    /// imports the missing ones, with their number and the time that the import takes; `None` if no
    /// other engine caches more or reading is faster.
    ///
    /// An engine is also returned if `known` is not known to lack anything: it may have evicted a
    /// part, or may still be reading it for another request, and would then read the same shared
    /// tokens again.
    pub(super) fn find_import<'a>(
        &self,
        query: &ChoiceQuery,
        known: &KnownUpstream,
        placement: &PromptPlacement<'a>,
        cached: Tokens,
    ) -> Option<(&'a KnownUpstream, Tokens, Duration)> {
        let terms = query
            .engine
            .filter(|_| self.is_enabled(Mechanism::Imports))?;
        let (source, tokens) = placement.shared_prefixes.iter().find_map(|part| {
            let source = Self::nearest_source(known, &part.sources)?;
            Some((source, part.prefix.tokens.saturating_sub(cached)))
        })?;
        let same_zone = source.listed.zone == known.listed.zone;
        let import_time = match tokens {
            0 => Duration::ZERO,
            _ => terms.import_time(tokens, same_zone)?,
        };
        let within = match self.is_enabled(Mechanism::ShortImports) {
            true => Self::ALWAYS_IMPORTED_WITHIN,
            false => Duration::ZERO,
        };
        let is_worth_it = tokens == 0 || import_time < known.usual_reading_time(tokens).max(within);
        is_worth_it.then_some((source, tokens, import_time))
    }

    /// Returns the engine other than `known` from which to import a prefix: the nearest one, and of
    /// equally near ones the one with the latest use, which is the least likely to have evicted the
    /// prefix. A prefix read for requests with homes leaves its region only for those homes.
    fn nearest_source<'a>(
        known: &KnownUpstream,
        sources: &[ImportSource<'a>],
    ) -> Option<&'a KnownUpstream> {
        let to = known.region.as_ref();
        let may_leave = |homes: &BTreeSet<RegionId>| to.is_some_and(|to| homes.contains(to));
        let sources = sources.iter().filter(|holder| {
            let stays = holder.known.region.as_ref() == to;
            holder.can_export
                && holder.known.key != known.key
                && (stays || holder.homes.is_none_or(may_leave))
        });
        let best = sources.max_by_key(|holder| {
            let same_zone = holder.known.listed.zone == known.listed.zone;
            let same_region = holder.known.region.as_ref() == to;
            (same_zone, same_region, holder.last_used)
        });
        best.map(|holder| holder.known)
    }

    /// Returns whether engines may import from this one. A leaving or evacuated engine may still
    /// export its cache: this costs it no work and spares the others reading the same tokens again.
    fn can_export(now: Duration, query: &ChoiceQuery, known: &KnownUpstream) -> bool {
        let region = known.region.as_ref();
        *known.listed.service == *query.service
            && !known.is_address_reused
            && now >= known.backoff_until
            && region.is_some_and(|region| query.is_region_allowed(region))
    }

    /// Looks up the engines that cache the shared prefixes of a prompt, and the one that owns its
    /// shared parts.
    pub(super) fn place_prompt<'a>(
        &'a self,
        now: Duration,
        query: &ChoiceQuery,
        prompt: &'a Prompt,
        candidates: &[&KnownUpstream],
    ) -> PromptPlacement<'a> {
        let shared = prompt
            .placement_hash()
            .filter(|_| self.is_enabled(Mechanism::Owner));
        let owner = shared.and_then(|shared| {
            let rendezvous = RendezvousHash::new(shared);
            let owner = candidates
                .iter()
                .max_by_key(|known| rendezvous.weight(&known.listed.instance));
            owner.map(|known| known.key)
        });
        let lost_zones = self.zone_health.lost_zones(now);
        let source = |holder: HolderView<'a>| {
            let known = self
                .upstreams
                .get(self.instances_by_key.get(&holder.instance)?)?;
            let is_lost = lost_zones.contains(&&known.listed.zone);
            Some(ImportSource {
                homes: holder.homes,
                known,
                can_export: !is_lost && Self::can_export(now, query, known),
                last_used: holder.last_used,
            })
        };
        let prefixes = SharedPrefix::list_in(prompt).into_iter();
        let prefixes = prefixes.map(|prefix| PrefixSources {
            sources: self
                .caches
                .holders(now, prefix.id)
                .filter_map(source)
                .collect(),
            prefix,
        });
        PromptPlacement {
            owner,
            shared_prefixes: prefixes.collect(),
            prompt,
        }
    }
}
