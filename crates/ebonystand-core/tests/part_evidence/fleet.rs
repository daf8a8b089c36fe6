use {
    ebonystand_core::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        time::Duration,
    },
};

const REGIONS: usize = 3;
const VMS_PER_REGION: usize = 3;
const UPSTREAMS_PER_REGION: usize = 8;
/// Time after which a VM that was disturbed counts as in touch again.
const CONTACT_TIME: Duration = Duration::from_secs(5);
/// Time that an upstream writes on a part before it ends.
const WRITING_TIME: Duration = Duration::from_millis(90);
/// Time for which an answer must have been written before it counts as survived.
const SURVIVAL_TIME: Duration = Duration::from_millis(200);
/// Part that all prompts begin with.
const FIRST: PromptPartId = 1;
const CRASHING: PromptPartId = 0xdead_0000;
const SERVICE: &str = "engines";

/// What happens to a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Requests a second on each part that ends upstreams.
    pub(crate) crashing_per_s: f64,
    /// Parts that end upstreams.
    pub(crate) crashing_parts: u64,
    /// Requests that end upstreams, each of which comes again as it was, with the parts of sound prompts.
    pub(crate) crashing_requests: u64,
    /// Times a second that each of them comes.
    pub(crate) crashing_request_per_s: f64,
    /// Upstreams that end by themselves.
    pub(crate) crashes_per_s: f64,
    /// Whether regions are cut off from the others in turn.
    pub(crate) cuts: bool,
    /// Parts before one that ends upstreams.
    pub(crate) depth: usize,
    /// Whether the requests that end upstreams have a part that ends them as well.
    pub(crate) has_both: bool,
    /// Messages between VMs that get lost.
    pub(crate) lost_permille: u32,
    /// Times that all upstreams of a region end at once.
    pub(crate) region_losses: u32,
    /// Sound requests that come twice a second as they were.
    pub(crate) repeated: u64,
    pub(crate) restarts_per_s: f64,
    pub(crate) sound_per_s: f64,
    /// Second parts, each of which stands before some of the third parts.
    pub(crate) second_parts: u64,
    pub(crate) third_parts: u64,
}

impl Load {
    pub(crate) const DEFAULT: Self = Self {
        crashing_per_s: 1.25,
        crashing_parts: 1,
        crashing_requests: 0,
        crashing_request_per_s: 1.25,
        crashes_per_s: 0.0,
        cuts: false,
        depth: 1,
        has_both: false,
        lost_permille: 0,
        region_losses: 0,
        repeated: 0,
        restarts_per_s: 0.0,
        sound_per_s: 60.0,
        second_parts: 5,
        third_parts: 20,
    };
}

impl Default for Load {
    fn default() -> Self {
        Self::DEFAULT
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Sound requests that were refused for a quarantined part, or as quarantined themselves.
    pub(crate) denied: u32,
    /// Upstreams lost, for whatever reason.
    pub(crate) ended: u32,
    /// Most upstreams that one part has ended.
    pub(crate) ended_by_part: usize,
    /// Most upstreams that one request has ended.
    pub(crate) ended_by_request: usize,
    /// Most runs of one part or request that began from VMs in touch after the contact time since its third end.
    pub(crate) late: usize,
    /// Longest time for which a sound request was held.
    pub(crate) longest_hold: Duration,
    /// Sound requests.
    pub(crate) sound: u32,
    /// Sound requests that were held.
    pub(crate) held: u32,
    /// Sound requests that were refused for a suspected or quarantined part.
    pub(crate) refused: u32,
    /// Sound requests that no upstream served, refused ones included.
    pub(crate) unserved: u32,
}

/// What ends an upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Cause {
    Part(PromptPartId),
    Request(Fingerprint),
}

/// Message between two VMs.
#[derive(Clone, Debug)]
enum Message {
    Part(PartMessage),
    Request(QuarantineMessage),
}

/// A VM that judges parts and requests.
struct Vm {
    parts: PartQuarantine,
    requests: Quarantine,
}

