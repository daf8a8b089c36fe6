//! Queue of a VM for room: who goes first, who is refused at once, and when the refused come back.

use super::*;

const HOLD: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_millis(125);

fn queue() -> RoomQueue {
    RoomQueue::new("vm".into())
}

fn request(number: u32, rank: u8, workspace: &str, hold: Duration) -> RoomRequest<'_> {
    RoomRequest {
        begin_by: ms(u64::from(number)),
        hold,
        max_wait: Duration::MAX,
        number,
        rank,
        work: 1_000,
        workspace: Some(workspace),
    }
}

/// Serves requests for `total` of slot time and returns what each of the flows got, in parts of one. Each always has
/// another request waiting.
fn shares(flows: &[(u8, &str, Duration)], total: Duration) -> Vec<f64> {
    let mut queue = queue();
    let mut owners = BTreeMap::new();
    let mut numbers = 0..;
    let mut add = |queue: &mut RoomQueue, owners: &mut BTreeMap<u32, usize>, flow: usize| {
        let number = numbers.next().expect("a number");
        let (rank, workspace, hold) = flows[flow];
        owners.insert(number, flow);
        assert_eq!(
            queue.push(ms(0), request(number, rank, workspace, hold)),
            Ok(())
        );
    };
    for flow in 0..flows.len() {
        for _ in 0..3 {
            add(&mut queue, &mut owners, flow);
        }
    }
    let mut got = vec![Duration::ZERO; flows.len()];
    while got.iter().sum::<Duration>() < total {
        let number = queue.take(ms(0), |_| true).expect("a request");
        let flow = owners[&number];
        got[flow] += flows[flow].2;
        add(&mut queue, &mut owners, flow);
    }
    let all = got.iter().sum::<Duration>().as_secs_f64();
    got.iter().map(|got| got.as_secs_f64() / all).collect()
}

/// Requests of the first rank arrive without a pause. The next rank must still get its share, however long its
/// requests take: counted in requests, its long answers would take nearly all slots.
#[rstest::rstest]
#[case::equal(100, 100)]
#[case::next_long(100, 2_000)]
#[case::first_long(2_000, 100)]
fn a_rank_without_end_leaves_the_next_one_its_part(#[case] first: u64, #[case] next: u64) {
    let flows = [(0, "a", ms(first)), (1, "a", ms(next)), (2, "a", ms(next))];
    let got = shares(&flows, Duration::from_secs(600));
    for (rank, share) in [4.0 / 7.0, 2.0 / 7.0, 1.0 / 7.0].into_iter().enumerate() {
        assert!((got[rank] - share).abs() < 0.02, "{got:?}");
    }
}

/// A workspace with long answers and two with short ones, all with more than their share: each gets a third.
#[test]
fn workspaces_of_a_rank_share_slot_time_equally() {
    let flows = [(0, "long", ms(2_000)), (0, "b", HOLD), (0, "c", HOLD)];
    for part in shares(&flows, Duration::from_secs(600)) {
        assert!((part - 1.0 / 3.0).abs() < 0.02, "{part}");
    }
}

/// One workspace has hundreds of requests waiting. One of another workspace must not wait behind them.
#[test]
fn a_burst_of_one_workspace_waits_behind_itself() {
    let mut queue = queue();
    for number in 0..500 {
        queue
            .push(ms(0), request(number, 0, "hot", HOLD))
            .expect("a place");
    }
    for _ in 0..100 {
        queue.take(ms(0), |_| true);
    }
    queue
        .push(ms(0), request(500, 0, "quiet", HOLD))
        .expect("a place");
    let soon = [(); 2].map(|()| queue.take(ms(0), |_| true));
    assert!(soon.contains(&Some(500)), "{soon:?}");
}

/// A long prompt needs more room than is free, while short ones that fit keep arriving. It must get its turn.
#[test]
fn a_long_prompt_is_not_overtaken_forever() {
    let mut queue = queue();
    let long = RoomRequest {
        work: 20_000,
        ..request(0, 0, "a", ms(2_000))
    };
    queue.push(ms(0), long).expect("a place");
    let mut overtaken = 0;
    for number in 1..100 {
        queue
            .push(ms(0), request(number, 0, "a", HOLD))
            .expect("a place");
        overtaken += u32::from(queue.take(ms(0), |work| work < 5_000).is_some());
    }
    assert_eq!(overtaken, SlotQueue::MAX_OVERTAKEN);
    assert_eq!(queue.take(ms(0), |_| true), Some(0));
}

#[test]
fn a_queue_is_bounded_and_forgets_who_gives_up() {
    let mut queue = queue();
    let taken =
        (0..2_000).filter(|number| queue.push(ms(0), request(*number, 0, "a", HOLD)).is_ok());
    assert_eq!(taken.count(), SlotQueue::MAX_WAITING);
    queue.remove(0);
    assert_eq!(queue.len(), SlotQueue::MAX_WAITING - 1);
    assert_eq!(queue.take(ms(0), |_| true), Some(1));
}

