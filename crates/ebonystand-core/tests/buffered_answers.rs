//! Tests of the bound on answers that a VM reads whole.

use ebonystand_core::BufferedAnswers;

/// Guards against answers of the usual size that are given up for one without end, and against one that is kept.
#[test]
fn the_largest_answer_goes_first() {
    let mut answers = BufferedAnswers::new(Some(1_000_000));
    for answer in 0..100 {
        assert!(answers.set(answer, 1_000).is_empty());
    }
    let grown = (1..).map(|n| n * 10_000);
    let mut stopped = grown.map(|bytes| answers.set(100, bytes));
    let stopped = stopped.find(|stopped| !stopped.is_empty());
    assert_eq!(stopped, Some(vec![100]));
    assert_eq!(answers.total(), 100_000);
}

/// Guards against bytes that stay counted after their answer has ended.
#[test]
fn answers_that_have_ended_take_no_room() {
    let mut answers = BufferedAnswers::new(Some(1_000_000));
    for answer in 0..10_000 {
        assert!(answers.set(answer, 1_000).is_empty());
        assert!(answers.set(answer, 100_000).is_empty());
        answers.remove(answer);
        answers.remove(answer);
    }
    assert_eq!(answers.total(), 0);
}
