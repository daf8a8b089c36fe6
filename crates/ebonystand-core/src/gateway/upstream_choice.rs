//! Selection of an upstream or another region for a request, from all that a VM knows.

use super::*;
use prompt_placement::{PrefixSources, PromptPlacement};

/// Upstream considered for a request, with the request's cost there.
pub(crate) struct UpstreamCandidate<'a> {
    /// Delay of the request plus what it costs other requests.
    pub(super) cost: Duration,
    /// Predicted time to the first byte of the answer.
    pub(super) delay: Duration,
    /// Engine to import from, with the number of tokens to import.
    pub(super) import: Option<(&'a KnownUpstream, Tokens)>,
    /// Whether the upstream has no room for the request.
    pub(super) is_full: bool,
    pub(super) known: &'a KnownUpstream,
    /// Prompt tokens that the upstream has to read.
    pub(super) unread: Tokens,
}

/// Other region considered for a request.
struct RegionCandidate {
    /// Delay of the request plus the time by which its answer would end too late.
    cost: Duration,
    /// Predicted time to the first byte, including the network.
    delay: Duration,
    region: RegionId,
}

impl UpstreamBook {
    /// Time to the first byte assumed of another region that has reported none recently.
    const UNKNOWN_REGION_LATENCY: Duration = Duration::from_millis(300);
    /// Share of the first-byte target, in permille, up to which a request stays in its region.
    /// Sending it to another region takes up scarce bandwidth between regions and finds no cached
    /// prefix.
    const STAY_TARGET_PERMILLE: u32 = 300;
    /// Share of the time left until a request's deadline, in permille, within which its answer
    /// should end by the prediction. The rest is a margin: a stream slows down when others begin
    /// after it, and some engines are slower than others.
    const END_TARGET_PERMILLE: u32 = 500;
    /// Cost that reading a token causes to other requests, as a multiple of the request's own
    /// delay: the requests queued behind it and the running streams wait as long. Without this
    /// cost, prompts leave the upstream that caches their shared parts for gains smaller than the
    /// cost. An import costs the same multiple of its own, far shorter delay, so too large a factor
    /// keeps prompts at busy engines although others could import the shared parts.
    const READING_COST_FACTOR: u32 = 2;

    /// Chooses where to send a request: to an upstream of the own region, to another region, or
    /// nowhere for now.
    #[must_use]
    pub fn choose_target(&self, now: Duration, query: &ChoiceQuery) -> TargetChoice {
        let local = self.choose_local(now, query);
        if self.paths.is_cut(query.service)
            && let Some(forward) = self.choose_while_cut(now, query, &local)
        {
            return forward;
        }
        let gap = self.event_gap(now, query.service);
        let late = |delay| self.predict_lateness(query, delay, gap);
        let (cost, stays) = match &local {
            TargetChoice::Upstream {
                is_sound,
                predicted,
                ..
            } => {
                let most = query.first_byte_target * Self::STAY_TARGET_PERMILLE / 1_000;
                let late = late(*predicted);
                let stays = *is_sound && *predicted <= most && late.is_zero();
                (Some(*predicted + late), stays)
            }
            TargetChoice::NoRoom { predicted } => {
                let predicted = *predicted + Self::NO_ROOM_DELAY;
                (Some(predicted + late(predicted)), false)
            }
            _ => (None, false),
        };
        if stays {
            return local;
        }
        let is_sound = matches!(local, TargetChoice::Upstream { is_sound: true, .. });
        let cost = cost.filter(|_| is_sound || matches!(local, TargetChoice::NoRoom { .. }));
        let serves_here = !matches!(local, TargetChoice::Unavailable { .. });
        match self.choose_region(now, query, serves_here) {
            Some(candidate)
                if cost.is_none_or(|local| {
                    self.is_enabled(Mechanism::Away) && candidate.cost < local
                }) =>
            {
                TargetChoice::Forward {
                    local_cost: cost,
                    predicted: candidate.delay,
                    region: candidate.region,
                }
            }
            None if matches!(local, TargetChoice::Unavailable { .. }) => {
                self.wait_for_region(query).unwrap_or(local)
            }
            _ => local,
        }
    }

