use super::*;
use open_slot_request::{AskedScheduler, SchedulerAnswer};

/// Asks schedulers for the slots that the requests of one VM need.
#[derive(Clone, Debug)]
pub struct SlotClient {
    /// Requests with a grant, by scheduler.
    held: BTreeMap<VmId, BTreeSet<u32>>,
    /// When each scheduler was last heard.
    heard: BTreeMap<VmId, Duration>,
    next_held: Duration,
    next_number: u32,
    open: BTreeMap<u32, OpenSlotRequest>,
    /// Schedulers that left a request unanswered, and until when they are not asked.
    silent: BTreeMap<VmId, Duration>,
}

impl SlotClient {
    /// Time in which a scheduler must answer; some ten round trips within a region.
    pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
    /// Time for which a scheduler is passed over after a silence.
    pub const SILENCE_HOLD: Duration = Duration::from_secs(1);
    /// Time between two lists of what this VM holds.
    pub const HELD_INTERVAL: Duration = Duration::from_millis(500);
    /// Schedulers that are asked for one request.
    pub const MAX_ASKED: usize = 2;
    /// Time without a message from a scheduler after which it is asked again for a request that waits there.
    const QUIET_TIME: Duration = Duration::from_millis(100);
    /// Costs that differ by less can't be told apart: load is known that late.
    const COST_TOLERANCE: Duration = Duration::from_millis(100);

    /// Creates the client of a VM. `first_number` is random, so that a VM that starts anew does not use the
    /// numbers of its former requests.
    #[must_use]
    pub fn new(first_number: u32) -> Self {
        Self {
            held: BTreeMap::new(),
            heard: BTreeMap::new(),
            next_held: Duration::ZERO,
            next_number: first_number,
            open: BTreeMap::new(),
            silent: BTreeMap::new(),
        }
    }

