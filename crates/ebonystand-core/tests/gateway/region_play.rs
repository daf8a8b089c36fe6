//! Play of three regions whose callers peak in turn, with the decisions of their VMs and without a network.

use super::*;

/// What callers got.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Tally {
    pub(crate) asked: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Requests sent to another region, and those of them that were refused there.
    pub(crate) sent_away: u32,
    pub(crate) refused_away: u32,
    /// Requests that two regions sent each other within a quarter of a second.
    pub(crate) crossed: u32,
}

impl Tally {
    /// Worth of the answers: a late one is worth little to its caller.
    pub(crate) fn worth(&self) -> f64 {
        (f64::from(self.in_time) + 0.12 * f64::from(self.late)) / f64::from(self.asked)
    }
}

/// How the regions play.
#[derive(Clone)]
pub(crate) struct Terms {
    /// Load of each region, in permille of its slots, by quarter of the play.
    pub(crate) load: [[u64; 4]; 3],
    pub(crate) disabled: BTreeSet<Mechanism>,
    /// Changes a report of a region on its way; `None` loses it.
    pub(crate) report: fn(Duration, usize, ServiceLatency) -> Option<ServiceLatency>,
    /// Time at which the first VM of the first region starts anew.
    pub(crate) restarts_at: Option<Duration>,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            load: [[450; 4]; 3],
            disabled: BTreeSet::new(),
            report: |_, _, latency| Some(latency),
            restarts_at: None,
        }
    }
}

#[derive(Clone)]
struct Job {
    arrived: Duration,
    /// Time from which its wait for room counts where it is now.
    admitted: Duration,
    excluded: BTreeSet<RegionId>,
    home: (usize, usize),
    number: u64,
}

enum Event {
    Arrive {
        region: usize,
        to: Duration,
    },
    Try {
        at: (usize, usize),
        job: Job,
    },
    Refused {
        by: usize,
        job: Job,
    },
    End {
        by: (usize, usize),
        upstream: Box<str>,
        waited: Duration,
    },
    Exchange,
    Report {
        of: usize,
        latency: ServiceLatency,
    },
    Pressure,
}

const REGIONS: [&str; 3] = ["a", "b", "c"];
const ENGINES: [u64; 3] = [14, 9, 5];
const SLOTS: u64 = 12;
const VMS: usize = 4;
/// Time for which a request occupies a slot, one way between regions, and target of the callers.
const HOLD: Duration = Duration::from_millis(400);
const WAY: Duration = Duration::from_millis(55);
const AIM: Duration = Duration::from_millis(500);
const QUARTER: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(20);

struct Play {
    books: Vec<Vec<UpstreamBook>>,
    /// Times at which the slots of each upstream become free.
    busy: BTreeMap<Box<str>, Vec<Duration>>,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
    last_away: BTreeMap<(usize, usize), Duration>,
    tally: Tally,
    terms: Terms,
}

fn listed_all() -> Vec<ListedUpstream> {
    let mut all = Vec::new();
    for (region, engines) in REGIONS.iter().zip(ENGINES) {
        for n in 0..engines {
            let mut one = listed(&format!("{region}{n}"), &format!("{region}-1"), 1);
            one.slots = SLOTS as u32;
            all.push(one);
        }
    }
    all
}

fn new_book(region: usize, vm: usize, disabled: &BTreeSet<Mechanism>) -> UpstreamBook {
    let zones = REGIONS.map(|region| (format!("{region}-1").into(), region.into()));
    let name = REGIONS[region];
    let place = Place {
        region: name.into(),
        zone: format!("{name}-1").into(),
    };
    let mut book = UpstreamBook::new(vm_name(region, vm), place, BTreeMap::from(zones))
        .with_region_delay(WAY)
        .with_disabled_mechanisms(disabled.clone());
    book.update_list(ms(0), ListScope::AllRegions, listed_all());
    let vms = (0..VMS).map(|vm| vm_name(region, vm).to_string());
    book.set_vms(ms(0), &region_vms(vms));
    book.set_region_vms(REGIONS.map(|region| (region.into(), VMS)).into());
    book
}