    /// Chooses another region for a request that the own one has no room for; `None` if none has room either.
    #[must_use]
    pub fn choose_away(&self, now: Duration, query: &ChoiceQuery) -> Option<TargetChoice> {
        let candidate = self.choose_region(now, query, true)?;
        Some(TargetChoice::Forward {
            local_cost: None,
            predicted: candidate.delay,
            region: candidate.region,
        })
    }

    /// Chooses the region whose VMs get a request that this VM cannot send by itself: its own one,
    /// where others may reach the upstreams, or another. `None` if no region can take it.
    fn choose_while_cut(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        local: &TargetChoice,
    ) -> Option<TargetChoice> {
        let gap = self.event_gap(now, query.service);
        let predicted = match local {
            TargetChoice::Upstream { predicted, .. } => Some(*predicted),
            // The limits of upstreams and their pauses differ between VMs.
            TargetChoice::Unavailable { .. } => Some(Self::UNKNOWN_REGION_LATENCY),
            TargetChoice::Forward { .. } | TargetChoice::NoRoom { .. } => None,
        };
        let is_open = query.reachable.contains(&self.own_region)
            && query.is_region_allowed(&self.own_region)
            && self
                .upstreams
                .values()
                .any(|known| self.is_local(known) && self.is_usable(query, known));
        let beside = predicted.filter(|_| is_open).map(|delay| RegionCandidate {
            cost: delay + self.predict_lateness(query, delay, gap),
            delay,
            region: self.own_region.clone(),
        });
        let candidates = beside
            .into_iter()
            .chain(self.choose_region(now, query, false));
        let best = candidates.min_by_key(|candidate| candidate.cost)?;
        Some(TargetChoice::Forward {
            local_cost: None,
            predicted: best.delay,
            region: best.region,
        })
    }

    /// Predicts by how much an answer would end too late if its first byte arrives after `delay`
    /// and its events every `gap`.
    fn predict_lateness(&self, query: &ChoiceQuery, delay: Duration, gap: Duration) -> Duration {
        let (Some(prompt), Some(engine)) = (query.prompt, query.engine) else {
            return Duration::ZERO;
        };
        if !self.is_enabled(Mechanism::EndInTime) {
            return Duration::ZERO;
        }
        let end = delay + gap * engine.event_count(prompt.output);
        end.saturating_sub(query.remaining_time * Self::END_TARGET_PERMILLE / 1_000)
    }

    /// Returns the choice for a request that only other regions can serve while none of them has
    /// room: to wait.
    ///
    /// Such a region reports room again within a fraction of the first-byte target. If requests
    /// were refused at once, the callers of a zone that is evacuated at peak load would all retry
    /// together and again find the other region's callers ahead of them.
    fn wait_for_region(&self, query: &ChoiceQuery) -> Option<TargetChoice> {
        let predicted = self.region_round_trip + Self::NO_ROOM_DELAY;
        let serves = self.is_enabled(Mechanism::ForwardedWait)
            && self.eligible_regions(query).next().is_some();
        serves.then_some(TargetChoice::NoRoom { predicted })
    }

    /// Chooses an upstream of the own region.
    pub(super) fn choose_local(&self, now: Duration, query: &ChoiceQuery) -> TargetChoice {
        let lost_zones = self.zone_health.lost_zones(now);
        let mut candidates = self.find_candidates(query, |known| {
            !lost_zones.contains(&&known.listed.zone) && self.is_candidate(now, query, known)
        });
        let is_sound = !candidates.is_empty();
        if !is_sound {
            // Every upstream is backed off or lost. One of them may have recovered; if no other region can
            // serve the request either, trying one is better than refusing.
            candidates = self.find_candidates(query, |known| self.is_open(now, query, known));
        }
        let placement = query
            .prompt
            .map(|prompt| self.place_prompt(now, query, prompt, &candidates));
        let placement = placement.as_ref();
        let shortlist = self.shortlist(query, &candidates, |known| {
            placement.is_some_and(|placement| placement.caches_longest(known))
        });
        let mut best = self.best_of(now, query, placement, &shortlist);
        if shortlist.len() < candidates.len() && best.as_ref().is_none_or(|best| best.is_full) {
            best = self.best_of(now, query, placement, &candidates);
        }
        let Some(best) = best else {
            return TargetChoice::Unavailable {
                reason: self.count_ineligible(now, query),
                retry_after: self.retry_after(now, query),
            };
        };
        if best.is_full {
            return TargetChoice::NoRoom {
                predicted: best.delay,
            };
        }
        let (candidates, compared) = (candidates.len(), shortlist.len());
        Self::target(now, &best, candidates, compared, is_sound)
    }

