//! How long answers take, by which a VM that is about to stop decides what it still sends on.

use super::*;

fn prompt(output: Tokens) -> Prompt {
    Prompt {
        input: 1_000,
        output,
        ..Prompt::default()
    }
}

fn expected(book: &UpstreamBook, prompt: Option<&Prompt>) -> Option<Duration> {
    book.expected_answer_time(&Sets::default().query(prompt), CallKind::Stream)
}

#[test]
fn the_expected_time_of_an_answer_follows_those_of_similar_length() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    for _ in 0..200 {
        book.record_answer_time("s", CallKind::Stream, Some(400), ms(2_000));
        book.record_answer_time("s", CallKind::Stream, Some(24), ms(150));
    }
    let long = expected(&book, Some(&prompt(500))).unwrap();
    assert!(ms(2_000) <= long && long < ms(2_500), "{long:?}");
    let short = expected(&book, Some(&prompt(20))).unwrap();
    assert!(ms(150) <= short && short < ms(200), "{short:?}");
}

#[test]
fn an_answer_takes_up_to_the_slowest_of_its_kind() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    for n in 0..200 {
        book.record_answer_time(
            "s",
            CallKind::Stream,
            None,
            ms(if n % 20 == 0 { 300 } else { 60 }),
        );
    }
    assert!(expected(&book, None).unwrap() > ms(150));
}

#[test]
fn a_prompt_without_a_measurement_takes_the_assumed_time_of_its_tokens() {
    let book = book(vec![listed("u1", "a-1", 1)]);
    let time = expected(&book, Some(&prompt(1_000))).unwrap();
    assert!(time > ms(7_000), "{time:?}");
    assert_eq!(expected(&book, None), None);
}

/// Guards against requests that a leaving VM sends to upstreams which have stopped answering, by how long they took before.
#[test]
fn nothing_is_expected_of_upstreams_that_have_stopped_answering() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    book.record_answer_time("s", CallKind::Stream, None, ms(60));
    assert!(expected(&book, None).is_some());
    book.record_attempt_end(ms(0), "u1", AttemptEnd::TimedOut, ms(1_000));
    assert_eq!(expected(&book, None), None);
}

/// Guards against streams that a leaving VM sends on by the time of quick answers of the same service, and breaks off.
#[test]
fn quick_answers_do_not_tell_how_long_streams_take() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    for _ in 0..200 {
        book.record_answer_time("s", CallKind::Idempotent, None, ms(20));
    }
    assert_eq!(expected(&book, None), None);
    book.record_answer_time("s", CallKind::Stream, None, ms(12_000));
    assert!(expected(&book, None).unwrap() >= ms(12_000));
}

/// Guards against prompts that a leaving VM sends to engines which have stopped answering, by how long they took before.
#[test]
fn nothing_is_expected_of_engines_that_have_stopped_answering() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    book.record_answer_time("s", CallKind::Stream, Some(400), ms(2_000));
    assert!(expected(&book, Some(&prompt(400))).is_some());
    book.record_attempt_end(ms(0), "u1", AttemptEnd::TimedOut, ms(1_000));
    assert_eq!(expected(&book, Some(&prompt(400))), None);
}