fn vm_name(region: usize, vm: usize) -> VmId {
    format!("{}-vm{vm}", REGIONS[region]).into()
}

/// Plays four quarters and returns what callers got.
pub(crate) fn play(terms: Terms) -> Tally {
    let books = (0..REGIONS.len()).map(|region| {
        let vms = 0..VMS;
        vms.map(|vm| new_book(region, vm, &terms.disabled))
            .collect()
    });
    let mut play = Play {
        books: books.collect(),
        busy: BTreeMap::new(),
        events: BTreeMap::new(),
        next: 0,
        last_away: BTreeMap::new(),
        tally: Tally::default(),
        terms,
    };
    for region in 0..REGIONS.len() {
        for quarter in 0..4 {
            let from = QUARTER * quarter;
            let to = from + QUARTER;
            play.push(from, Event::Arrive { region, to });
        }
    }
    play.push(ms(0), Event::Exchange);
    play.push(ms(10), Event::Pressure);
    while let Some(((now, _), event)) = play.events.pop_first() {
        if now > QUARTER * 4 + ms(3_000) {
            break;
        }
        play.handle(now, event);
    }
    play.tally
}

impl Play {
    fn push(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive { region, to } => self.arrive(now, region, to),
            Event::Try { at, job } => self.attempt(now, at, job),
            Event::Refused { by, mut job } => {
                let (region, vm) = job.home;
                self.tally.refused_away += 1;
                job.excluded.insert(REGIONS[by].into());
                self.books[region][vm].record_region_refusal(now, &REGIONS[by].into(), "s");
                self.attempt(now, job.home, job);
            }
            Event::End {
                by,
                upstream,
                waited,
            } => {
                let book = &mut self.books[by.0][by.1];
                book.record_attempt_end(now, &upstream, AttemptEnd::Answered, waited);
            }
            Event::Exchange => self.exchange(now),
            Event::Report { of, latency } => {
                for region in (0..REGIONS.len()).filter(|region| *region != of) {
                    for book in &mut self.books[region] {
                        let told = vec![("s".into(), latency)];
                        book.receive_region_latencies(now, &REGIONS[of].into(), told);
                    }
                }
            }
            Event::Pressure => self.report(now),
        }
    }

    fn arrive(&mut self, now: Duration, region: usize, to: Duration) {
        let quarter = (now.as_millis() / QUARTER.as_millis()) as usize;
        let slots = ENGINES[region] * SLOTS;
        let per_s = slots * self.terms.load[region][quarter] / HOLD.as_millis() as u64;
        self.next += 1;
        let number = self.next;
        // Gaps between half and one and a half times the mean, by a fixed hash of the number.
        let spread = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 44;
        let gap = Duration::from_micros(1_000_000 / per_s * (512 + spread % 1_024) / 1_024);
        if now + gap < to {
            self.push(now + gap, Event::Arrive { region, to });
        }
        let vm = (spread as usize / 7) % VMS;
        self.tally.asked += 1;
        let job = Job {
            arrived: now,
            admitted: now,
            excluded: BTreeSet::new(),
            home: (region, vm),
            number,
        };
        self.attempt(now, (region, vm), job);
    }

    /// Chooses a target for a request at a VM: its own one, or one of another region that it was sent to.
    fn attempt(&mut self, now: Duration, at: (usize, usize), job: Job) {
        let is_home = at == job.home;
        let mut sets = Sets::default();
        if !is_home && now == job.admitted {
            let from = REGIONS[job.home.0].into();
            self.books[at.0][at.1].record_arrival_from(now, &from, "s");
        }
        if is_home {
            let others = REGIONS.iter().filter(|region| **region != REGIONS[at.0]);
            sets.reachable = others.map(|region| (*region).into()).collect();
            sets.reachable
                .retain(|region| !job.excluded.contains(region));
        }
        let prompt = Prompt {
            input: 100,
            model: "m".into(),
            output: 20,
            parts: vec![PromptPart {
                id: job.number,
                tokens: 100,
            }],
        };
        let query = ChoiceQuery {
            first_byte_target: AIM,
            ..sets.query(Some(&prompt))
        };
        let book = &mut self.books[at.0][at.1];
        match book.choose_target(now, &query) {
            TargetChoice::Upstream {
                instance, unread, ..
            } => {
                book.record_sent(now, &query, &instance, unread);
                book.record_first_byte(now, &instance, unread, AIM, Some(ms(5)));
                self.serve(now, at, &job, instance);
            }
            TargetChoice::Forward { region, .. } => {
                book.record_sent_away(&region, "s", 100);
                let to = REGIONS
                    .iter()
                    .position(|name| **name == *region)
                    .expect("a region");
                self.tally.sent_away += 1;
                self.last_away.insert((at.0, to), now);
                let back = self.last_away.get(&(to, at.0));
                self.tally.crossed += u32::from(back.is_some_and(|back| now < *back + ms(250)));
                let vm = job.number as usize % VMS;
                let job = Job {
                    admitted: now + WAY,
                    ..job
                };
                self.push(now + WAY, Event::Try { at: (to, vm), job });
            }
            TargetChoice::NoRoom { .. } | TargetChoice::Unavailable { .. } => {
                if now < job.admitted + AIM / 4 {
                    self.push(now + STEP, Event::Try { at, job });
                } else if is_home {
                    self.tally.refused += 1;
                } else {
                    self.push(now + WAY, Event::Refused { by: at.0, job });
                }
            }
        }
    }

    /// Serves a request in the first slot of an upstream that becomes free.
    fn serve(&mut self, now: Duration, at: (usize, usize), job: &Job, upstream: Box<str>) {
        let slots = self.busy.entry(upstream.clone());
        let slots = slots.or_insert_with(|| vec![ms(0); SLOTS as usize]);
        let slot = slots.iter_mut().min().expect("a slot");
        let begins = now.max(*slot);
        *slot = begins + HOLD;
        let way = if at == job.home { ms(0) } else { WAY };
        let took = begins + ms(30) + way - job.arrived;
        match took <= AIM {
            true => self.tally.in_time += 1,
            false => self.tally.late += 1,
        }
        let waited = begins + HOLD - now;
        self.push(
            begins + HOLD,
            Event::End {
                by: at,
                upstream,
                waited,
            },
        );
    }

    /// Delivers the load messages within each region.
    fn exchange(&mut self, now: Duration) {
        for region in 0..REGIONS.len() {
            if self.terms.restarts_at.is_some_and(|at| at <= now) && region == 0 {
                self.terms.restarts_at = None;
                self.books[0][0] = new_book(0, 0, &self.terms.disabled);
            }
            for vm in 0..VMS {
                for (to, message) in self.books[region][vm].build_load_messages(now) {
                    let to = (0..VMS)
                        .find(|vm| vm_name(region, *vm) == to)
                        .expect("a VM");
                    let from = vm_name(region, vm);
                    self.books[region][to].receive_load_message(now, &from, message);
                }
            }
        }
        self.push(now + ms(100), Event::Exchange);
    }

    /// Sends the reports of all regions, which arrive later.
    fn report(&mut self, now: Duration) {
        for of in 0..REGIONS.len() {
            let book = &mut self.books[of][1];
            let offers = book.offer_room(now, &BTreeSet::new(), |_| true);
            let offered = offers.first().map(|(_, room)| *room);
            let told = book.predict_latencies(now, &BTreeSet::new(), |_| true);
            let Some((_, latency)) = told.first() else {
                continue;
            };
            let latency = ServiceLatency {
                offered,
                ..*latency
            };
            if let Some(latency) = (self.terms.report)(now, of, latency) {
                self.push(now + WAY + ms(50), Event::Report { of, latency });
            }
        }
        self.push(now + ms(250), Event::Pressure);
    }
}
