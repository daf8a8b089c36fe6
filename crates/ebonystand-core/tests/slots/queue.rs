//! Order of the requests that wait for the slots of a group.

use super::*;

fn slot(number: u32, rank: u8, workspace: &str, begin_by: u64, hold_ms: u32) -> WaitingSlot {
    WaitingSlot {
        begin_by: ms(begin_by),
        number,
        overtaken: 0,
        request: SlotRequest {
            begin_ms: 300,
            engines: vec![SlotOffer {
                engine: key(0),
                unread: u64::from(number),
            }],
            hold_ms,
            rank,
            start_ms: 175,
            workspace: workspace.into(),
        },
        vm: name(0),
    }
}

fn order(slots: Vec<WaitingSlot>) -> Vec<u32> {
    let mut queue = SlotQueue::default();
    for slot in slots {
        assert!(queue.push(slot));
    }
    std::iter::from_fn(|| queue.take(key(0), |_| true).map(|slot| slot.number)).collect()
}

#[test]
fn within_a_workspace_the_request_that_must_begin_first_goes_first() {
    let slots = vec![
        slot(1, 0, "a", 300, 100),
        slot(2, 0, "a", 200, 2_000),
        slot(3, 0, "a", 100, 100),
    ];
    assert_eq!(order(slots), [3, 2, 1]);
}

#[test]
fn workspaces_share_slot_time_and_not_requests() {
    let long = (0..10).map(|n| slot(n, 0, "long", 100, 2_000));
    let short = (10..200).map(|n| slot(n, 0, "short", 100, 100));
    let first = order(long.chain(short).collect());
    let of_long = first[..84].iter().filter(|number| **number < 10).count();
    assert!((4..=5).contains(&of_long), "{of_long} of 84 are long");
}

#[test]
fn ranks_share_slot_time_by_weight() {
    let slots = (0..300).map(|n| slot(n, (n % 3) as u8, "a", 100, 100));
    let first = order(slots.collect());
    let counts = [0, 1, 2].map(|rank| {
        first[..70]
            .iter()
            .filter(|number| **number % 3 == rank)
            .count()
    });
    assert!(
        counts[0].abs_diff(40) <= 1 && counts[1].abs_diff(20) <= 1 && counts[2].abs_diff(10) <= 1,
        "{counts:?}"
    );
}

#[test]
fn a_large_prompt_is_not_overtaken_for_ever() {
    let mut queue = SlotQueue::default();
    queue.push(slot(5_000, 0, "a", 100, 100));
    let mut taken = 0;
    for number in 0..100 {
        queue.push(slot(number, 0, "a", 200, 100));
        taken += usize::from(queue.take(key(0), |unread| unread < 1_000).is_some());
    }
    assert_eq!(taken, SlotQueue::MAX_OVERTAKEN as usize);
    let next = queue.take(key(0), |_| true).expect("a request");
    assert_eq!(next.number, 5_000);
}

#[test]
fn work_ahead_counts_what_goes_first() {
    let mut queue = SlotQueue::default();
    for number in 0..10 {
        queue.push(slot(number, 0, "greedy", 100, 100));
    }
    let request = slot(99, 0, "modest", 200, 100).request;
    assert_eq!(queue.work_ahead(ms(200), &request), 0.0);
    let request = slot(99, 0, "greedy", 200, 100).request;
    assert_eq!(queue.work_ahead(ms(200), &request), 1_000.0);
    assert_eq!(queue.work_ahead(ms(50), &request), 0.0);
}
