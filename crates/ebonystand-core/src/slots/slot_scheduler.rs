use super::*;

/// Grants the slots of engines to the requests of all VMs of a region, and queues or refuses the others.
#[derive(Clone, Debug)]
pub struct SlotScheduler {
    askers: BTreeMap<VmId, Asker>,
    engines: FxHashMap<UpstreamKey, ScheduledEngine>,
    /// Smoothed time that a slot was held, in relation to what was expected.
    hold_scale: f64,
    queues: FxHashMap<SlotGroup, SlotQueue>,
}

/// VM that has asked for slots.
#[derive(Clone, Debug)]
struct Asker {
    grants: FxHashMap<u32, SlotGrant>,
    heard_at: Duration,
}

impl Default for SlotScheduler {
    fn default() -> Self {
        Self {
            askers: BTreeMap::new(),
            engines: FxHashMap::default(),
            hold_scale: 1.0,
            queues: FxHashMap::default(),
        }
    }
}

impl SlotScheduler {
    /// Time after which the grants of a VM end that says no longer that it holds them; two of its messages may
    /// be lost.
    pub const ASKER_LIFETIME: Duration = Duration::from_millis(1_600);
    /// Age from which a grant ends that its VM does not hold; a younger one may be on its way.
    const MIN_GRANT_AGE: Duration = Duration::from_millis(250);
    /// Weight of a new sample in the average of [`Self::hold_scale`].
    const SMOOTHING: f64 = 0.05;
    /// Bounds of a sample of [`Self::hold_scale`]; requests that are cancelled at once or hang say little.
    const HOLD_SCALES: (f64, f64) = (0.05, 20.0);

    /// Replaces the engines of the region, whose grants end with them.
    pub fn set_engines(&mut self, engines: &[SlotEngine], plan: &SlotPlan) {
        let mut former = std::mem::take(&mut self.engines);
        for engine in engines {
            let Some(group) = plan.group(engine.key) else {
                continue;
            };
            let mut state = former
                .remove(&engine.key)
                .unwrap_or_else(|| ScheduledEngine::new(group.clone(), engine.slots));
            state.set_place(group.clone(), engine.slots);
            self.engines.insert(engine.key, state);
        }
        let engines = &self.engines;
        for asker in self.askers.values_mut() {
            asker
                .grants
                .retain(|_, grant| engines.contains_key(&grant.engine));
        }
    }

    /// Ends the grants and requests of VMs that are gone.
    pub fn set_vms(&mut self, now: Duration, vms: &BTreeSet<VmId>) {
        let gone = self.askers.keys().filter(|vm| !vms.contains(*vm)).cloned();
        for vm in gone.collect::<Vec<_>>() {
            self.forget(now, &vm);
        }
    }

