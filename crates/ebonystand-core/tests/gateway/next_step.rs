//! Retry decisions after an attempt that delivered nothing to its caller.

use {super::*, rstest::rstest};

const ENDS: [AttemptEnd; 8] = [
    AttemptEnd::Answered,
    AttemptEnd::Cancelled,
    AttemptEnd::Failed,
    AttemptEnd::Lost,
    AttemptEnd::Shed,
    AttemptEnd::AddressReused,
    AttemptEnd::TimedOut,
    AttemptEnd::Unreachable,
];

fn kind(kind: CallKind, resumable: bool, attempts: u32) -> GatewayRoute {
    GatewayRoute {
        attempts,
        kind,
        resumable,
        ..route("r", "/a/")
    }
}

/// Enumerates every sequence of up to three attempts of a call that must not run twice, with an
/// unlimited retry budget. Nothing may be sent after an attempt that may have run, and the caller
/// may be told `not run` only if every upstream said so or nothing was sent.
#[rstest]
#[case::once(CallKind::Once)]
#[case::stream(CallKind::Stream)]
fn what_may_have_run_is_never_sent_again(#[case] call: CallKind) {
    let route = kind(call, false, 3);
    let mut courses = vec![Vec::new()];
    for _ in 0..3 {
        let longer = courses.iter().flat_map(|course: &Vec<AttemptEnd>| {
            ENDS.map(|end| course.iter().copied().chain([end]).collect())
        });
        courses = longer.collect();
        for course in &courses {
            let mut not_run = true;
            let mut sent = 0;
            for (n, end) in course.iter().enumerate() {
                sent += u32::from(end.can_have_reached_upstream());
                not_run &= end.is_known_not_run();
                let step = NextStep::decide(&route, *end, sent, not_run, || true);
                let all = course[..=n].iter().all(|end| end.is_known_not_run());
                match step {
                    NextStep::Retry => assert!(all, "{course:?}"),
                    NextStep::GiveUp { run } => {
                        let wanted = if all {
                            RunState::NotRun
                        } else {
                            RunState::Unknown
                        };
                        assert_eq!(run, wanted, "{course:?}");
                        break;
                    }
                }
            }
        }
    }
}

#[rstest]
#[case::lookup(CallKind::Idempotent, false, AttemptEnd::Lost, true)]
#[case::lookup_failed(CallKind::Idempotent, false, AttemptEnd::Failed, true)]
#[case::resumable_stream(CallKind::Stream, true, AttemptEnd::TimedOut, true)]
#[case::stream(CallKind::Stream, false, AttemptEnd::TimedOut, false)]
#[case::once_shed(CallKind::Once, false, AttemptEnd::Shed, true)]
#[case::caller_left(CallKind::Idempotent, false, AttemptEnd::Cancelled, false)]
fn what_may_be_repeated_is_tried_elsewhere(
    #[case] call: CallKind,
    #[case] resumable: bool,
    #[case] end: AttemptEnd,
    #[case] retried: bool,
) {
    let route = kind(call, resumable, 2);
    let step =
        |tried, budget| NextStep::decide(&route, end, tried, end.is_known_not_run(), || budget);
    assert_eq!(step(1, true) == NextStep::Retry, retried);
    assert_ne!(step(2, true), NextStep::Retry, "no attempt is left");
    assert_ne!(step(1, false), NextStep::Retry, "no budget is left");
}

/// Half of the upstreams cannot be connected to, or another server answers at their addresses. No
/// server of the service received the request, so these tries must not count as attempts, but each
/// of them still takes from the retry budget.
#[test]
fn an_upstream_that_was_not_reached_is_no_attempt() {
    let route = kind(CallKind::Once, false, 1);
    for end in [AttemptEnd::Unreachable, AttemptEnd::AddressReused] {
        assert_eq!(
            NextStep::decide(&route, end, 0, true, || true),
            NextStep::Retry
        );
        assert_ne!(
            NextStep::decide(&route, end, 0, true, || false),
            NextStep::Retry
        );
    }
    assert_ne!(
        NextStep::decide(&route, AttemptEnd::Shed, 1, true, || true),
        NextStep::Retry
    );
}

/// Guards against a status that promises that a request has not run although it may have.
#[rstest]
fn only_what_has_not_run_is_told_so(#[values(408, 421, 429, 503)] status: u16) {
    let ends = ENDS.into_iter().chain([
        AttemptEnd::Closed,
        AttemptEnd::Departing,
        AttemptEnd::Quarantined,
    ]);
    for end in ends {
        let state = end.run_state();
        assert_eq!(state.allows(status), end.is_known_not_run(), "{end:?}");
        assert!(state.allows(500) && state.allows(502) && state.allows(504));
    }
}
