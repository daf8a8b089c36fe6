//! Detection of answers that go silent, break off or arrive late.

mod common;

use {
    common::ms,
    ebonystand_core::{Resumption::*, StreamFault as Fault, StreamVerdict::*, *},
    rstest::rstest,
};

const CLOSE: ConnectionAction = ConnectionAction::Close;
const REUSE: ConnectionAction = ConnectionAction::Reuse;

fn broken(fault: Fault, resumption: Resumption) -> StreamVerdict {
    Broken {
        connection: CLOSE,
        fault,
        resumption,
    }
}

fn guard(framing: StreamFraming, can_resume: bool) -> StreamGuard {
    let preset = Preset::default();
    let deadline = Deadline::new(ms(0), None, &preset);
    StreamGuard::new(ms(0), framing, deadline, can_resume, &preset)
}

/// An engine dies in the middle of a draft, and its connection ends as if the body were complete.
/// The caller would print half a certificate; it must get an error instead, or the rest of the
/// answer.
#[rstest]
#[case::none("", true, Restart)]
#[case::one_token("data: a\n\n", true, AtToken(1))]
#[case::cannot_resume("data: a\n\n", false, Never)]
#[case::half_terminator("data: a\n\ndata: [DON", true, AtToken(1))]
#[case::quoted("data: a\n\ndata: \"[DONE]\"\n\n", true, AtToken(2))]
#[case::other_field("data: a\n\nevent: [DONE]\n\n", true, AtToken(1))]
#[case::unended_line("data: a\n\ndata: [DONE]", true, AtToken(1))]
fn a_stream_without_its_terminator_is_never_complete(
    #[case] body: &str,
    #[case] can_resume: bool,
    #[case] resumption: Resumption,
    #[values(true, false)] clean: bool,
) {
    let mut guard = guard(StreamFraming::Events, can_resume);
    if !body.is_empty() {
        assert_eq!(guard.on_bytes(ms(1), body.as_bytes()), Continue);
    }
    let verdict = guard.on_end(clean);
    assert_eq!(verdict, broken(Fault::Truncated, resumption));
}

/// The network may split a stream anywhere, also within the terminator. The answer must count as
/// complete exactly when its last piece has arrived.
#[test]
fn a_whole_stream_is_complete_wherever_it_is_cut() {
    let body = b": ping\n\ndata: {\"t\":\"a\"}\r\n\r\ndata: b\n\ndata:[DONE]\n\n";
    for cut in 0..body.len() - 2 {
        let mut guard = guard(StreamFraming::Events, true);
        assert_eq!(guard.on_bytes(ms(1), &body[..cut]), Continue, "{cut}");
        let verdict = guard.on_bytes(ms(2), &body[cut..]);
        assert_eq!(verdict, Complete { connection: REUSE }, "{cut}");
        assert_eq!(guard.forwarded_tokens(), 2);
    }
}

/// Bytes of another answer follow a complete answer on its connection. If the connection returned
/// to the pool, the next request would get them.
#[test]
fn a_connection_with_bytes_beyond_the_end_is_not_reused() {
    let mut guard = guard(StreamFraming::Events, true);
    let verdict = guard.on_bytes(ms(1), b"data: [DONE]\n\ndata: crossed\n\n");
    assert_eq!(verdict, Complete { connection: CLOSE });
    assert_eq!(guard.on_bytes(ms(2), b"data: more\n\n"), AlreadyEnded);
    assert_eq!(guard.on_end(true), AlreadyEnded);
}

/// A middlebox drops the state of a connection, which then stays open and silent forever. The
/// caller must not wait longer than the preset's limits, and an answer that arrives later must be
/// dropped.
#[rstest]
#[case::before_the_first_byte(None, 10_000, Fault::FirstByte, Restart)]
#[case::between_tokens(Some("data: a\n\n"), 5_100, Fault::BetweenTokens, AtToken(1))]
#[case::keep_alives_only(Some(": ping\n\n"), 10_000, Fault::BetweenTokens, AtToken(0))]
fn a_silent_stream_is_given_up_on(
    #[case] body: Option<&str>,
    #[case] limit: u64,
    #[case] fault: Fault,
    #[case] resumption: Resumption,
) {
    let mut guard = guard(StreamFraming::Events, true);
    if let Some(body) = body {
        guard.on_bytes(ms(100), body.as_bytes());
    }
    assert_eq!(guard.next_tick(), ms(limit));
    assert_eq!(guard.on_tick(ms(limit - 1)), Continue);
    assert_eq!(guard.on_tick(ms(limit)), broken(fault, resumption));
    assert_eq!(
        guard.on_bytes(ms(limit + 1), b"data: [DONE]\n\n"),
        AlreadyEnded
    );
}

/// An engine keeps generating tokens past the caller's deadline, or the caller disconnects. Either
/// must end the run and close the connection, so that later bytes reach no other request.
#[test]
fn a_deadline_or_a_leaving_caller_ends_the_stream_and_its_connection() {
    let mut late = guard(StreamFraming::Events, true);
    for n in 0..60 {
        assert_eq!(late.on_bytes(ms(n * 1_000), b"data: a\n\n"), Continue);
    }
    let deadline = broken(Fault::Deadline, Never);
    assert_eq!(late.on_tick(ms(60_000)), deadline);
    let cancelled = broken(Fault::Cancelled, Never);
    assert_eq!(guard(StreamFraming::Events, true).on_cancel(), cancelled);
}

/// Guards against a stream that never pauses and so is relayed past its limits.
#[rstest]
#[case::tokens("data: a\n\n", 60_000, Fault::Deadline, Never)]
#[case::an_event_without_end("data: a", 10_000, Fault::BetweenTokens, AtToken(0))]
#[case::keep_alives(": ping\n\n", 10_000, Fault::BetweenTokens, AtToken(0))]
fn a_stream_without_pauses_ends_at_its_limits(
    #[case] body: &str,
    #[case] limit: u64,
    #[case] fault: Fault,
    #[case] resumption: Resumption,
) {
    let mut guard = guard(StreamFraming::Events, true);
    for now in 0..limit {
        assert_eq!(guard.on_bytes(ms(now), body.as_bytes()), Continue);
    }
    let verdict = guard.on_bytes(ms(limit), body.as_bytes());
    assert_eq!(verdict, broken(fault, resumption));
}

/// The answer of a plain service breaks off before its length, which the client library reports. It
/// may be requested again only if none of it has arrived.
#[test]
fn a_plain_body_is_whole_only_if_its_framing_is() {
    let mut whole = guard(StreamFraming::Body, true);
    whole.on_bytes(ms(1), b"stock: 4");
    assert_eq!(whole.on_end(true), Complete { connection: REUSE });
    let mut cut = guard(StreamFraming::Body, true);
    cut.on_bytes(ms(1), b"sto");
    let truncated = broken(Fault::Truncated, Never);
    assert_eq!(cut.on_end(false), truncated);
}
