//! The choice of an upstream, by what a VM knows of all of them.

use super::*;

/// An upstream that a request could go to, with what it would cost there.
struct Weighed<'a> {
    /// Delay of the request with what it costs others.
    cost: Duration,
    /// Predicted time to the first byte.
    delay: Duration,
    import: Option<(&'a KnownUpstream, Tokens)>,
    is_full: bool,
    known: &'a KnownUpstream,
    /// Tokens that it has to read.
    unread: Tokens,
}

/// Another region that a request could go to.
struct RegionCandidate {
    /// Delay of the request, with how much too late its answer would end.
    cost: Duration,
    /// Predicted time to the first byte.
    delay: Duration,
    region: RegionId,
}

/// A prompt, and which VMs agree to have its shared parts read where.
struct Placed<'a> {
    owner: Option<UpstreamKey>,
    prefixes: Vec<Kept<'a>>,
    prompt: &'a Prompt,
}

/// A shared beginning of a prompt, and the engines that keep it.
struct Kept<'a> {
    holders: Vec<Holder<'a>>,
    prefix: SharedPrefix,
}

/// An engine that keeps a beginning.
struct Holder<'a> {
    homes: Option<&'a BTreeSet<RegionId>>,
    known: &'a KnownUpstream,
    may_export: bool,
    used: Duration,
}

impl UpstreamBook {
    /// Delay to assume of another region that has told nothing.
    const AWAY_UNKNOWN: Duration = Duration::from_millis(300);
    /// Part of its aim, in permille, up to which a request stays in its region. Sending away costs
    /// bytes between regions, which are scarce, and a cold prefix.
    const STAYS_PERMILLE: u32 = 300;
    /// Part of the time that is left for it, in permille, within which an answer is to end. Streams that begin
    /// now slow down with those that follow, and some answers come from slower engines than others.
    const ENDS_PERMILLE: u32 = 500;
    /// What reading a token costs others, in times the delay of the request itself: those that come
    /// behind it and the streams that run wait as long. Without it, prompts leave the upstream that
    /// keeps what they share for gains smaller than what they cost. An import costs as much in times its own, far
    /// shorter, delay. At 5, from before engines imported, prompts stayed with busy engines: mean worth of five days with
    /// trouble 0.674 at 5, 0.679 at 2 (four plays each).
    const READING_COSTS: u32 = 2;

    /// Time that an import may take though reading would be faster. Short parts are read in less, but by the
    /// engine, which is what is scarce: with them imported, the mean worth of five days with trouble rose
    /// from 0.663 (three plays) to 0.674 (four).
    const IMPORTED_WITHIN: Duration = Duration::from_millis(10);

    /// Chooses where a request goes.
    #[must_use]
    pub fn choose(&self, now: Duration, query: &ChoiceQuery) -> Choice {
        let here = self.choose_here(now, query);
        let gap = self.event_gap(now, query.service);
        let late = |delay| self.lateness(query, delay, gap);
        let (cost, stays) = match &here {
            Choice::Here {
                is_sound,
                predicted,
                ..
            } => {
                let most = query.aim * Self::STAYS_PERMILLE / 1_000;
                let late = late(*predicted);
                let stays = *is_sound && *predicted <= most && late.is_zero();
                (Some(*predicted + late), stays)
            }
            Choice::Full { predicted } => {
                let predicted = *predicted + Self::FULL;
                (Some(predicted + late(predicted)), false)
            }
            _ => (None, false),
        };
        if stays {
            return here;
        }
        let is_sound = matches!(here, Choice::Here { is_sound: true, .. });
        let cost = cost.filter(|_| is_sound || matches!(here, Choice::Full { .. }));
        match self.choose_away(now, query) {
            Some(there)
                if cost.is_none_or(|here| self.uses(Mechanism::Away) && there.cost < here) =>
            {
                Choice::Away {
                    here: cost,
                    predicted: there.delay,
                    region: there.region,
                }
            }
            None if matches!(here, Choice::Nowhere { .. }) => self.full_away(query).unwrap_or(here),
            _ => here,
        }
    }

