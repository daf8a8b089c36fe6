//! Real processes under faults drawn from a seed, and a check of what callers, operators and
//! upstreams saw.
//!
//! `EBONYSTAND_SOAK_SEEDS` (such as `100..150`), `EBONYSTAND_SOAK_SECONDS` and `EBONYSTAND_SOAK_VMS`
//! make a longer run of it. A run that breaks a promise leaves its plan and history where it says,
//! and each run does with `EBONYSTAND_SOAK_SAVE`.

// A failed `unwrap` is how a test's helpers report that the test cannot go on.
#![allow(clippy::unwrap_used)]

#[path = "../integration/answer.rs"]
#[allow(dead_code)]
mod answer;
mod callers;
mod checker;
mod event;
#[path = "../integration/fleet.rs"]
#[allow(dead_code)]
mod fleet;
mod history;
mod operator;
mod plan;
mod run;
#[path = "../integration/stand_in.rs"]
#[allow(dead_code)]
mod stand_in;
mod variables;
#[path = "../integration/vm.rs"]
#[allow(dead_code)]
mod vm;

use {
    checker::{Violation, check},
    event::{Event, Ran},
    plan::{Plan, Size},
    rstest::rstest,
    std::{env, time::Duration},
    variables::{number, seeds},
};

#[actix_rt::test]
async fn promises_hold_under_faults() {
    let size = Size {
        span: Duration::from_secs(number("EBONYSTAND_SOAK_SECONDS", 12)),
        vms: number("EBONYSTAND_SOAK_VMS", 9) as usize,
    };
    let mut failed = Vec::new();
    for seed in seeds(1..4) {
        let plan = Plan::draw(seed, &size);
        let history = run::run(&plan).await;
        let violations = check(history.events());
        println!("seed {seed}: {}, {violations:?}", history.summary());
        if !violations.is_empty() || env::var_os("EBONYSTAND_SOAK_SAVE").is_some() {
            println!("seed {seed}: history in {}", history.save(&plan).display());
        }
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that broke a promise: {failed:?}");
}

fn answered(order: u64, status: u16, run: &str, number: Option<u64>) -> Event {
    Event::OrderAnswered {
        number,
        order,
        run: run.into(),
        status,
        vm: 0,
    }
}

fn read(incarnation: u64, version: u64) -> Event {
    Event::VersionRead {
        incarnation,
        version,
        vm: 0,
    }
}

fn sent(order: u64) -> Event {
    Event::OrderSent { order, vm: 0 }
}

fn ran(order: u64, times: u64) -> Event {
    Event::Ran(Ran { order, times })
}

/// The checker refuses a history in which one promise is broken, and names the promise.
#[rstest]
#[case::twice([sent(1), answered(1, 201, "", Some(1)), ran(1, 2)], Violation::RanTwice { order: 1 })]
#[case::not_run([sent(1), answered(1, 503, "not_run", None), ran(1, 1)], Violation::RanThoughNotRun { order: 1 })]
#[case::invented([sent(1), answered(1, 201, "", Some(1)), ran(1, 0)], Violation::Invented { order: 1 })]
#[case::two_answers([answered(1, 201, "", Some(1)), answered(1, 201, "", Some(2)), ran(1, 1)], Violation::TwoAnswers { order: 1 })]
#[case::back([read(1, 5), read(1, 4), read(2, 4)], Violation::WentBack { from: 5, to: 4, vm: 0 })]
#[case::lost([Event::Accepted { version: 5 }, Event::Settled { version: 4, vm: 0 }, read(1, 4)], Violation::Lost { accepted: 5, held: 4, vm: 0 })]
#[case::cut([Event::StreamEnded { told: false, whole: false }, sent(1), sent(1)], Violation::CutStreamLooksWhole)]
#[case::wrong([Event::LookedUp { asked: "a".into(), found: "b".into() }, sent(1), sent(1)], Violation::WrongAnswer { asked: "a".into() })]
fn a_history_with_a_broken_promise_is_refused(
    #[case] events: [Event; 3],
    #[case] expected: Violation,
) {
    assert_eq!(check(&events), [expected]);
}

#[test]
fn a_sound_history_is_accepted() {
    let events = [
        sent(1),
        answered(1, 502, "unknown", None),
        sent(1),
        answered(1, 201, "", Some(7)),
        sent(2),
        answered(2, 503, "not_run", None),
        read(1, 3),
        read(2, 1),
        Event::Accepted { version: 3 },
        Event::Settled { version: 3, vm: 0 },
        ran(1, 1),
        ran(2, 0),
    ];
    assert_eq!(check(&events), []);
}

#[test]
fn a_seed_always_draws_the_same_plan() {
    let size = Size {
        span: Duration::from_secs(60),
        vms: 24,
    };
    assert_eq!(Plan::draw(7, &size), Plan::draw(7, &size));
    assert_ne!(Plan::draw(7, &size), Plan::draw(8, &size));
}