/// A request, and what became of it so far.
#[derive(Clone)]
struct Prompt {
    cause: Option<Cause>,
    fingerprint: Fingerprint,
    held_since: Option<Duration>,
    id: u64,
    parts: Vec<PromptPartId>,
    tries: u32,
    vm: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(u64),
    /// An upstream has written on a part that ends it.
    Crash {
        run: u64,
    },
    Cut(Option<usize>),
    Deliver {
        from: usize,
        message: usize,
        to: usize,
    },
    EndUpstream {
        region: usize,
        slot: usize,
    },
    Ended {
        run: u64,
    },
    Restart,
    Return {
        region: usize,
        slot: usize,
    },
    Survive {
        run: u64,
    },
    Tick(usize),
}

#[derive(Clone, Copy, Default)]
struct Slot {
    incarnation: u32,
    is_down: bool,
}

struct Run {
    has_survived: bool,
    incarnation: u32,
    request: u64,
    slot: usize,
}

pub(crate) struct Fleet {
    cut: Option<usize>,
    disturbed: Vec<Option<Duration>>,
    ends: BTreeMap<Cause, Vec<Duration>>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    late: BTreeMap<Cause, usize>,
    links: BTreeMap<(usize, usize), Duration>,
    /// The same of messages about requests.
    request_links: BTreeMap<(usize, usize), Duration>,
    load: Load,
    messages: Vec<Option<Message>>,
    next: u64,
    now: Duration,
    outcome: Outcome,
    requests: BTreeMap<u64, Prompt>,
    rng: Pcg64Mcg,
    runs: BTreeMap<u64, Run>,
    slots: Vec<Vec<Slot>>,
    /// Random numbers of messages about requests, which leave those of the rest as they are.
    request_rng: Pcg64Mcg,
    vms: Vec<Vm>,
}

fn region_of(vm: usize) -> usize {
    vm / VMS_PER_REGION
}

