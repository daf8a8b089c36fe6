//! Overload: what callers get when more requests arrive than the upstreams can start in time.

use super::*;

/// Simulated engine that reads prompts one after the other and cannot drop any.
struct Engine {
    free_at: Duration,
    name: Box<str>,
}

/// Prompt tokens that the engine reads per millisecond.
const SPEED: u64 = 100;
const AIM: Duration = Duration::from_millis(800);

/// Simulates one VM and two engines for ten seconds with `per_s` prompts of 2,000 tokens per
/// second, with or without work windows, and returns the share of answers that begin within the
/// target.
fn share_in_time(per_s: u64, with_windows: bool) -> f64 {
    let sets = Sets::default();
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "a-1", 2)]);
    let mut engines = ["u1", "u2"].map(|name| Engine {
        free_at: Duration::ZERO,
        name: name.into(),
    });
    let mut begins = Vec::<(Duration, Box<str>, u64, Duration)>::new();
    let (mut asked, mut in_time) = (0_u64, 0_u64);
    for n in 0..per_s * 10 {
        let now = Duration::from_micros(n * 1_000_000 / per_s);
        begins.sort_by_key(|begin| std::cmp::Reverse(begin.0));
        while let Some((at, instance, unread, sent)) = begins.pop_if(|begin| begin.0 <= now) {
            book.record_first_byte(at, &instance, unread, AIM, Some(at - sent));
            book.record_attempt_end(at, &instance, AttemptEnd::Answered, at - sent);
        }
        asked += 1;
        let prompt = Prompt {
            input: 2_000,
            parts: vec![PromptPart {
                id: n,
                tokens: 2_000,
            }],
            ..prompt(n, n)
        };
        let query = sets.query(Some(&prompt));
        let (instance, unread) = match book.choose_target(now, &query) {
            TargetChoice::Upstream {
                instance, unread, ..
            } => (instance, unread),
            _ if with_windows => continue,
            _ => (engines[(n % 2) as usize].name.clone(), 2_000),
        };
        let Some(engine) = engines.iter_mut().find(|engine| engine.name == instance) else {
            continue;
        };
        book.record_sent(now, &query, &instance, unread);
        engine.free_at = engine.free_at.max(now) + ms(unread / SPEED);
        in_time += u64::from(engine.free_at - now <= AIM);
        begins.push((engine.free_at, instance, unread, now));
    }
    in_time as f64 / asked as f64
}

/// Prompts arrive at twice the rate at which the engines can read them. Sent on at once, they wait
/// ever longer in the engines, and after the first second no answer begins in time. With work
/// windows, as many begin in time as the engines can read, and the other callers are refused at
/// once.
#[test]
fn under_twice_the_load_the_engines_read_for_callers_who_are_still_in_time() {
    let capacity = 2 * SPEED * 1_000 / 2_000;
    let kept_back = share_in_time(2 * capacity, true);
    let sent_on = share_in_time(2 * capacity, false);
    println!("in time: {kept_back:.2} kept back, {sent_on:.2} sent on as they come");
    assert!(kept_back > 0.4, "{kept_back}");
    assert!(sent_on < 0.2, "{sent_on}");
}

/// At three quarters of the engines' capacity, work windows must not delay or refuse a noticeable
/// share of requests.
#[test]
fn a_load_that_fits_is_served() {
    let capacity = 2 * SPEED * 1_000 / 2_000;
    let share = share_in_time(capacity * 3 / 4, true);
    assert!(share > 0.95, "{share}");
}