    /// Returns the choice to send a request to a candidate.
    pub(super) fn target(
        now: Duration,
        best: &UpstreamCandidate<'_>,
        candidates: usize,
        compared: usize,
        is_sound: bool,
    ) -> TargetChoice {
        TargetChoice::Upstream {
            address: best.known.listed.address,
            candidates: u32::try_from(candidates).unwrap_or(u32::MAX),
            compared: u32::try_from(compared).unwrap_or(u32::MAX),
            import: best.import.map(|(source, tokens)| CacheSource {
                address: source.listed.address,
                instance: source.listed.instance.clone(),
                tokens,
            }),
            instance: best.known.listed.instance.clone(),
            is_sound,
            predicted: best.delay,
            report_age: best.known.fresh_report(now).map(|(age, _)| age),
            software: best.known.listed.software.clone(),
            unread: best.unread,
        }
    }

    /// Returns the upstream with the least cost for a request, of those with room if any has some.
    ///
    /// Among equal ones, VMs prefer different ones: idle upstreams all cost the same, and VMs that
    /// have not heard of one another's latest requests would all choose the first by name.
    fn best_of<'a>(
        &'a self,
        now: Duration,
        query: &ChoiceQuery,
        placement: Option<&PromptPlacement<'a>>,
        candidates: &[&'a KnownUpstream],
    ) -> Option<UpstreamCandidate<'a>> {
        let preference = self.own_preference();
        let scored = candidates.iter().map(|known| match placement {
            Some(placement) => self.score_prompt(now, query, known, placement),
            None => self.score_call(now, known),
        });
        scored.min_by_key(|scored| {
            let weight = preference.weight(&scored.known.listed.instance);
            let in_flight = scored.known.in_flight;
            (scored.is_full, scored.cost, in_flight, weight)
        })
    }

    /// Returns the upstreams of the request's service that `admits` accepts.
    pub(super) fn find_candidates<'a>(
        &'a self,
        query: &ChoiceQuery,
        admits: impl Fn(&KnownUpstream) -> bool,
    ) -> Vec<&'a KnownUpstream> {
        let local = self.upstreams.values();
        local
            .filter(|known| *known.listed.service == *query.service && admits(known))
            .collect()
    }

    /// Chooses the other region with the lowest cost that may serve the request and has room. A
    /// request that this region can serve, as `serves_here` tells, goes only where its room is
    /// offered. One that it can't serve goes there first.
    fn choose_region(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        serves_here: bool,
    ) -> Option<RegionCandidate> {
        let reading = query.prompt.map_or(Duration::ZERO, |prompt| {
            let ms = prompt.input as f64 / self.mean_reading_speed(query.service);
            Duration::from_secs_f64(ms / 1_000.0)
        });
        let work = query.prompt.map_or(0, Prompt::own_tokens);
        let has_offer = |region: &&RegionId| self.may_send_away(now, region, query.service, work);
        let is_restricted = serves_here || self.eligible_regions(query).any(|r| has_offer(&r));
        let regions = self.eligible_regions(query);
        let regions = regions.filter(|region| !is_restricted || has_offer(region));
        let candidates = regions.filter_map(|region| {
            let latency = self.region_latency(now, region, query.service)?;
            let delay = latency.first_byte + reading;
            let cost = delay + self.predict_lateness(query, delay, latency.event_gap);
            let region = region.clone();
            Some(RegionCandidate {
                cost,
                delay,
                region,
            })
        });
        candidates.min_by_key(|candidate| candidate.cost)
    }

    /// Returns the other regions that may and can serve a request, with or without room. If the list
    /// does not cover them, only their reports tell whether they can.
    fn eligible_regions<'a>(
        &'a self,
        query: &'a ChoiceQuery,
    ) -> impl Iterator<Item = &'a RegionId> {
        let regions = query.reachable.iter();
        let regions =
            regions.filter(|region| **region != self.own_region && query.is_region_allowed(region));
        regions.filter(|region| {
            let mut upstreams = self.upstreams.values();
            !self.lists_other_regions()
                || upstreams.any(|known| {
                    known.region.as_ref() == Some(*region) && self.is_usable(query, known)
                })
        })
    }

    /// Returns the predicted latency of a service in another region including the network round
    /// trip; `None` while that region has no room.
    fn region_latency(
        &self,
        now: Duration,
        region: &RegionId,
        service: &str,
    ) -> Option<ServiceLatency> {
        let key = (region.clone(), ServiceId::from(service));
        let reported = self.region_latencies.get(&key);
        let reported =
            reported.filter(|(at, _)| now.saturating_sub(*at) < Self::REGION_LATENCY_LIFETIME);
        let reported = reported
            .map(|(_, latency)| *latency)
            .unwrap_or(ServiceLatency {
                first_byte: Self::UNKNOWN_REGION_LATENCY,
                ..ServiceLatency::default()
            });
        (reported.first_byte < Self::NO_ROOM_DELAY).then(|| ServiceLatency {
            first_byte: self.region_round_trip + reported.first_byte,
            ..reported
        })
    }

    /// Returns the mean number of prompt tokens that an engine reads per millisecond, from the
    /// engines of the own region; those of other regions are not measured here.
    pub(super) fn mean_reading_speed(&self, service: &str) -> f64 {
        let all = self.upstreams.values();
        let local = all.filter(|known| *known.listed.service == *service && self.is_local(known));
        let (sum, count) = local.fold((0.0, 0.0), |(sum, count), known| {
            (sum + known.own_reading_speed, count + 1.0)
        });
        match count > 0.0 {
            true => sum / count,
            false => KnownUpstream::INITIAL_READING_SPEED,
        }
    }

    /// Adds the expected cost of the upstream's failures to `delay`, unless this feature is
    /// disabled.
    fn add_failure_cost(&self, known: &KnownUpstream, delay: Duration) -> Duration {
        match self.is_enabled(Mechanism::FailingWeight) {
            true => known.add_failure_cost(delay),
            false => delay,
        }
    }

    /// Scores an upstream for a call to a plain service.
    fn score_call<'a>(&self, now: Duration, known: &'a KnownUpstream) -> UpstreamCandidate<'a> {
        let others = self.peer_load(known);
        let delay = known.predict_call_duration(now, others) + known.limit_wait(now);
        UpstreamCandidate {
            cost: self.add_failure_cost(known, delay),
            delay,
            import: None,
            is_full: !self.can_accept(now, known, false, 0),
            known,
            unread: 0,
        }
    }

    /// Scores an engine for a prompt, with the prefix that it caches or can import.
    pub(super) fn score_prompt<'a>(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        known: &'a KnownUpstream,
        placement: &PromptPlacement<'a>,
    ) -> UpstreamCandidate<'a> {
        let others = self.peer_load(known);
        let prompt = placement.prompt;
        let is_cached =
            |part: &&PrefixSources| part.sources.iter().any(|h| h.known.key == known.key);
        let reported = placement.shared_prefixes.iter().filter(is_cached);
        let reported = reported.map(|part| part.prefix.tokens).max().unwrap_or(0);
        let cached = known.sent_prefixes.cached_tokens(prompt).max(reported);
        let import = self.find_import(query, known, placement, cached);
        let import_time = import.map_or(Duration::ZERO, |(.., import_time)| import_time);
        let import = import.map(|(source, tokens, _)| (source, tokens));
        let imported = import.map_or(0, |(_, tokens)| tokens);
        let unread = prompt.input.saturating_sub(cached.saturating_add(imported));
        let is_owner = placement.owner == Some(known.key);
        // Shared parts that the owner reads are cached for all later requests and read only once,
        // so they are not charged.
        let owner_tokens = match is_owner {
            true => prompt.shared_tokens().saturating_sub(cached + imported),
            false => 0,
        };
        let delay =
            known.predict_first_byte(now, unread, others) + import_time + known.limit_wait(now);
        let reading_cost = match self.is_enabled(Mechanism::ReadingCosts) {
            true => known.reading_time(now, unread - owner_tokens.min(unread)) + import_time,
            false => Duration::ZERO,
        };
        UpstreamCandidate {
            cost: self.add_failure_cost(known, delay) + reading_cost * Self::READING_COST_FACTOR,
            delay,
            import,
            is_full: !self.can_accept(now, known, true, unread),
            known,
            unread,
        }
    }
}
