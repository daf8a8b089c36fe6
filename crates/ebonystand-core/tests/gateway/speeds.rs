//! Engines of different speeds, some of them slow for a moment: what VMs learn of one another, and what
//! that is worth.

use {
    super::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{cmp::Reverse, collections::VecDeque},
};

/// Prompt tokens that an engine of the usual speed reads per millisecond.
const USUAL: f64 = 100.0;
/// How much longer work takes at a slow engine.
const SLOWED: f64 = 2.5;
/// Time for which an engine is slow.
const SLOW_FOR: u64 = 600;
/// Share of the time in which an engine is slow, in percent.
const SLOW_PERCENT: u64 = 15;
/// Time within which an answer has to begin.
const AIM: u64 = 400;
/// Time between two messages of a VM.
const REPORT: u64 = 100;
/// Network delay between a VM and an engine.
const NETWORK: u64 = 1;

fn us(n: u64) -> Duration {
    Duration::from_micros(n)
}

/// Engine that reads prompts one after the other.
struct PlayedEngine {
    /// Time until which the engine reads what it has got, in microseconds.
    free_at: u64,
    instance: UpstreamId,
    /// Begins of its slow times, in milliseconds.
    slow_from: Vec<u64>,
    speed: f64,
}

impl PlayedEngine {
    fn is_slow(&self, at_us: u64) -> bool {
        let mut slow = self.slow_from.iter();
        slow.any(|from| (from * 1_000..(from + SLOW_FOR) * 1_000).contains(&at_us))
    }

    /// Returns when a prompt that arrives now is read.
    fn finish(&self, now_us: u64, tokens: u64) -> u64 {
        let mut at = self.free_at.max(now_us);
        let mut left = tokens as f64;
        while left > 0.0 {
            let factor = if self.is_slow(at) { SLOWED } else { 1.0 };
            left -= USUAL * self.speed / factor;
            at += 1_000;
        }
        at
    }
}

/// How a request is sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// By what each VM has seen of its own prompts.
    Before,
    /// By told and learned speeds.
    Told,
    /// To the engine that really begins the answer first.
    AllKnown,
}

#[derive(Clone, Copy, Debug)]
struct Play {
    engines: usize,
    /// Speeds of the engines, in turn.
    speeds: &'static [f64],
    /// Whether some engines are slow for a moment, and tell it.
    has_slow_times: bool,
    /// Requests as a share of what the engines can read.
    load: f64,
    vms: usize,
    seed: u64,
    seconds: u64,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            engines: 58,
            speeds: &[0.6, 1.0, 1.6],
            has_slow_times: true,
            load: 0.6,
            vms: 12,
            seed: 1,
            seconds: 6,
        }
    }
}

/// Request on its way; the times are in microseconds.
struct Running {
    vm: usize,
    instance: UpstreamId,
    unread: u64,
    sent: u64,
    first_byte: u64,
    percent: f64,
}

/// Outcome of a play.
#[derive(Debug, PartialEq)]
struct Outcome {
    /// Share of the requests that arrived after the first second whose answers began in time.
    in_time: f64,
    /// Engines in the order in which requests went to them.
    sent_to: Vec<UpstreamId>,
}

impl Play {
    fn engines(&self, rng: &mut Pcg64Mcg) -> Vec<PlayedEngine> {
        let engines = (0..self.engines).map(|number| {
            let mut slow_from = Vec::new();
            // Half of the slow times begin within this time after the engine may turn slow again.
            let pause = SLOW_FOR * (100 - SLOW_PERCENT) / SLOW_PERCENT;
            let mut at = rng.random_range(0..pause);
            while self.has_slow_times && at < self.seconds * 1_000 {
                slow_from.push(at);
                at += SLOW_FOR + rng.random_range(pause / 2..pause * 3 / 2);
            }
            PlayedEngine {
                free_at: 0,
                instance: format!("u{number}").into(),
                slow_from,
                speed: self.speeds[number % self.speeds.len()],
            }
        });
        engines.collect()
    }

    fn vms(&self, way: Way) -> Vec<(VmId, UpstreamBook)> {
        let names = (0..self.vms).map(|vm| format!("vm{vm}"));
        let region = region_vms(names.clone());
        let listed = (0..self.engines).map(|n| listed(&format!("u{n}"), "a-1", n as u16 + 1));
        let listed = listed.collect::<Vec<_>>();
        let books = names.map(|name| {
            let mut book = book_of(&name, listed.clone());
            if way == Way::Before {
                book = book.with_disabled_mechanisms([Mechanism::ToldSpeeds].into());
            }
            book.set_vms(ms(0), &region);
            (name.into(), book)
        });
        books.collect()
    }