    /// How much later than it should an answer would end whose first byte comes after `delay` and whose
    /// events come every `gap`.
    fn lateness(&self, query: &ChoiceQuery, delay: Duration, gap: Duration) -> Duration {
        let (Some(prompt), Some(engine)) = (query.prompt, query.engine) else {
            return Duration::ZERO;
        };
        if !self.uses(Mechanism::EndInTime) {
            return Duration::ZERO;
        }
        let end = delay + gap * engine.events(prompt.output);
        end.saturating_sub(query.left * Self::ENDS_PERMILLE / 1_000)
    }

    /// What a request has to expect that other regions alone can serve and none has room for.
    ///
    /// They tell of room again within a fraction of its aim. Refused at once, callers of a zone that is
    /// evacuated at its peak came back, all together, to find the others' callers ahead of them again.
    fn full_away(&self, query: &ChoiceQuery) -> Option<Choice> {
        let predicted = self.away_trip + Self::FULL;
        let serves =
            self.uses(Mechanism::ForwardedWait) && self.regions_away(query).next().is_some();
        serves.then_some(Choice::Full { predicted })
    }

    pub(super) fn choose_here(&self, now: Duration, query: &ChoiceQuery) -> Choice {
        let mut candidates = self.candidates(query, |known| self.is_candidate(now, query, known));
        let is_sound = !candidates.is_empty();
        if !is_sound {
            // All have failed lately. One of them may be back; where no other region can serve the
            // request either, to refuse would be worse.
            candidates = self.candidates(query, |known| self.is_open(now, query, known));
        }
        let placed = query
            .prompt
            .map(|prompt| self.placed(now, query, prompt, &candidates));
        let weighed = candidates.iter().map(|known| match &placed {
            Some(placed) => self.weigh_prompt(now, query, known, placed),
            None => self.weigh_call(now, known),
        });
        let best =
            weighed.min_by_key(|weighed| (weighed.is_full, weighed.cost, weighed.known.in_flight));
        let Some(best) = best else {
            return Choice::Nowhere {
                because: self.unfit(now, query),
                retry_after: self.opens_after(now, query),
            };
        };
        if best.is_full {
            return Choice::Full {
                predicted: best.delay,
            };
        }
        Choice::Here {
            address: best.known.listed.address,
            candidates: u32::try_from(candidates.len()).unwrap_or(u32::MAX),
            import: best.import.map(|(source, tokens)| CacheSource {
                address: source.listed.address,
                instance: source.listed.instance.clone(),
                tokens,
            }),
            instance: best.known.listed.instance.clone(),
            is_sound,
            predicted: best.delay,
            report_age: best.known.report(now).map(|(age, _)| age),
            unread: best.unread,
        }
    }