fn name(vm: usize) -> VmId {
    format!("vm-{vm}").into()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Fleet {
    const MAX_HOLD: Duration = Duration::from_secs(2);

    pub(crate) fn new(seed: u64, load: Load) -> Self {
        let vms = REGIONS * VMS_PER_REGION;
        let mut fleet = Self {
            cut: None,
            disturbed: vec![None; vms],
            ends: BTreeMap::new(),
            events: BinaryHeap::new(),
            late: BTreeMap::new(),
            links: BTreeMap::new(),
            request_links: BTreeMap::new(),
            load,
            messages: Vec::new(),
            next: 0,
            now: Duration::ZERO,
            outcome: Outcome::default(),
            requests: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            request_rng: Pcg64Mcg::seed_from_u64(!seed),
            runs: BTreeMap::new(),
            slots: vec![vec![Slot::default(); UPSTREAMS_PER_REGION]; REGIONS],
            vms: Vec::new(),
        };
        fleet.vms = (0..vms).map(|vm| fleet.new_vm(vm, 0)).collect();
        fleet
    }

    fn new_vm(&self, vm: usize, first_report: u64) -> Vm {
        let mut parts = PartQuarantine::new(name(vm), first_report);
        let mut requests = Quarantine::new(name(vm), first_report);
        let vms = 0..REGIONS * VMS_PER_REGION;
        let near = vms
            .clone()
            .filter(|other| region_of(*other) == region_of(vm));
        let near = near.map(name).collect::<BTreeSet<_>>();
        let all = vms.map(name).collect::<BTreeSet<_>>();
        parts.set_region_vms(near.clone());
        parts.set_live_vms(self.now, all.clone());
        requests.set_region_vms(near);
        requests.set_live_vms(self.now, all);
        Vm { parts, requests }
    }

    pub(crate) fn play(mut self, time: Duration) -> Outcome {
        for vm in 0..self.vms.len() {
            self.after(ms(10 * vm as u64), Event::Tick(vm));
        }
        self.plan(time);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > time {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        for (cause, ends) in &self.ends {
            let most = match cause {
                Cause::Part(_) => &mut self.outcome.ended_by_part,
                Cause::Request(_) => &mut self.outcome.ended_by_request,
            };
            *most = ends.len().max(*most);
        }
        self.outcome.late = self.late.values().copied().max().unwrap_or_default();
        self.outcome
    }

    fn plan(&mut self, time: Duration) {
        let load = self.load;
        self.plan_requests(time, load.sound_per_s, None);
        for part in 0..load.crashing_parts {
            self.plan_requests(time, load.crashing_per_s, Some(CRASHING + part));
        }
        for _ in 0..(time.as_secs_f64() * load.crashes_per_s) as u64 {
            let at = self.draw_time(time);
            let (region, slot) = (self.draw(REGIONS), self.draw(UPSTREAMS_PER_REGION));
            self.after(at, Event::EndUpstream { region, slot });
        }
        for n in 0..load.region_losses {
            let at = time * (n + 1) / (load.region_losses + 1);
            let region = self.draw(REGIONS);
            for slot in 0..UPSTREAMS_PER_REGION {
                self.after(at, Event::EndUpstream { region, slot });
            }
        }
        for _ in 0..(time.as_secs_f64() * load.restarts_per_s) as u64 {
            let at = self.draw_time(time);
            self.after(at, Event::Restart);
        }
        self.plan_repeated(time);
        if load.cuts {
            for region in 0..REGIONS {
                let at = Duration::from_secs(1 + 13 * region as u64);
                self.after(at, Event::Cut(Some(region)));
                self.after(at + Duration::from_secs(4), Event::Cut(None));
            }
        }
    }

    fn plan_requests(&mut self, time: Duration, per_s: f64, crashing: Option<PromptPartId>) {
        for _ in 0..(time.as_secs_f64() * per_s) as u64 {
            let at = self.draw_time(time);
            let third = self.rng.random_range(0..self.load.third_parts);
            let second = third % self.load.second_parts;
            let mut parts = vec![FIRST, 100 + second, 1_000 + third];
            if let Some(part) = crashing {
                parts.insert(self.load.depth, part);
            }
            self.next += 1;
            let request = Prompt {
                cause: crashing.map(Cause::Part),
                fingerprint: self.next.into(),
                held_since: None,
                id: self.next,
                parts,
                tries: 0,
                vm: self.draw(REGIONS * VMS_PER_REGION),
            };
            self.requests.insert(request.id, request);
            self.after(at, Event::Arrive(self.next));
        }
    }

    /// Plans requests that come again as they were. Those that end upstreams share their parts.
    fn plan_repeated(&mut self, time: Duration) {
        const FIRST_CRASHING: Fingerprint = 1 << 100;
        const FIRST_SOUND: Fingerprint = 1 << 101;
        const SOUND_PER_S: f64 = 2.0;
        let load = self.load;
        let mut rng = Pcg64Mcg::seed_from_u64(self.request_rng.random());
        let ordinary = |third: u64| vec![FIRST, 100 + third % load.second_parts, 1_000 + third];
        let mut shared = ordinary(rng.random_range(0..load.third_parts));
        if load.has_both {
            shared.insert(load.depth, CRASHING);
        }
        let crashing = (0..load.crashing_requests)
            .map(|n| (FIRST_CRASHING + u128::from(n), shared.clone(), true));
        let sound = (0..load.repeated).map(|n| {
            let third = (n + 1) % load.third_parts;
            (FIRST_SOUND + u128::from(n), ordinary(third), false)
        });
        for (fingerprint, parts, ends) in crashing.chain(sound) {
            let per_s = match ends {
                true => load.crashing_request_per_s,
                false => SOUND_PER_S,
            };
            for _ in 0..(time.as_secs_f64() * per_s) as u64 {
                self.next += 1;
                let request = Prompt {
                    cause: ends.then_some(Cause::Request(fingerprint)),
                    fingerprint,
                    held_since: None,
                    id: self.next,
                    parts: parts.clone(),
                    tries: 0,
                    vm: rng.random_range(0..REGIONS * VMS_PER_REGION),
                };
                self.requests.insert(request.id, request);
                let at = Duration::from_micros(rng.random_range(0..time.as_micros() as u64));
                self.after(at, Event::Arrive(self.next));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Crash { run } => self.crash(run),
            Event::Cut(region) => {
                self.cut = region;
                self.disturbed = vec![Some(self.now); self.vms.len()];
            }
            Event::Deliver { from, message, to } => {
                let message = self.messages[message].take().unwrap();
                if self.is_connected(from, to) {
                    self.receive(from, to, message);
                }
            }
            Event::EndUpstream { region, slot } => self.end_upstream(region, slot),
            Event::Ended { run } => {
                self.runs.remove(&run);
            }
            Event::Restart => self.restart(),
            Event::Return { region, slot } => {
                let slot = &mut self.slots[region][slot];
                slot.is_down = false;
                slot.incarnation += 1;
            }
            Event::Survive { run } => self.survive(run),
            Event::Tick(vm) => {
                let output = self.vms[vm].parts.tick(self.now);
                self.send(vm, output);
                let output = self.vms[vm].requests.tick(self.now);
                self.send_about_requests(vm, output);
                let crashing = self.vms[vm].requests.quarantined(self.now);
                let parts = &mut self.vms[vm].parts;
                let output = parts.set_crashing_requests(self.now, crashing);
                self.send(vm, output);
                let explained = self.vms[vm].parts.explained_ends(self.now);
                let requests = &mut self.vms[vm].requests;
                let output = requests.set_explained_ends(self.now, explained);
                self.send_about_requests(vm, output);
                self.after(ms(100), Event::Tick(vm));
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let (now, from) = (self.now, name(from));
        match message {
            Message::Part(message) => {
                let output = self.vms[to].parts.handle_message(now, &from, message);
                self.send(to, output);
            }
            Message::Request(message) => {
                let output = self.vms[to].requests.handle_message(now, &from, message);
                self.send_about_requests(to, output);
            }
        }
    }

    fn arrive(&mut self, id: u64) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let is_sound = request.cause.is_none();
        if request.tries == 0 && request.held_since.is_none() {
            self.outcome.sound += u32::from(is_sound);
        }
        let (now, vm) = (self.now, request.vm);
        let service = ServiceId::from(SERVICE);
        let requests = &self.vms[vm].requests;
        if requests.refusal(now, request.fingerprint).is_some() {
            return self.deny(&request);
        }
        if requests.is_held(now, request.fingerprint) {
            self.requests.insert(id, request);
            return self.after(ms(20), Event::Arrive(id));
        }
        let gate = self.vms[vm].parts.gate(now, SERVICE, &request.parts, id);
        match gate {
            PartGate::Open => {}
            PartGate::Held => {
                let since = *request.held_since.get_or_insert(now);
                self.outcome.held += u32::from(is_sound && since == now);
                let (parts, fingerprint) = (&request.parts, request.fingerprint);
                let judge = &mut self.vms[vm].parts;
                let output = judge.request_trial(now, &service, parts, id, fingerprint);
                self.send(vm, output);
                if now >= since + Self::MAX_HOLD {
                    return self.refuse(&request);
                }
                self.requests.insert(id, request);
                return self.after(ms(20), Event::Arrive(id));
            }
            PartGate::Refused { part, .. } => {
                if self.vms[vm].requests.is_suspect(now, request.fingerprint) {
                    let output = self.vms[vm].parts.report_repeated(now, &service, part);
                    self.send(vm, output);
                }
                return self.deny(&request);
            }
        }
        if let (Some(since), true) = (request.held_since, is_sound) {
            self.outcome.longest_hold = self.outcome.longest_hold.max(now - since);
        }
        let region = region_of(vm);
        let up = (0..UPSTREAMS_PER_REGION).filter(|slot| !self.slots[region][*slot].is_down);
        let up = up.collect::<Vec<_>>();
        if up.is_empty() {
            let output = self.vms[vm].parts.return_trial(now, &service, id);
            self.send(vm, output);
            self.outcome.unserved += u32::from(is_sound);
            return;
        }
        self.record_arrival(&request);
        let slot = up[self.draw(up.len())];
        self.next += 1;
        let run = self.next;
        let begins = ms(self.rng.random_range(50..400));
        if request.cause.is_some() {
            self.after(begins + WRITING_TIME, Event::Crash { run });
        } else {
            self.after(begins + SURVIVAL_TIME, Event::Survive { run });
            let takes = ms(self.rng.random_range(200..2_500));
            self.after(begins + takes, Event::Ended { run });
        }
        let incarnation = self.slots[region][slot].incarnation;
        self.requests.insert(id, request);
        let run_state = Run {
            has_survived: false,
            incarnation,
            request: id,
            slot,
        };
        self.runs.insert(run, run_state);
    }

    fn deny(&mut self, request: &Prompt) {
        self.outcome.denied += u32::from(request.cause.is_none());
        self.refuse(request);
    }

    fn refuse(&mut self, request: &Prompt) {
        let is_sound = u32::from(request.cause.is_none());
        self.outcome.refused += is_sound;
        self.outcome.unserved += is_sound;
    }

    /// Counts an arrival at an upstream that comes too late.
    fn record_arrival(&mut self, request: &Prompt) {
        let Some(cause) = request.cause else { return };
        let is_cut = self.cut == Some(region_of(request.vm));
        let disturbed = self.disturbed[request.vm];
        let is_in_touch = !is_cut && disturbed.is_none_or(|at| self.now >= at + CONTACT_TIME);
        let third = self.ends.get(&cause).and_then(|ends| ends.get(2));
        if is_in_touch && third.is_some_and(|at| self.now >= *at + CONTACT_TIME) {
            *self.late.entry(cause).or_default() += 1;
        }
    }

    fn survive(&mut self, run: u64) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        run.has_survived = true;
        let request = &self.requests[&run.request];
        let vm = request.vm;
        let fingerprint = request.fingerprint;
        let parts = &mut self.vms[vm].parts;
        let output = parts.record_survival(self.now, &SERVICE.into(), &request.parts);
        self.send(vm, output);
        let requests = &mut self.vms[vm].requests;
        if requests.is_watching(self.now) {
            let output = requests.record_survival(self.now, fingerprint);
            self.send_about_requests(vm, output);
        }
    }

    fn crash(&mut self, run: u64) {
        let Some(run) = self.runs.get(&run) else {
            return;
        };
        let request = &self.requests[&run.request];
        let (region, slot) = (region_of(request.vm), run.slot);
        let place = self.slots[region][slot];
        if place.is_down || place.incarnation != run.incarnation {
            return;
        }
        let cause = request.cause.unwrap();
        self.ends.entry(cause).or_default().push(self.now);
        self.end_upstream(region, slot);
    }

    /// Ends an upstream, with all runs on it.
    fn end_upstream(&mut self, region: usize, slot: usize) {
        let place = &mut self.slots[region][slot];
        if place.is_down {
            return;
        }
        place.is_down = true;
        let incarnation = place.incarnation;
        let upstream = UpstreamId::from(format!("i-{region}-{slot}-{incarnation}"));
        self.outcome.ended += 1;
        self.after(ms(3_000), Event::Return { region, slot });
        let requests = &self.requests;
        let lost = self.runs.extract_if(.., |_, run| {
            let of_region = region_of(requests[&run.request].vm) == region;
            of_region && run.slot == slot && run.incarnation == incarnation
        });
        let lost = lost.map(|(_, run)| run).collect::<Vec<_>>();
        let mut by_vm = BTreeMap::<usize, Vec<u64>>::new();
        for run in lost {
            let request = &self.requests[&run.request];
            let (vm, fingerprint) = (request.vm, request.fingerprint);
            if !run.has_survived {
                by_vm.entry(vm).or_default().push(run.request);
            }
            let requests = &mut self.vms[vm].requests;
            let output = requests.report_crash(self.now, fingerprint, &upstream);
            self.send_about_requests(vm, output);
        }
        for (vm, requests) in by_vm {
            let is_trial = |id| self.vms[vm].parts.is_trial(self.now, id);
            let trials = requests.iter().copied().filter(|id| is_trial(*id));
            let trials = trials.collect::<BTreeSet<_>>();
            let runs = requests.iter().map(|id| LostRun {
                fingerprint: self.requests[id].fingerprint,
                is_trial: trials.contains(id),
                parts: self.requests[id].parts.clone(),
            });
            let runs = runs.collect();
            let parts = &mut self.vms[vm].parts;
            let output = parts.report_loss(self.now, &SERVICE.into(), &upstream, runs);
            self.send(vm, output);
            for id in requests {
                self.retry(id, trials.contains(&id));
            }
        }
    }

    fn retry(&mut self, id: u64, was_trial: bool) {
        let request = self.requests.get_mut(&id).unwrap();
        if request.tries == 0 && !was_trial {
            request.tries = 1;
            request.held_since = None;
            self.after(ms(20), Event::Arrive(id));
        } else {
            self.outcome.unserved += u32::from(request.cause.is_none());
        }
    }

    fn restart(&mut self) {
        let vm = self.draw(self.vms.len());
        self.disturbed[vm] = Some(self.now);
        let requests = &self.requests;
        self.runs.retain(|_, run| requests[&run.request].vm != vm);
        self.next += 1;
        self.vms[vm] = self.new_vm(vm, self.next << 32);
        for other in (0..self.vms.len()).filter(|other| *other != vm) {
            let output = self.vms[other].parts.handle_restart(self.now, &name(vm));
            self.send(other, output);
            let output = self.vms[other].requests.handle_restart(self.now, &name(vm));
            self.send_about_requests(other, output);
        }
    }

    fn send(&mut self, from: usize, output: PartOutput) {
        for OutgoingPartMessage { message, to } in output.messages {
            if self.rng.random_range(0..1_000) < self.load.lost_permille {
                continue;
            }
            let delay = ms(self.rng.random_range(1..60));
            self.pass(from, &to, delay, Message::Part(message));
        }
    }

    fn send_about_requests(&mut self, from: usize, output: QuarantineOutput) {
        for OutgoingQuarantineMessage { message, to } in output.messages {
            if self.request_rng.random_range(0..1_000) < self.load.lost_permille {
                continue;
            }
            let delay = ms(self.request_rng.random_range(1..60));
            self.pass(from, &to, delay, Message::Request(message));
        }
    }

    fn pass(&mut self, from: usize, to: &str, delay: Duration, message: Message) {
        let to = (0..self.vms.len()).find(|vm| *name(*vm) == *to).unwrap();
        self.messages.push(Some(message));
        let at = self.now + delay;
        // A connection between two VMs keeps the order of its messages.
        let link = match &self.messages[self.messages.len() - 1] {
            Some(Message::Request(_)) => &mut self.request_links,
            _ => &mut self.links,
        };
        let last = link.entry((from, to)).or_default();
        *last = at.max(*last + Duration::from_micros(1));
        let (delay, message) = (*last - self.now, self.messages.len() - 1);
        self.after(delay, Event::Deliver { from, message, to });
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.next += 1;
        self.events
            .push(Reverse((self.now + delay, self.next, event)));
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        let is_cut = |vm| self.cut == Some(region_of(vm));
        is_cut(a) == is_cut(b)
    }

    fn draw(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn draw_time(&mut self, time: Duration) -> Duration {
        let at = self.rng.random_range(0..time.as_micros() as u64);
        Duration::from_micros(at)
    }
}