    /// Returns whether no request waits and no grant is in use.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queues.values().all(SlotQueue::is_empty)
            && self.askers.values().all(|asker| asker.grants.is_empty())
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(SlotQueue::len).sum()
    }

    /// Returns the number of grants in use.
    #[must_use]
    pub fn granted(&self) -> usize {
        self.askers.values().map(|asker| asker.grants.len()).sum()
    }

    /// Processes a message of a VM. `load` returns the load of an engine that the region's VMs have reported.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: &VmId,
        message: SlotMessage,
        load: &dyn Fn(UpstreamKey) -> UnderWay,
    ) -> Vec<SlotOutput> {
        let asker = self.askers.entry(from.clone()).or_insert_with(|| Asker {
            grants: FxHashMap::default(),
            heard_at: now,
        });
        asker.heard_at = now;
        match message {
            SlotMessage::Begun { number, waited_ms } => {
                self.begin(now, from, number, waited_ms, load)
            }
            SlotMessage::End { number } => self.end(now, from, number, load),
            SlotMessage::Held { numbers } => self.keep_held(now, from, &numbers, load),
            SlotMessage::Request { number, request } => {
                self.handle_request(now, from, number, request, load)
            }
            SlotMessage::Grant { .. } | SlotMessage::Queued { .. } | SlotMessage::Refuse { .. } => {
                Vec::new()
            }
        }
    }

    /// Refuses the requests whose time is over, ends the grants of VMs that have fallen silent, and grants the
    /// slots that have come free by the load reports.
    pub fn tick(
        &mut self,
        now: Duration,
        load: &dyn Fn(UpstreamKey) -> UnderWay,
    ) -> Vec<SlotOutput> {
        let silent = self.askers.iter();
        let silent = silent.filter(|(_, asker)| now >= asker.heard_at + Self::ASKER_LIFETIME);
        for vm in silent.map(|(vm, _)| vm.clone()).collect::<Vec<_>>() {
            self.forget(now, &vm);
        }
        let mut outputs = Vec::new();
        for group in self.queues.keys().cloned().collect::<Vec<_>>() {
            outputs.append(&mut self.refuse_late(now, &group));
            outputs.append(&mut self.dispatch(now, &group, load));
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        outputs
    }

    fn handle_request(
        &mut self,
        now: Duration,
        from: &VmId,
        number: u32,
        request: SlotRequest,
        load: &dyn Fn(UpstreamKey) -> UnderWay,
    ) -> Vec<SlotOutput> {
        let known = self.askers.get(from);
        if let Some(grant) = known.and_then(|asker| asker.grants.get(&number)) {
            return vec![send(
                from,
                SlotMessage::Grant {
                    engine: grant.engine,
                    number,
                },
            )];
        }
        if self
            .queues
            .values()
            .any(|queue| queue.contains(from, number))
        {
            return vec![send(from, SlotMessage::Queued { number })];
        }
        let mut named = request.engines.iter();
        let group = named.find_map(|offer| self.engines.get(&offer.engine));
        // A VM that knows none of the engines stays silent, and the asker decides by itself.
        let Some(group) = group.map(|engine| engine.group.clone()) else {
            return Vec::new();
        };
        let begin_by = now + Duration::from_millis(u64::from(request.begin_ms));
        let best = self.best_engine(now, &request, load);
        let wait = self.expected_wait(&group, begin_by, &request);
        let queue = self.queues.entry(group.clone()).or_default();
        let is_late = now + wait > begin_by && best.is_none();
        let slot = WaitingSlot {
            begin_by,
            number,
            overtaken: 0,
            request,
            vm: from.clone(),
        };
        if is_late || !queue.push(slot) {
            let retry_ms = as_ms(wait);
            return vec![send(from, SlotMessage::Refuse { number, retry_ms })];
        }
        let mut outputs = best.map_or_else(Vec::new, |engine| {
            self.grant_next(now, engine, load).into_iter().collect()
        });
        let queue = self.queues.get(&group);
        if queue.is_some_and(|queue| queue.contains(from, number)) {
            outputs.push(send(from, SlotMessage::Queued { number }));
        }
        outputs
    }

    /// Returns the named engine with a free slot at which the prompt is read first.
    fn best_engine(
        &self,
        now: Duration,
        request: &SlotRequest,
        load: &dyn Fn(UpstreamKey) -> UnderWay,
    ) -> Option<UpstreamKey> {
        let named = request.engines.iter().filter_map(|offer| {
            let engine = self.engines.get(&offer.engine)?;
            let known = load(offer.engine);
            let free = engine.free_slots(now, known);
            let fits = free > 0 && engine.fits(now, offer.unread, known);
            let unread = engine.unread(now, known) + offer.unread;
            fits.then_some((unread, std::cmp::Reverse(free), offer.engine))
        });
        named.min().map(|(.., engine)| engine)
    }

    /// Returns the time until the slots have come free that go to the requests before this one.
    fn expected_wait(
        &self,
        group: &SlotGroup,
        begin_by: Duration,
        request: &SlotRequest,
    ) -> Duration {
        let Some(queue) = self.queues.get(group) else {
            return Duration::ZERO;
        };
        let engines = self.engines.values();
        let engines = engines.filter(|engine| engine.group == *group);
        let slots = engines.map(ScheduledEngine::slots);
        let slots = slots.fold(0, u32::saturating_add).max(1);
        let ms = queue.work_ahead(begin_by, request) * self.hold_scale / f64::from(slots);
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Grants the free slots of a group to the requests that wait.
    fn dispatch(
        &mut self,
        now: Duration,
        group: &SlotGroup,
        load: &dyn Fn(UpstreamKey) -> UnderWay,
    ) -> Vec<SlotOutput> {
        let engines = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.group == *group);
        let mut engines = engines.map(|(key, _)| *key).collect::<Vec<_>>();
        engines.sort_unstable();
        let granted = engines.into_iter().flat_map(|engine| {
            std::iter::from_fn(|| self.grant_next(now, engine, load)).collect::<Vec<_>>()
        });
        granted.collect()
    }

    /// Grants a free slot of an engine to the next request that can use it.
    fn grant_next(
        &mut self,
        now: Duration,
        key: UpstreamKey,
        load: &dyn Fn(UpstreamKey) -> UnderWay,
    ) -> Option<SlotOutput> {
        let known = load(key);
        let engine = self.engines.get_mut(&key)?;
        if engine.free_slots(now, known) == 0 {
            return None;
        }
        let queue = self.queues.get_mut(&engine.group)?;
        let slot = queue.take(key, |unread| engine.fits(now, unread, known))?;
        let unread = slot.request.unread_at(key).unwrap_or_default();
        engine.grant(now, unread);
        let asker = self.askers.entry(slot.vm.clone()).or_insert_with(|| Asker {
            grants: FxHashMap::default(),
            heard_at: now,
        });
        let grant = SlotGrant {
            engine: key,
            granted_at: now,
            has_begun: false,
            hold: Duration::from_millis(u64::from(slot.request.hold_ms)),
            start_target: Duration::from_millis(u64::from(slot.request.start_ms)),
            unread,
        };
        asker.grants.insert(slot.number, grant);
        let number = slot.number;
        Some(send(
            &slot.vm,
            SlotMessage::Grant {
                engine: key,
                number,
            },
        ))
    }

    fn begin(
        &mut self,
        now: Duration,
        from: &VmId,
        number: u32,
        waited_ms: u32,
        load: &dyn Fn(UpstreamKey) -> UnderWay,
    ) -> Vec<SlotOutput> {
        let asker = self.askers.get_mut(from);
        let Some(grant) = asker.and_then(|asker| asker.grants.get_mut(&number)) else {
            return Vec::new();
        };
        if std::mem::replace(&mut grant.has_begun, true) {
            return Vec::new();
        }
        let Some(engine) = self.engines.get_mut(&grant.engine) else {
            return Vec::new();
        };
        let waited = Duration::from_millis(u64::from(waited_ms));
        engine.begin(now, grant, waited, load(grant.engine));
        // Prompts may wait until the engine has read others.
        let key = grant.engine;
        std::iter::from_fn(|| self.grant_next(now, key, load)).collect()
    }

    fn end(
        &mut self,
        now: Duration,
        from: &VmId,
        number: u32,
        load: &dyn Fn(UpstreamKey) -> UnderWay,
    ) -> Vec<SlotOutput> {
        let asker = self.askers.get_mut(from);
        let Some(grant) = asker.and_then(|asker| asker.grants.remove(&number)) else {
            for queue in self.queues.values_mut() {
                queue.remove(from, number);
            }
            return Vec::new();
        };
        if grant.has_begun && !grant.hold.is_zero() {
            let held = now.saturating_sub(grant.granted_at);
            let sample = held.as_secs_f64() / grant.hold.as_secs_f64();
            let sample = sample.clamp(Self::HOLD_SCALES.0, Self::HOLD_SCALES.1);
            self.hold_scale += Self::SMOOTHING * (sample - self.hold_scale);
        }
        self.release(now, &grant);
        std::iter::from_fn(|| self.grant_next(now, grant.engine, load)).collect()
    }

    /// Ends the grants and requests of a VM that it does not list.
    fn keep_held(
        &mut self,
        now: Duration,
        from: &VmId,
        numbers: &[u32],
        load: &dyn Fn(UpstreamKey) -> UnderWay,
    ) -> Vec<SlotOutput> {
        let numbers = numbers.iter().copied().collect::<FxHashSet<_>>();
        let grants = self
            .askers
            .get(from)
            .into_iter()
            .flat_map(|asker| &asker.grants);
        let ended = grants.filter(|(number, grant)| {
            !numbers.contains(number) && now >= grant.granted_at + Self::MIN_GRANT_AGE
        });
        let ended = ended.map(|(number, _)| *number).collect::<Vec<_>>();
        ended
            .into_iter()
            .flat_map(|number| self.end(now, from, number, load))
            .collect()
    }

    /// Refuses the requests whose time to begin is over.
    fn refuse_late(&mut self, now: Duration, group: &SlotGroup) -> Vec<SlotOutput> {
        let late = self.queues.get_mut(group).map_or_else(Vec::new, |queue| {
            queue.remove_where(|slot| now > slot.begin_by)
        });
        let refused = late.into_iter().map(|slot| {
            let wait = self.expected_wait(group, slot.begin_by, &slot.request);
            let (number, retry_ms) = (slot.number, as_ms(wait));
            send(&slot.vm, SlotMessage::Refuse { number, retry_ms })
        });
        refused.collect()
    }

    fn forget(&mut self, now: Duration, vm: &VmId) {
        let asker = self.askers.remove(vm);
        for grant in asker
            .into_iter()
            .flat_map(|asker| asker.grants.into_values())
        {
            self.release(now, &grant);
        }
        for queue in self.queues.values_mut() {
            queue.remove_where(|slot| slot.vm == *vm);
        }
    }

    fn release(&mut self, now: Duration, grant: &SlotGrant) {
        if let Some(engine) = self.engines.get_mut(&grant.engine) {
            engine.end(now, grant);
        }
    }
}

fn send(to: &VmId, message: SlotMessage) -> SlotOutput {
    let to = to.clone();
    SlotOutput::Send { message, to }
}

fn as_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