    fn run(&self, way: Way) -> Outcome {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut engines = self.engines(&mut rng);
        let mut vms = self.vms(way);
        let sets = Sets::default();
        let capacity = engines
            .iter()
            .map(|engine| engine.speed * USUAL)
            .sum::<f64>();
        let slowness = match self.has_slow_times {
            true => 1.0 - SLOW_PERCENT as f64 / 100.0 * (1.0 - 1.0 / SLOWED),
            false => 1.0,
        };
        let per_ms = capacity * slowness * self.load / 6_300.0;
        let (mut due, mut asked, mut in_time) = (0.0, 0_u64, 0_u64);
        let mut waiting = VecDeque::<(u64, usize, u64, u64)>::new();
        let mut running = Vec::<Running>::new();
        let mut messages = Vec::<(usize, VmId, LoadMessage)>::new();
        let mut sent_to = Vec::new();
        let mut number = 0;
        for now in 0..self.seconds * 1_000 {
            let now_us = now * 1_000;
            running.sort_by_key(|running| Reverse(running.first_byte));
            while let Some(end) = running.pop_if(|end| end.first_byte <= now_us) {
                let book = &mut vms[end.vm].1;
                let (at, waited) = (us(end.first_byte), us(end.first_byte - end.sent));
                if self.has_slow_times {
                    book.record_reported_slots(
                        at,
                        &end.instance,
                        work_time(&end.percent.to_string()),
                    );
                }
                book.record_first_byte(at, &end.instance, end.unread, ms(800), Some(waited));
                book.record_attempt_end(at, &end.instance, AttemptEnd::Answered, waited);
            }
            if now % REPORT == 0 {
                for (from, to, message) in std::mem::take(&mut messages) {
                    let from = vms[from].0.clone();
                    let vm = vms.iter_mut().find(|(name, _)| *name == to);
                    let (_, book) = vm.expect("a VM of the region");
                    book.receive_load_message(ms(now), &from, message);
                }
                for (number, (_, book)) in vms.iter_mut().enumerate() {
                    let built = book.build_load_messages(ms(now)).into_iter();
                    messages.extend(built.map(|(to, message)| (number, to, message)));
                }
            }
            due += per_ms;
            while due >= 1.0 {
                due -= 1.0;
                number += 1;
                let vm = rng.random_range(0..vms.len());
                waiting.push_back((now, vm, rng.random_range(600..=12_000), number));
            }
            for _ in 0..waiting.len() {
                let Some((arrived, vm, tokens, id)) = waiting.pop_front() else {
                    break;
                };
                let is_counted = arrived >= 1_000;
                if now >= arrived + AIM {
                    asked += u64::from(is_counted);
                    continue;
                }
                let prompt = Prompt {
                    input: tokens,
                    parts: vec![PromptPart { id, tokens }],
                    ..prompt(id, id)
                };
                let query = sets.query(Some(&prompt));
                let book = &mut vms[vm].1;
                let chosen = match way {
                    Way::AllKnown => {
                        let engines = engines.iter();
                        let best = engines.min_by_key(|engine| engine.finish(now_us, tokens));
                        best.map(|engine| engine.instance.clone())
                    }
                    _ => instance(&book.choose_target(ms(now), &query)).map(Into::into),
                };
                let Some(chosen) = chosen else {
                    waiting.push_back((arrived, vm, tokens, id));
                    continue;
                };
                book.record_sent(ms(now), &query, &chosen, tokens);
                let engine = engines.iter_mut().find(|engine| engine.instance == chosen);
                let engine = engine.expect("a known engine");
                engine.free_at = engine.finish(now_us + NETWORK * 1_000, tokens);
                let first_byte = engine.free_at + NETWORK * 1_000;
                let is_slow = engine.is_slow(engine.free_at);
                if is_counted {
                    asked += 1;
                    in_time += u64::from(first_byte <= (arrived + AIM) * 1_000);
                }
                running.push(Running {
                    vm,
                    instance: chosen.clone(),
                    unread: tokens,
                    sent: now_us,
                    first_byte,
                    percent: if is_slow { SLOWED * 100.0 } else { 100.0 },
                });
                sent_to.push(chosen);
            }
        }
        Outcome {
            in_time: in_time as f64 / asked.max(1) as f64,
            sent_to,
        }
    }
}