/// Room comes free for ten requests a second, of which each waits for an eighth of a second at most, and forty a second
/// arrive. Those whose turn would come too late must be told so at once, with the time at which it would come; nobody
/// who would be served may be refused.
#[test]
fn a_request_whose_turn_would_come_too_late_is_refused_at_once() {
    let mut queue = queue();
    let (mut at_once, mut after_waiting, mut served) = (0, 0, 0);
    let mut places = BTreeMap::new();
    for tick in 0..2_000_u64 {
        let now = ms(tick * 5);
        let number = tick as u32;
        if tick % 5 == 0 {
            let one = RoomRequest {
                begin_by: now,
                max_wait: MAX_WAIT,
                ..request(number, 0, "a", HOLD)
            };
            match queue.push(now, one) {
                Ok(()) => drop(places.insert(number, now)),
                Err(wait) => {
                    assert!(wait > MAX_WAIT && wait < ms(3_000), "{wait:?}");
                    at_once += 1;
                }
            }
        }
        if tick % 20 == 0
            && let Some(number) = queue.take(now, |_| true)
        {
            places.remove(&number);
            served += 1;
        }
        places.retain(|number, since| {
            let waits = now < *since + MAX_WAIT;
            if !waits {
                queue.remove(*number);
                after_waiting += 1;
            }
            waits
        });
    }
    println!("{served} served, {at_once} refused at once, {after_waiting} after waiting");
    assert!(served >= 95, "{served}");
    assert!(at_once >= 4 * after_waiting, "{at_once} {after_waiting}");
}

/// Nothing is known yet of the rate at which room comes free. A request must then wait as long as it may.
#[test]
fn nobody_is_refused_at_once_before_the_rate_is_known() {
    let mut queue = queue();
    for number in 0..20 {
        let one = RoomRequest {
            max_wait: MAX_WAIT,
            ..request(number, 0, "a", HOLD)
        };
        assert_eq!(queue.push(ms(u64::from(number)), one), Ok(()));
    }
}

/// A client may state any length of its answer, and may leave at any time. Neither may refuse others or stop the queue.
#[test]
fn absurd_sizes_do_no_harm() {
    let mut queue = queue();
    let huge = RoomRequest {
        hold: Duration::MAX,
        work: u64::MAX,
        ..request(0, 0, "a", HOLD)
    };
    queue.push(ms(0), huge).expect("a place");
    let quiet = RoomRequest {
        max_wait: MAX_WAIT,
        ..request(1, 0, "b", HOLD)
    };
    assert_eq!(queue.push(ms(200), quiet), Ok(()));
    queue.remove(0);
    assert_eq!(queue.take(ms(210), |_| true), Some(1));
    assert!(queue.is_empty());
}

/// Hundreds of callers are refused at one moment. They wait no longer than a third of their time, so that those told
/// more would return together. No more than a quarter may return within a tenth of that time, or of the first-byte
/// target if that is shorter.
#[rstest::rstest]
#[case::soon(100, 500, 2_500)]
#[case::late(5_000, 500, 2_500)]
#[case::long(400, 1_200, 10_000)]
#[case::little_time(400, 500, 300)]
fn refused_callers_do_not_come_back_as_a_wave(
    #[case] wait: u64,
    #[case] aim: u64,
    #[case] left: u64,
) {
    let last = ms(left) / 3;
    let returns =
        (0..500_u64).map(|n| spread_return(ms(wait), ms(aim), ms(left), n * (u64::MAX / 500)));
    let returns = returns.collect::<Vec<_>>();
    assert!(returns.iter().all(|at| *at <= last));
    let window = last.min(ms(aim)) / 10;
    for from in &returns {
        let within = returns
            .iter()
            .filter(|at| *at >= from && **at < *from + window);
        assert!(within.count() <= 125, "{from:?}");
    }
}

/// A workspace that was served alone for long, as room was left, owes nothing for it when others come.
#[test]
fn room_that_nobody_else_wanted_is_not_charged_later() {
    let mut queue = queue();
    queue
        .push(ms(0), request(0, 0, "alone", HOLD))
        .expect("a place");
    for number in 1..200 {
        queue
            .push(ms(0), request(number, 0, "alone", HOLD))
            .expect("a place");
        queue.take(ms(0), |_| true);
    }
    for number in 200..210 {
        for (number, workspace) in [(number, "alone"), (number + 100, "late")] {
            let one = request(number, 0, workspace, HOLD);
            queue.push(ms(0), one).expect("a place");
        }
    }
    let served = std::iter::from_fn(|| queue.take(ms(0), |_| true)).take(10);
    let alone = served.filter(|number| *number < 300).count();
    assert!((4..=6).contains(&alone), "{alone}");
}

/// A request that is due late stays behind others of its workspace that keep arriving, each due sooner. It must get its
/// turn by the time at which it is due.
#[test]
fn a_request_that_is_due_late_is_not_overtaken_forever() {
    let mut queue = queue();
    let due = |number, at| RoomRequest {
        begin_by: at,
        ..request(number, 0, "a", HOLD)
    };
    queue.push(ms(0), due(0, ms(1_200))).expect("a place");
    let turn = (1..200_u32).find(|number| {
        let now = ms(u64::from(*number) * 10);
        let one = due(*number, now + ms(500));
        queue.push(now, one).expect("a place");
        queue.take(now, |_| true) == Some(0)
    });
    assert!(turn.is_some_and(|turn| turn <= 71), "{turn:?}");
}