    fn candidates<'a>(
        &'a self,
        query: &ChoiceQuery,
        admits: impl Fn(&KnownUpstream) -> bool,
    ) -> Vec<&'a KnownUpstream> {
        let here = self.upstreams.values();
        here.filter(|known| *known.listed.service == *query.service && admits(known))
            .collect()
    }

    fn choose_away(&self, now: Duration, query: &ChoiceQuery) -> Option<RegionCandidate> {
        let reading = query.prompt.map_or(Duration::ZERO, |prompt| {
            let ms = prompt.input as f64 / self.mean_speed(query.service);
            Duration::from_secs_f64(ms / 1_000.0)
        });
        let regions = self.regions_away(query);
        let there = regions.filter_map(|region| {
            let pressure = self.pressure_away(now, region, query.service)?;
            let delay = pressure.first_byte + reading;
            let cost = delay + self.lateness(query, delay, pressure.event_gap);
            let region = region.clone();
            Some(RegionCandidate {
                cost,
                delay,
                region,
            })
        });
        there.min_by_key(|there| there.cost)
    }

    /// Other regions that may and can serve a request, whether or not they have room.
    fn regions_away<'a>(&'a self, query: &'a ChoiceQuery) -> impl Iterator<Item = &'a RegionId> {
        let regions = query.reachable.iter();
        let regions = regions.filter(|region| **region != self.here && query.allows(region));
        regions.filter(|region| {
            let mut upstreams = self.upstreams.values();
            upstreams
                .any(|known| known.region.as_ref() == Some(*region) && self.is_usable(query, known))
        })
    }

    /// What a request has to expect in another region, with the way there and back; `None` while that has no
    /// room.
    fn pressure_away(&self, now: Duration, region: &RegionId, service: &str) -> Option<Pressure> {
        let key = (region.clone(), ServiceId::from(service));
        let told = self.away.get(&key);
        let told = told.filter(|(at, _)| now.saturating_sub(*at) < Self::AWAY_LIFE);
        let told = told.map(|(_, pressure)| *pressure).unwrap_or(Pressure {
            event_gap: Duration::ZERO,
            first_byte: Self::AWAY_UNKNOWN,
        });
        (told.first_byte < Self::FULL).then(|| Pressure {
            first_byte: self.away_trip + told.first_byte,
            ..told
        })
    }

    /// Prompt tokens that an engine reads in a millisecond, by those of the own region: engines of another
    /// one are not measured here.
    fn mean_speed(&self, service: &str) -> f64 {
        let all = self.upstreams.values();
        let here = all.filter(|known| *known.listed.service == *service && self.is_here(known));
        let (sum, count) = here.fold((0.0, 0.0), |(sum, count), known| {
            (sum + known.speed, count + 1.0)
        });
        match count > 0.0 {
            true => sum / count,
            false => KnownUpstream::FIRST_SPEED,
        }
    }

    /// The engine from which `known`, which keeps the first `kept` tokens of the prompt, imports what
    /// it lacks, and the time that it takes; `None` if no other one keeps any, or reading is faster.
    ///
    /// One is also named where `known` is not known to lack anything: it may have dropped a part for a
    /// newer one, or may still be reading it for another request, and would then read it again. Shared
    /// tokens read again on the worst of six days: 2.0 and 1.5 million without, 1.2, 1.3 and 1.1 with it
    /// (a play each).
    fn import<'a>(
        &self,
        query: &ChoiceQuery,
        known: &KnownUpstream,
        placed: &Placed<'a>,
        kept: Tokens,
    ) -> Option<(&'a KnownUpstream, Tokens, Duration)> {
        let terms = query.engine.filter(|_| self.uses(Mechanism::Imports))?;
        let (source, tokens) = placed.prefixes.iter().find_map(|part| {
            let source = Self::export(known, &part.holders)?;
            Some((source, part.prefix.tokens.saturating_sub(kept)))
        })?;
        let same_zone = source.listed.zone == known.listed.zone;
        let takes = match tokens {
            0 => Duration::ZERO,
            _ => terms.import_time(tokens, same_zone)?,
        };
        let within = match self.uses(Mechanism::ShortImports) {
            true => Self::IMPORTED_WITHIN,
            false => Duration::ZERO,
        };
        let is_worth_it = tokens == 0 || takes < known.reading(tokens).max(within);
        is_worth_it.then_some((source, tokens, takes))
    }

    /// The engine, other than `known`, that exports a beginning: the one nearest to it, and of equally near
    /// ones that with the newest use, which is the least likely to have dropped it. What was read for
    /// requests with homes leaves its region for those homes only.
    fn export<'a>(known: &KnownUpstream, holders: &[Holder<'a>]) -> Option<&'a KnownUpstream> {
        let to = known.region.as_ref();
        let may_leave = |homes: &BTreeSet<RegionId>| to.is_some_and(|to| homes.contains(to));
        let sources = holders.iter().filter(|holder| {
            let stays = holder.known.region.as_ref() == to;
            holder.may_export
                && holder.known.key != known.key
                && (stays || holder.homes.is_none_or(may_leave))
        });
        let best = sources.max_by_key(|holder| {
            let same_zone = holder.known.listed.zone == known.listed.zone;
            let same_region = holder.known.region.as_ref() == to;
            (same_zone, same_region, holder.used)
        });
        best.map(|holder| holder.known)
    }

    /// Whether engines may import from this one. One that is leaving or evacuated may go on handing out
    /// what it keeps: it does no work for it, and the others then need not read it again.
    fn may_export(now: Duration, query: &ChoiceQuery, known: &KnownUpstream) -> bool {
        let region = known.region.as_ref();
        *known.listed.service == *query.service
            && !known.is_gone
            && now >= known.suspect_until
            && region.is_some_and(|region| query.allows(region))
    }

    fn placed<'a>(
        &'a self,
        now: Duration,
        query: &ChoiceQuery,
        prompt: &'a Prompt,
        candidates: &[&KnownUpstream],
    ) -> Placed<'a> {
        let shared = prompt.shared().filter(|_| self.uses(Mechanism::Owner));
        let owner = shared.and_then(|shared| {
            let rendezvous = RendezvousHash::new(shared);
            let owner = candidates
                .iter()
                .max_by_key(|known| rendezvous.weight(&known.listed.instance));
            owner.map(|known| known.key)
        });
        let holder = |export: Export<'a>| {
            let known = self.upstreams.get(self.by_key.get(&export.instance)?)?;
            Some(Holder {
                homes: export.homes,
                known,
                may_export: Self::may_export(now, query, known),
                used: export.used,
            })
        };
        let prefixes = SharedPrefix::of(prompt).into_iter();
        let prefixes = prefixes.map(|prefix| Kept {
            holders: self
                .caches
                .holders(now, prefix.id)
                .filter_map(holder)
                .collect(),
            prefix,
        });
        Placed {
            owner,
            prefixes: prefixes.collect(),
            prompt,
        }
    }

    /// A delay at an upstream, with what its failures cost.
    fn weighed(&self, known: &KnownUpstream, delay: Duration) -> Duration {
        match self.uses(Mechanism::FailingWeight) {
            true => known.weighed(delay),
            false => delay,
        }
    }

    fn weigh_call<'a>(&self, now: Duration, known: &'a KnownUpstream) -> Weighed<'a> {
        let others = self.others(known);
        let delay = known.call_delay(now, others);
        Weighed {
            cost: self.weighed(known, delay),
            delay,
            import: None,
            is_full: !self.fits(now, known, false, 0),
            known,
            unread: 0,
        }
    }

    fn weigh_prompt<'a>(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        known: &'a KnownUpstream,
        placed: &Placed<'a>,
    ) -> Weighed<'a> {
        let others = self.others(known);
        let prompt = placed.prompt;
        let keeps = |part: &&Kept| part.holders.iter().any(|h| h.known.key == known.key);
        let told = placed.prefixes.iter().filter(keeps);
        let told = told.map(|part| part.prefix.tokens).max().unwrap_or(0);
        let kept = known.prefixes.kept(prompt).max(told);
        let import = self.import(query, known, placed, kept);
        let import_time = import.map_or(Duration::ZERO, |(.., takes)| takes);
        let import = import.map(|(source, tokens, _)| (source, tokens));
        let imported = import.map_or(0, |(_, tokens)| tokens);
        let unread = prompt.input.saturating_sub(kept + imported);
        let is_owner = placed.owner == Some(known.key);
        // What the owner reads of the shared parts is kept for all that come after, and read once.
        let lasting = match is_owner {
            true => prompt.shared_tokens().saturating_sub(kept + imported),
            false => 0,
        };
        let delay = known.engine_delay(now, unread, others) + import_time;
        let burden = match self.uses(Mechanism::ReadingCosts) {
            true => known.reading(unread - lasting.min(unread)) + import_time,
            false => Duration::ZERO,
        };
        Weighed {
            cost: self.weighed(known, delay) + burden * Self::READING_COSTS,
            delay,
            import,
            is_full: !self.fits(now, known, true, unread),
            known,
            unread,
        }
    }
}