impl Play {
    /// Returns the shares that are served in time, by each way.
    fn shares(&self) -> [f64; 3] {
        let shares = [Way::Before, Way::Told, Way::AllKnown].map(|way| self.run(way).in_time);
        let [before, told, known] = shares;
        println!("{self:?}: before {before:.3}, told {told:.3}, all known {known:.3}");
        shares
    }
}

/// Engines of three speeds, some of them slow for 600 ms at any moment, read prompts of 600 to 12,000 tokens for
/// a region of this many VMs, at half and at seven tenths of what they can read.
#[rstest]
#[case::four_vms_at_half(4, 0.5)]
#[case::four_vms(4, 0.7)]
#[case::twelve_vms_at_half(12, 0.5)]
#[case::twelve_vms(12, 0.7)]
fn told_speeds_bring_answers_nearly_as_often_in_time_as_a_choice_that_knows_all(
    #[case] vms: usize,
    #[case] load: f64,
) {
    let play = Play {
        load,
        vms,
        ..Play::default()
    };
    let [before, told, known] = play.shares();
    assert!(told > known - 0.05, "{told}, {known}");
    assert!(told >= before, "{told}, {before}");
}

/// Guards against VMs that all leave a slow engine for the same idle ones, at a load at which that makes answers late.
#[test]
fn vms_that_leave_slow_engines_do_not_crowd_the_others() {
    let play = Play {
        load: 0.85,
        ..Play::default()
    };
    let [before, told, _] = play.shares();
    assert!(told > before + 0.05, "{told}, {before}");
}

/// Guards against another choice than before where upstreams tell nothing of their speed, whether they are equal or
/// not.
#[rstest]
#[case::equal_one_vm(1, &[1.0])]
#[case::equal(12, &[1.0])]
#[case::of_three_speeds(12, &[0.6, 1.0, 1.6])]
fn without_figures_each_choice_is_that_of_before(
    #[case] vms: usize,
    #[case] speeds: &'static [f64],
) {
    let play = Play {
        has_slow_times: false,
        seconds: 3,
        speeds,
        vms,
        ..Play::default()
    };
    assert_eq!(play.run(Way::Before), play.run(Way::Told));
}

fn work_time(text: &str) -> ReportedSlots {
    ReportedSlots {
        slots: 64,
        work_time: AnswerWorkTime::parse(Some(text)),
        ..ReportedSlots::default()
    }
}

fn time_percent(book: &UpstreamBook, at: u64, upstream: &str) -> Option<u16> {
    let mut speeds = book.speeds(ms(at));
    let speed = speeds.find(|speed| *speed.upstream == *upstream);
    speed.and_then(|speed| speed.time_percent)
}

/// Guards against a figure that counts although nobody should believe it, and against a log line for each of them.
#[rstest]
#[case::usual("100", Some(100))]
#[case::slow(" 250 ", Some(250))]
#[case::fast("40", Some(40))]
#[case::with_fraction("99.6", Some(100))]
#[case::zero("0", None)]
#[case::one("1", None)]
#[case::huge("1000000000", None)]
#[case::beyond_numbers("1e400", None)]
#[case::negative("-250", None)]
#[case::not_a_number("NaN", None)]
#[case::text("slow", None)]
#[case::empty("", None)]
fn a_figure_that_is_absurd_is_ignored(#[case] text: &str, #[case] percent: Option<u16>) {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    let warns = book.record_reported_slots(ms(0), "u1", work_time(text));
    assert_eq!(time_percent(&book, 1, "u1"), percent);
    assert_eq!(warns, percent.is_none());
    assert!(!book.record_reported_slots(ms(100), "u1", work_time(text)));
    let warns_again = book.record_reported_slots(ms(60_000), "u1", work_time(text));
    assert_eq!(warns_again, percent.is_none());
}

/// Guards against an upstream that stays slow in a VM's view after its figure has become old.
#[test]
fn a_figure_counts_for_600_ms() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    book.record_reported_slots(ms(0), "u1", work_time("250"));
    assert_eq!(time_percent(&book, 599, "u1"), Some(250));
    assert_eq!(time_percent(&book, 600, "u1"), None);
}

/// Guards against an absent figure that ends one that still counts, or harms the load beside it.
#[test]
fn an_answer_without_a_figure_changes_nothing() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    book.record_reported_slots(ms(0), "u1", work_time("250"));
    book.record_reported_slots(ms(100), "u1", ReportedSlots::default());
    assert_eq!(time_percent(&book, 200, "u1"), Some(250));
}

