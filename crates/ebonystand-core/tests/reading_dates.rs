//! Dates of lists that other VMs have read.

use {
    ebonystand_core::{ListReading, ReadingDates},
    rstest::rstest,
    std::time::Duration,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn reading(incarnation: u64, began_ms: u64) -> ListReading {
    ListReading {
        began_ms,
        incarnation,
        reader: "a".into(),
    }
}

/// Guards against a list that waited on its way and is taken for a new one, or one of a new process for an old one.
#[rstest]
#[case::in_time(1, 70_020, 10_020, 10_020)]
#[case::late(1, 70_020, 15_020, 10_020)]
#[case::faster_than_any(1, 70_020, 10_000, 10_000)]
#[case::of_the_next_process(2, 500, 10_020, 10_020)]
fn a_list_is_as_old_as_its_read(
    #[case] incarnation: u64,
    #[case] began_ms: u64,
    #[case] now_ms: u64,
    #[case] expected_ms: u64,
) {
    let mut dates = ReadingDates::default();
    for at in (0..10_000).step_by(1_000) {
        dates.date(ms(at), &reading(1, 60_000 + at));
    }
    let date = dates.date(ms(now_ms), &reading(incarnation, began_ms));
    assert_eq!(date, ms(expected_ms));
}

/// Guards against clocks that drift apart, until no list counts as new any more.
#[test]
fn clocks_may_drift_apart() {
    let mut dates = ReadingDates::default();
    for at in (0..10_000_000).step_by(1_000) {
        // The reader's clock loses 100 microseconds each second.
        let date = dates.date(ms(at), &reading(1, 60_000 + at - at / 10_000));
        assert!(date + ms(61) >= ms(at), "{date:?} at {at} ms");
    }
}
