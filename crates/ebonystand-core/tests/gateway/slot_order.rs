//! Order of the requests that wait for a slot: what ranks, workspaces, large and old requests get of it.

use super::*;

/// Slot time of a short request and of one with a long answer.
const SHORT: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(2);

fn request(number: u64, rank: u8, workspace: &str, slot_time: Duration) -> WaitingRequest {
    WaitingRequest {
        due: ms(number),
        number,
        rank,
        slot_time,
        workspace: Some(workspace.into()),
    }
}

/// Serves requests until `total` of slot time is used and returns what each rank and workspace got. `refill` names
/// those that always have another request waiting.
fn serve(refill: &[(u8, &str, Duration)], total: Duration) -> BTreeMap<(u8, Box<str>), Duration> {
    let mut order = SlotOrder::default();
    let mut numbers = 0..;
    let mut next = |rank, workspace: &str, slot_time| {
        let number = numbers.next().expect("a number");
        request(number, rank, workspace, slot_time)
    };
    for (rank, workspace, slot_time) in refill {
        for _ in 0..3 {
            order.push(next(*rank, workspace, *slot_time));
        }
    }
    let mut got = BTreeMap::new();
    let mut used = Duration::ZERO;
    while used < total {
        let served = order.pop().expect("a request");
        used += served.slot_time;
        let workspace = served.workspace.expect("a workspace");
        order.push(next(served.rank, &workspace, served.slot_time));
        *got.entry((served.rank, workspace)).or_default() += served.slot_time;
    }
    got
}

fn part(got: &BTreeMap<(u8, Box<str>), Duration>, rank: u8, workspace: &str) -> f64 {
    let all = got.values().sum::<Duration>();
    let own = got.get(&(rank, workspace.into())).copied();
    own.unwrap_or_default().as_secs_f64() / all.as_secs_f64()
}

/// Requests of the first rank arrive without a pause. The next rank must still get its share, however long its
/// requests take: counted in requests, its long answers would take nearly all slots.
#[rstest::rstest]
#[case::equal(SHORT, SHORT)]
#[case::next_long(SHORT, LONG)]
#[case::first_long(LONG, SHORT)]
fn ranks_share_slot_time_by_weight(#[case] first: Duration, #[case] next: Duration) {
    let refill = [(0, "a", first), (1, "a", next), (2, "a", next)];
    let got = serve(&refill, Duration::from_secs(600));
    for (rank, share) in [(0, 4.0 / 7.0), (1, 2.0 / 7.0), (2, 1.0 / 7.0)] {
        let part = part(&got, rank, "a");
        assert!((part - share).abs() < 0.02, "rank {rank}: {part}");
    }
}

/// A workspace with long answers and two with short ones, all with more than their share: each gets a third.
#[test]
fn workspaces_of_a_rank_share_slot_time_equally() {
    let refill = [(0, "long", LONG), (0, "b", SHORT), (0, "c", SHORT)];
    let got = serve(&refill, Duration::from_secs(600));
    for workspace in ["long", "b", "c"] {
        let part = part(&got, 0, workspace);
        assert!((part - 1.0 / 3.0).abs() < 0.02, "{workspace}: {part}");
    }
}

/// One workspace has hundreds of requests waiting. One of another workspace must not wait behind them.
#[test]
fn a_burst_of_one_workspace_waits_behind_itself() {
    let mut order = SlotOrder::default();
    for number in 0..500 {
        order.push(request(number, 0, "hot", SHORT));
    }
    for _ in 0..100 {
        order.pop();
    }
    let quiet = request(500, 0, "quiet", SHORT);
    assert!(order.slot_time_before(&quiet) <= SHORT);
    order.push(quiet);
    let soon = [order.pop(), order.pop()].map(|served| served.map(|served| served.number));
    assert!(soon.contains(&Some(500)), "{soon:?}");
}