/// Guards against prompts that go to an engine which has just said that it is slow.
#[test]
fn a_slow_engine_is_left_while_it_is_slow() {
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "a-1", 2)]);
    let sets = Sets::default();
    let prompt = prompt(2, 3);
    let query = sets.query(Some(&prompt));
    let chosen =
        |book: &UpstreamBook, at| instance(&book.choose_target(ms(at), &query)).map(Box::from);
    let first: Box<str> = chosen(&book, 0).expect("an engine");
    book.record_reported_slots(ms(0), &first, work_time("250"));
    assert_ne!(chosen(&book, 10), Some(first.clone()));
    assert_eq!(chosen(&book, 700), Some(first));
}

/// Guards against a plain service's calls that wait at an upstream which says that it is slow.
#[test]
fn a_slow_plain_service_is_left_while_it_is_slow() {
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "a-1", 2)]);
    let sets = Sets::default();
    let query = sets.query(None);
    for upstream in ["u1", "u2"] {
        let slow = if upstream == "u1" { "250" } else { "100" };
        book.record_reported_slots(ms(0), upstream, work_time(slow));
        assert_eq!(instance(&book.choose_target(ms(10), &query)), Some("u2"));
    }
}

/// VMs of a region without requests, which only exchange messages.
struct Region {
    messages: Vec<(usize, VmId, LoadMessage)>,
    now: u64,
    vms: Vec<(VmId, UpstreamBook)>,
}

impl Region {
    fn new(vms: usize) -> Self {
        let play = Play {
            engines: 4,
            vms,
            ..Play::default()
        };
        Self {
            messages: Vec::new(),
            now: 0,
            vms: play.vms(Way::Told),
        }
    }

    /// Lets each VM send its messages, which arrive at once.
    fn exchange(&mut self) {
        self.now += REPORT;
        let now = ms(self.now);
        for from in 0..self.vms.len() {
            let (name, book) = &mut self.vms[from];
            let name = name.clone();
            for (to, message) in book.build_load_messages(now) {
                self.messages.push((from, to.clone(), message.clone()));
                let vm = self.vms.iter_mut().find(|(name, _)| *name == to);
                if let Some((_, book)) = vm {
                    book.receive_load_message(now, &name, message);
                }
            }
        }
    }

    /// Lets a VM measure an engine by a prompt that it reads at this speed.
    fn read(&mut self, vm: usize, upstream: &str, per_ms: u64) {
        let sets = Sets::default();
        let prompt = prompt(2, 3);
        let query = sets.query(Some(&prompt));
        let waited = ms(6_000 / per_ms);
        let book = &mut self.vms[vm].1;
        book.record_sent(ms(self.now), &query, upstream, 6_000);
        let at = ms(self.now) + waited;
        book.record_first_byte(at, upstream, 6_000, ms(800), Some(waited));
        book.record_attempt_end(at, upstream, AttemptEnd::Answered, waited);
    }

    /// Returns how fast an engine is in a VM's view, if it has learned that.
    fn learned(&self, vm: usize, upstream: &str) -> Option<f64> {
        let mut speeds = self.vms[vm].1.speeds(ms(self.now));
        let speed = speeds.find(|speed| *speed.upstream == *upstream);
        speed.map(|speed| speed.reading_speed)
    }
}

/// Guards against a slow engine that only the VM knows of which has just got an answer from it. In a region with relays
/// the news passes the VM's own report and those of two relays.
#[rstest]
#[case::direct(2, 2)]
#[case::direct_too(6, 2)]
#[case::relayed(30, 3)]
#[case::relayed_in_a_large_region(90, 3)]
fn a_region_knows_soon_that_an_engine_is_slow(#[case] vms: usize, #[case] reports: usize) {
    let mut region = Region::new(vms);
    (0..5).for_each(|_| region.exchange());
    for (figure, knowing) in [("250", vms), ("100", 0)] {
        let at = ms(region.now);
        let book = &mut region.vms[vms - 1].1;
        book.record_reported_slots(at, "u1", work_time(figure));
        (0..reports).for_each(|_| region.exchange());
        let vms = region.vms.iter();
        let slow = vms.filter(|(_, book)| book.slow_upstreams(ms(region.now)) == 1);
        assert_eq!(slow.count(), knowing, "{figure}");
    }
}