    /// Returns whether this VM neither waits for a slot nor holds one.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.held.is_empty()
    }

    /// Returns the scheduler that has granted a request a slot.
    #[must_use]
    pub fn holder(&self, number: u32) -> Option<&VmId> {
        let mut held = self.held.iter();
        let (vm, _) = held.find(|(_, numbers)| numbers.contains(&number))?;
        Some(vm)
    }

    /// Returns the number of requests that wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.open.len()
    }

    /// Asks for a slot at one of `engines`, the cheapest first. Returns the number of the request and the
    /// message; `None` if no scheduler can be asked.
    pub fn open(
        &mut self,
        now: Duration,
        request: SlotRequest,
        engines: &[RankedEngine],
        plan: &SlotPlan,
        random: u64,
    ) -> Option<(u32, SlotOutput)> {
        self.silent.retain(|_, until| now < *until);
        let targets = self.targets(engines, plan, random);
        let mut open = OpenSlotRequest {
            asked: Vec::new(),
            begin_by: now + Duration::from_millis(u64::from(request.begin_ms)),
            request,
            targets,
        };
        let number = self.next_number;
        let output = ask_next(now, number, &mut open)?;
        self.next_number = number.wrapping_add(1);
        self.open.insert(number, open);
        Some((number, output))
    }

    /// Processes a message of a scheduler.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: &VmId,
        message: &SlotMessage,
    ) -> Vec<SlotOutput> {
        self.heard.insert(from.clone(), now);
        match *message {
            SlotMessage::Grant { engine, number } => self.handle_grant(from, number, engine),
            SlotMessage::Queued { number } => {
                self.handle_answer(now, from, number, SchedulerAnswer::Queued)
            }
            SlotMessage::Refuse { number, retry_ms } => {
                let retry_after = Duration::from_millis(u64::from(retry_ms));
                self.handle_answer(now, from, number, SchedulerAnswer::Refused { retry_after })
            }
            SlotMessage::Begun { .. }
            | SlotMessage::End { .. }
            | SlotMessage::Held { .. }
            | SlotMessage::Request { .. } => Vec::new(),
        }
    }

    /// Tells the scheduler that the answer of a granted request has begun, `waited` after it was sent.
    pub fn begin(&mut self, number: u32, waited: Duration) -> Option<SlotOutput> {
        let (vm, _) = self
            .held
            .iter()
            .find(|(_, numbers)| numbers.contains(&number))?;
        let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        Some(send(vm, SlotMessage::Begun { number, waited_ms }))
    }

    /// Returns a slot, or ends the wait for it.
    pub fn end(&mut self, number: u32) -> Vec<SlotOutput> {
        if let Some(open) = self.open.remove(&number) {
            return withdraw(number, &open, None);
        }
        let mut holders = self.held.iter_mut();
        let Some((vm, numbers)) = holders.find(|(_, numbers)| numbers.contains(&number)) else {
            return Vec::new();
        };
        let vm = vm.clone();
        numbers.remove(&number);
        self.held.retain(|_, numbers| !numbers.is_empty());
        vec![send(&vm, SlotMessage::End { number })]
    }

    /// Gives up on schedulers that don't answer, and lists what this VM holds.
    pub fn tick(&mut self, now: Duration) -> Vec<SlotOutput> {
        let mut outputs = self.pass_over_silent(now);
        outputs.append(&mut self.ask_quiet_again(now));
        outputs.append(&mut self.refuse_late(now));
        if now >= self.next_held {
            self.next_held = now + Self::HELD_INTERVAL;
            outputs.append(&mut self.list_held());
        }
        let heard = &mut self.heard;
        heard.retain(|_, at| now < *at + Self::SILENCE_HOLD);
        outputs
    }

    /// Groups engines by scheduler. Of those that cost about the same, a random one is asked first.
    fn targets(
        &self,
        engines: &[RankedEngine],
        plan: &SlotPlan,
        random: u64,
    ) -> VecDeque<(VmId, Vec<SlotOffer>)> {
        let mut groups = Vec::<(&SlotGroup, &VmId, Duration, Vec<SlotOffer>)>::new();
        for ranked in engines {
            let Some(group) = plan.group(ranked.offer.engine) else {
                continue;
            };
            if let Some((.., offers)) = groups.iter_mut().find(|(other, ..)| *other == group) {
                if offers.len() < SlotRequest::MAX_ENGINES {
                    offers.push(ranked.offer);
                }
                continue;
            }
            let scheduler = plan.scheduler(group);
            if let Some(vm) = scheduler.filter(|vm| !self.silent.contains_key(*vm)) {
                groups.push((group, vm, ranked.cost, vec![ranked.offer]));
            }
        }
        let least = groups.iter().map(|(_, _, cost, _)| *cost).min();
        let limit = least.unwrap_or_default() + Self::COST_TOLERANCE;
        let rendezvous = RendezvousHash::new(random);
        groups.sort_by_key(|(group, _, cost, _)| {
            let weight = rendezvous.weight(&group.number.to_string());
            ((*cost).max(limit), std::cmp::Reverse(weight))
        });
        let mut targets = VecDeque::<(VmId, Vec<SlotOffer>)>::new();
        for (_, vm, _, offers) in groups {
            if targets.len() < Self::MAX_ASKED && targets.iter().all(|(other, _)| other != vm) {
                targets.push_back((vm.clone(), offers));
            }
        }
        targets
    }

    fn handle_grant(&mut self, from: &VmId, number: u32, engine: UpstreamKey) -> Vec<SlotOutput> {
        let is_held = |numbers: &BTreeSet<u32>| numbers.contains(&number);
        if self.held.get(from).is_some_and(is_held) {
            return Vec::new();
        }
        let open = self.open.get(&number);
        let is_open = open.is_some_and(|open| open.asked.iter().any(|asked| asked.vm == *from));
        let Some(open) = self.open.remove(&number).filter(|_| is_open) else {
            return vec![send(from, SlotMessage::End { number })];
        };
        self.held.entry(from.clone()).or_default().insert(number);
        let mut outputs = withdraw(number, &open, Some(from));
        let decision = SlotDecision::Granted { engine };
        outputs.push(SlotOutput::Decide { decision, number });
        outputs
    }

    fn handle_answer(
        &mut self,
        now: Duration,
        from: &VmId,
        number: u32,
        answer: SchedulerAnswer,
    ) -> Vec<SlotOutput> {
        let Some(open) = self.open.get_mut(&number) else {
            return Vec::new();
        };
        let mut asked = open.asked.iter_mut();
        let Some(asked) = asked.find(|asked| asked.vm == *from) else {
            return Vec::new();
        };
        if asked.answer != SchedulerAnswer::Silent {
            asked.answer = answer;
        }
        let mut outputs = ask_next(now, number, open).into_iter().collect::<Vec<_>>();
        outputs.append(&mut self.decide(&[number]));
        outputs
    }

    /// Marks the schedulers that have not answered in time, for all requests.
    fn pass_over_silent(&mut self, now: Duration) -> Vec<SlotOutput> {
        let asked = self.open.values().flat_map(|open| &open.asked);
        let silent = asked.filter(|asked| match asked.answer {
            SchedulerAnswer::Awaited { since } => now >= since + Self::ANSWER_TIMEOUT,
            _ => false,
        });
        let silent = silent
            .map(|asked| asked.vm.clone())
            .collect::<BTreeSet<_>>();
        if silent.is_empty() {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        for (number, open) in &mut self.open {
            for asked in open
                .asked
                .iter_mut()
                .filter(|asked| silent.contains(&asked.vm))
            {
                if !matches!(asked.answer, SchedulerAnswer::Refused { .. }) {
                    asked.answer = SchedulerAnswer::Silent;
                    outputs.push(send(&asked.vm, SlotMessage::End { number: *number }));
                }
            }
        }
        let until = now + Self::SILENCE_HOLD;
        self.silent.extend(silent.into_iter().map(|vm| (vm, until)));
        let numbers = self.open.keys().copied().collect::<Vec<_>>();
        outputs.append(&mut self.decide(&numbers));
        outputs
    }

    /// Asks each scheduler again that requests wait at and that has said nothing for a while.
    fn ask_quiet_again(&mut self, now: Duration) -> Vec<SlotOutput> {
        let mut outputs = Vec::new();
        let mut asked_again = BTreeSet::new();
        for (number, open) in &mut self.open {
            let heard = &self.heard;
            let is_quiet = |vm: &VmId| heard.get(vm).is_none_or(|at| now >= *at + Self::QUIET_TIME);
            let mut asked = open.asked.iter_mut();
            let quiet =
                asked.find(|asked| asked.answer == SchedulerAnswer::Queued && is_quiet(&asked.vm));
            let Some(quiet) = quiet else { continue };
            if !asked_again.insert(quiet.vm.clone()) {
                continue;
            }
            quiet.answer = SchedulerAnswer::Awaited { since: now };
            let (vm, engines) = (quiet.vm.clone(), quiet.engines.clone());
            outputs.push(send(&vm, open.message(now, *number, &engines)));
        }
        outputs
    }

    /// Refuses the requests whose time to begin is over although no scheduler has said so.
    fn refuse_late(&mut self, now: Duration) -> Vec<SlotOutput> {
        let open = self.open.iter();
        let late = open.filter(|(_, open)| now > open.begin_by + Self::ANSWER_TIMEOUT);
        let late = late.map(|(number, _)| *number).collect::<Vec<_>>();
        let mut outputs = Vec::new();
        for number in late {
            outputs.append(&mut self.end(number));
            let decision = SlotDecision::Refused {
                retry_after: Duration::ZERO,
            };
            outputs.push(SlotOutput::Decide { decision, number });
        }
        outputs
    }

    fn list_held(&self) -> Vec<SlotOutput> {
        let mut lists = self.held.clone();
        for (number, open) in &self.open {
            for asked in &open.asked {
                let is_open = matches!(
                    asked.answer,
                    SchedulerAnswer::Awaited { .. } | SchedulerAnswer::Queued
                );
                if is_open {
                    lists.entry(asked.vm.clone()).or_default().insert(*number);
                }
            }
        }
        let lists = lists.into_iter().map(|(vm, numbers)| {
            let numbers = numbers.into_iter().collect();
            send(&vm, SlotMessage::Held { numbers })
        });
        lists.collect()
    }

    /// Ends the wait of those of the requests that no scheduler can grant a slot any more.
    fn decide(&mut self, numbers: &[u32]) -> Vec<SlotOutput> {
        let mut outputs = Vec::new();
        for number in numbers {
            let open = self.open.get(number);
            if let Some(decision) = open.and_then(OpenSlotRequest::decision) {
                self.open.remove(number);
                let number = *number;
                outputs.push(SlotOutput::Decide { decision, number });
            }
        }
        outputs
    }
}

/// Asks the next scheduler of a request, if there is one.
fn ask_next(now: Duration, number: u32, open: &mut OpenSlotRequest) -> Option<SlotOutput> {
    let (vm, engines) = open.targets.pop_front()?;
    let message = open.message(now, number, &engines);
    open.asked.push(AskedScheduler {
        answer: SchedulerAnswer::Awaited { since: now },
        engines,
        vm: vm.clone(),
    });
    Some(send(&vm, message))
}

/// Ends a request at the schedulers that may still grant it a slot, but for `granted`.
fn withdraw(number: u32, open: &OpenSlotRequest, granted: Option<&VmId>) -> Vec<SlotOutput> {
    let asked = open.asked.iter().filter(|asked| {
        let is_open = matches!(
            asked.answer,
            SchedulerAnswer::Awaited { .. } | SchedulerAnswer::Queued
        );
        is_open && Some(&asked.vm) != granted
    });
    let ended = asked.map(|asked| send(&asked.vm, SlotMessage::End { number }));
    ended.collect()
}

fn send(to: &VmId, message: SlotMessage) -> SlotOutput {
    let to = to.clone();
    SlotOutput::Send { message, to }
}
