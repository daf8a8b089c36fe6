//! A part of prompts that gets much of the traffic: how many engines keep it, and how long its prompts wait.

use super::*;

const VMS: usize = 22;
const ENGINES: usize = 112;
const SLOTS: usize = 12;
const HOT: u64 = 1;
/// Tokens of the shared part and of the rest of a prompt, tokens that an engine reads per millisecond, and time that
/// an answer takes after its first byte.
const SHARED: Tokens = 5_382;
const OWN: Tokens = 6_610;
const SPEED: u64 = 157;
const ANSWER: Duration = Duration::from_millis(400);
const AIM: Duration = Duration::from_millis(1_200);

#[derive(Clone)]
struct Engine {
    cached: BTreeSet<u64>,
    reads_until: Duration,
    slots: Vec<Duration>,
}

enum Event {
    First {
        vm: usize,
        upstream: Box<str>,
        part: u64,
        unread: Tokens,
        sent: Duration,
    },
    End {
        vm: usize,
        upstream: Box<str>,
        sent: Duration,
    },
}

/// First-byte times of the prompts with the hot part and of the others, and the engines that have cached it.
#[derive(Debug, Default)]
struct Outcome {
    hot: Vec<Duration>,
    others: Vec<Duration>,
    keepers: usize,
}

fn region_book(vm: usize) -> UpstreamBook {
    let all = (0..ENGINES).map(|n| ListedUpstream {
        slots: SLOTS as u32,
        ..listed(&format!("u{n}"), "a-1", n as u16)
    });
    let mut book = book_of(&format!("vm{vm}"), all.collect());
    book.set_vms(ms(0), &region_vms((0..VMS).map(|vm| format!("vm{vm}"))));
    book
}

/// Sends `per_s` long prompts a second for three seconds, `hot_permille` of them with the hot part.
fn play(per_s: u64, hot_permille: u64) -> Outcome {
    let sets = Sets::default();
    let mut books = (0..VMS).map(region_book).collect::<Vec<_>>();
    let mut engines = vec![
        Engine {
            cached: BTreeSet::new(),
            reads_until: ms(0),
            slots: vec![ms(0); SLOTS],
        };
        ENGINES
    ];
    let mut events = BTreeMap::<(Duration, u64), Event>::new();
    let mut outcome = Outcome::default();
    let mut next_exchange = ms(0);
    for n in 0..per_s * 3 {
        let now = Duration::from_micros(n * 1_000_000 / per_s);
        while now >= next_exchange {
            exchange(&mut books, next_exchange);
            next_exchange += ms(90);
        }
        while let Some(entry) = events.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((at, _), event) = entry.remove_entry();
            end(&mut books, at, event);
        }
        let draw = (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let part = match draw % 1_000 < hot_permille {
            true => HOT,
            false => 2 + draw / 1_000 % 40,
        };
        let prompt = Prompt {
            input: SHARED + OWN,
            model: "m".into(),
            output: 385,
            parts: vec![
                PromptPart {
                    id: part,
                    tokens: SHARED,
                },
                PromptPart {
                    id: 1_000 + n,
                    tokens: OWN,
                },
            ],
        };
        let query = ChoiceQuery {
            first_byte_target: AIM,
            ..sets.query(Some(&prompt))
        };
        let vm = (draw / 7) as usize % VMS;
        let TargetChoice::Upstream {
            instance,
            import,
            unread,
            ..
        } = books[vm].choose_target(now, &query)
        else {
            let times = if part == HOT {
                &mut outcome.hot
            } else {
                &mut outcome.others
            };
            times.push(Duration::MAX);
            continue;
        };
        books[vm].record_sent(now, &query, &instance, unread);
        let number = instance[1..].parse::<usize>().expect("a number");
        let engine = &mut engines[number];
        let is_kept = engine.cached.contains(&part) || import.is_some();
        let read = OWN + if is_kept { 0 } else { SHARED };
        let slot = engine.slots.iter_mut().min().expect("a slot");
        let first = now.max(*slot).max(engine.reads_until) + ms(read / SPEED);
        engine.reads_until = first;
        *slot = first + ANSWER;
        engine.cached.insert(part);
        let times = if part == HOT {
            &mut outcome.hot
        } else {
            &mut outcome.others
        };
        times.push(first - now);
        let upstream = instance.clone();
        events.insert(
            (first, n),
            Event::First {
                vm,
                upstream,
                part,
                unread,
                sent: now,
            },
        );
        events.insert(
            (first + ANSWER, n),
            Event::End {
                vm,
                upstream: instance,
                sent: now,
            },
        );
    }
    let keepers = engines.iter().filter(|engine| engine.cached.contains(&HOT));
    outcome.keepers = keepers.count();
    outcome.hot.sort();
    outcome.others.sort();
    outcome
}

fn exchange(books: &mut [UpstreamBook], now: Duration) {
    for vm in 0..VMS {
        for (to, message) in books[vm].build_load_messages(now) {
            let to = to[2..].parse::<usize>().expect("a VM");
            books[to].receive_load_message(now, &format!("vm{vm}").into(), message);
        }
    }
}

fn end(books: &mut [UpstreamBook], at: Duration, event: Event) {
    match event {
        Event::First {
            vm,
            upstream,
            part,
            unread,
            sent,
        } => {
            books[vm].record_first_byte(at, &upstream, unread, AIM, Some(at - sent));
            let prompt = Prompt {
                input: SHARED + OWN,
                model: "m".into(),
                output: 385,
                parts: vec![
                    PromptPart {
                        id: part,
                        tokens: SHARED,
                    },
                    PromptPart { id: 0, tokens: OWN },
                ],
            };
            let prefixes = SharedPrefix::list_in(&prompt);
            books[vm].record_cached_prefixes(at, &upstream, &prefixes, None);
        }
        Event::End { vm, upstream, sent } => {
            books[vm].record_attempt_end(at, &upstream, AttemptEnd::Answered, at - sent);
        }
    }
}

/// One part gets 28 % of the long prompts. All VMs place it by the same hash, so that its prompts could crowd at its
/// owner and the 32 engines that are compared first. Their callers must get their first byte in time like the others.
#[test]
fn a_part_with_much_of_the_traffic_is_kept_by_as_many_engines_as_it_needs() {
    for (per_s, hot) in [(700, 280), (1_300, 280), (1_300, 25)] {
        let outcome = play(per_s, hot);
        let in_time = |times: &[Duration]| {
            let timely = times.iter().filter(|time| **time <= AIM).count();
            timely as f64 / times.len() as f64
        };
        let median = |times: &[Duration]| times[times.len() / 2];
        println!(
            "{per_s} a second, {hot} permille hot: in time {:.3} and {:.3}, median {:?} and {:?}, kept by {}",
            in_time(&outcome.hot),
            in_time(&outcome.others),
            median(&outcome.hot),
            median(&outcome.others),
            outcome.keepers
        );
        assert!(in_time(&outcome.hot) >= in_time(&outcome.others) - 0.02);
    }
}
