//! Tests of the stamps by which answers are told to belong to a question of this process.

use {ebonystand_core::QuestionStamps, rstest::rstest, std::time::Duration};

/// Guards against answers to a former process, or from the own future, that are taken for proofs of freshness.
#[rstest]
#[case::own(7, 5_000, 6_000, Some(5_000))]
#[case::at_once(7, 5_000, 5_000, Some(5_000))]
#[case::own_future(7, 6_001, 6_000, None)]
#[case::at_the_end_of_the_numbers(u64::MAX, 5_000, 6_000, Some(5_000))]
fn an_answer_counts_only_for_a_question_that_this_process_has_asked(
    #[case] offset: u64,
    #[case] asked_ms: u64,
    #[case] now_ms: u64,
    #[case] expected_ms: Option<u64>,
) {
    let stamps = QuestionStamps::new(offset);
    let stamp = stamps.stamp(Duration::from_millis(asked_ms));
    let asked = stamps.asked_at(stamp, Duration::from_millis(now_ms));
    assert_eq!(asked, expected_ms.map(Duration::from_millis));
}

/// Guards against an answer to the former process of a VM, whose clock also started at zero.
#[test]
fn an_answer_to_a_former_process_does_not_count() {
    let former = QuestionStamps::new(0x1234_5678_9abc_def0);
    let next = QuestionStamps::new(0xfedc_ba98_7654_3210);
    let now = Duration::from_secs(30);
    let asked = Duration::from_secs(20);
    assert_eq!(next.asked_at(former.stamp(asked), now), None);
}