/// Guards against news of one figure that VMs keep telling one another.
#[rstest]
fn news_of_a_slow_engine_ends(#[values(2, 30)] vms: usize) {
    let mut region = Region::new(vms);
    region.exchange();
    let at = ms(region.now);
    region.vms[0]
        .1
        .record_reported_slots(at, "u1", work_time("250"));
    (0..5).for_each(|_| region.exchange());
    region.messages.clear();
    region.exchange();
    let speeds = region
        .messages
        .iter()
        .filter(|(.., message)| matches!(message, LoadMessage::Speeds { .. }));
    assert_eq!(speeds.count(), 0);
}

/// Guards against a VM that has to measure all engines anew after its start.
#[rstest]
fn a_vm_that_starts_knows_the_engines_speeds_within_two_seconds(#[values(3, 30)] vms: usize) {
    let mut region = Region::new(vms);
    for round in 0..40 {
        region.read(round % vms, "u0", 60);
        region.read((round + 1) % vms, "u2", 160);
        region.exchange();
    }
    let name = region.vms[vms - 1].0.clone();
    let fresh = Region::new(vms).vms.swap_remove(vms - 1);
    assert_eq!(fresh.0, name);
    region.vms[vms - 1] = fresh;
    (0..20).for_each(|_| region.exchange());
    let speeds = ["u0", "u2"].map(|upstream| region.learned(vms - 1, upstream).unwrap_or_default());
    let [slow, fast] = speeds;
    assert!(
        (50.0..70.0).contains(&slow) && (140.0..180.0).contains(&fast),
        "{speeds:?}"
    );
}

/// Guards against a VM that measures or tells wrong speeds and so sets those of the whole region.
#[rstest]
#[case::too_fast(1_000)]
#[case::too_slow(2)]
fn a_vm_that_tells_wrong_speeds_moves_the_region_little(#[case] wrong: u64) {
    let mut region = Region::new(12);
    for round in 0..200 {
        region.read(round % 11, "u0", 100);
        region.read((round + 5) % 11, "u0", 100);
        if round % 3 == 0 {
            region.read(11, "u0", wrong);
        }
        region.exchange();
    }
    let learned = region.learned(0, "u0").unwrap_or_default();
    assert!((70.0..140.0).contains(&learned), "{learned}");
}

/// Guards against samples of an engine that was slow for a moment counting for its lasting speed.
#[test]
fn a_prompt_that_was_read_while_its_engine_was_slow_says_nothing_of_its_lasting_speed() {
    let mut region = Region::new(3);
    for round in 0..30 {
        region.read(round % 3, "u0", 100);
        region.exchange();
    }
    let before = region.learned(0, "u0").unwrap_or_default();
    for round in 0..30 {
        for vm in 0..3 {
            let at = ms(region.now);
            region.vms[vm]
                .1
                .record_reported_slots(at, "u0", work_time("250"));
        }
        region.read(round % 3, "u0", 40);
        region.exchange();
    }
    let after = region.learned(0, "u0").unwrap_or_default();
    assert!((after - before).abs() < 1.0, "{before}, {after}");
}

/// Guards against messages that grow with what a VM measures.
#[test]
fn a_message_about_speeds_is_bounded() {
    let play = Play {
        engines: 500,
        vms: 2,
        ..Play::default()
    };
    let mut vms = play.vms(Way::Told);
    let book = &mut vms[0].1;
    for engine in 0..500 {
        book.record_reported_slots(ms(0), &format!("u{engine}"), work_time("250"));
    }
    for (_, message) in book.build_load_messages(ms(100)) {
        assert!(message.max_encoded_len() <= 16 + 3 * 64 * 16);
    }
}

/// Guards against what a region can read being counted by its number of engines, whatever their speed.
#[test]
fn what_a_region_can_read_follows_the_engines_speeds() {
    let mut region = Region::new(3);
    for round in 0..60 {
        for (number, upstream) in ["u0", "u1", "u2", "u3"].into_iter().enumerate() {
            region.read(round % 3, upstream, [60, 100, 160, 60][number]);
        }
        region.exchange();
    }
    let book = &mut region.vms[0].1;
    let now = ms(region.now);
    let usual = book.readable_tokens(now, "s", ms(1_000));
    assert!((340_000..420_000).contains(&usual), "{usual}");
    book.record_reported_slots(now, "u2", work_time("250"));
    let slowed = book.readable_tokens(now, "s", ms(1_000));
    // For 600 ms, the engine reads 40 % of what it usually reads.
    let lost = usual - slowed;
    assert!((45_000..70_000).contains(&lost), "{lost}");
}