/// A workspace that was served alone for long, as room was left, owes nothing for it when others come.
#[test]
fn room_that_nobody_else_wanted_is_not_charged_later() {
    let mut order = SlotOrder::default();
    let keep = request(0, 0, "alone", SHORT);
    order.push(keep);
    for number in 1..200 {
        order.push(request(number, 0, "alone", SHORT));
        order.pop();
    }
    for number in 200..210 {
        order.push(request(number, 0, "alone", SHORT));
        order.push(request(number + 100, 0, "late", SHORT));
    }
    let served = std::iter::from_fn(|| order.pop()).take(10);
    let alone = served.filter(|served| served.workspace.as_deref() == Some("alone"));
    assert!((4..=6).contains(&alone.count()));
}

/// Within a workspace, a long request that is due late stays behind short ones that keep arriving, each due sooner. It
/// must get its turn.
#[test]
fn a_request_is_not_overtaken_forever() {
    let mut order = SlotOrder::default();
    let large = WaitingRequest {
        due: ms(100_000),
        ..request(0, 0, "a", LONG)
    };
    order.push(large);
    let mut number = 1;
    let turns = (1..100).find(|_| {
        order.push(request(number, 0, "a", SHORT));
        number += 1;
        order.pop().is_some_and(|served| served.number == 0)
    });
    let turns = turns.expect("the large request is served");
    assert!(turns <= SlotOrder::OLDEST_TURN, "{turns}");
}

/// Within a workspace, the request that is due first goes first.
#[test]
fn the_request_with_the_least_slack_goes_first() {
    let mut order = SlotOrder::default();
    for (number, due) in [(0, 900), (1, 300), (2, 600)] {
        order.push(WaitingRequest {
            due: ms(due),
            ..request(number, 0, "a", SHORT)
        });
    }
    assert_eq!(order.peek().map(|next| next.number), Some(1));
    let served = std::iter::from_fn(|| order.pop()).map(|served| served.number);
    assert_eq!(served.collect::<Vec<_>>(), [1, 2, 0]);
}

/// Callers leave while they wait, and a client may state any size. Neither may upset the shares.
#[test]
fn requests_that_leave_and_absurd_sizes_do_no_harm() {
    let mut order = SlotOrder::default();
    order.push(request(0, 0, "a", Duration::MAX));
    order.push(request(1, 0, "a", Duration::ZERO));
    order.push(request(2, 1, "b", Duration::MAX));
    let probe = request(9, 0, "c", Duration::MAX);
    assert!(order.slot_time_before(&probe) < Duration::from_secs(300));
    assert_eq!(order.remove(1).map(|gone| gone.number), Some(1));
    assert_eq!(order.remove(1), None);
    order.pop();
    for number in 10..20 {
        order.push(request(number, 0, "a", SHORT));
    }
    let served = std::iter::from_fn(|| order.pop()).map(|served| served.number);
    assert_eq!(served.count(), 11);
    assert!(order.is_empty() && order.peek().is_none());
}

/// The slot time that goes before a request is what is served before it when nothing else arrives.
#[rstest::rstest]
#[case::own_rank(0, "b", 40)]
#[case::other_rank(1, "b", 40)]
#[case::new_workspace(1, "z", 60)]
fn what_goes_before_a_request_is_known(
    #[case] rank: u8,
    #[case] workspace: &str,
    #[case] due: u64,
) {
    let mut order = SlotOrder::default();
    for number in 0..60 {
        let workspace = ["a", "b", "c"][(number % 3) as usize];
        order.push(request(number, (number % 2) as u8, workspace, SHORT));
    }
    let probe = WaitingRequest {
        due: ms(due),
        ..request(60, rank, workspace, SHORT)
    };
    let told = order.slot_time_before(&probe);
    order.push(probe);
    let before = std::iter::from_fn(|| order.pop()).take_while(|served| served.number != 60);
    let before: Duration = before.map(|served| served.slot_time).sum();
    let error = told.abs_diff(before);
    assert!(
        error <= before / 3 + 4 * SHORT,
        "{told:?} told, {before:?} served"
    );
}
