//! The place in a stream of events, however its bytes are split.

use {ebonystand_core::EventBoundary, rstest::rstest};

#[rstest]
#[case::nothing("", false)]
#[case::whole("data: x\n\n", false)]
#[case::two_lines("id: 1\ndata: x\n\n", false)]
#[case::comment(": still there\n\n", false)]
#[case::carriage_returns("data: x\r\r", false)]
#[case::both("data: x\r\n\r\n", false)]
#[case::blank_lines("data: x\n\n\n\n", false)]
#[case::in_a_line("data: x\n\ndata: y", true)]
#[case::in_a_name("data: x\n\nd", true)]
#[case::after_a_line("data: x\n", true)]
#[case::after_a_line_of_both("data: x\r\n", true)]
#[case::after_a_line_of_carriage_return("data: x\r", true)]
fn an_event_ends_with_a_blank_line(#[case] stream: &str, #[case] is_inside: bool) {
    for split in 0..=stream.len() {
        let mut boundary = EventBoundary::default();
        boundary.scan(&stream.as_bytes()[..split]);
        boundary.scan(&stream.as_bytes()[split..]);
        assert_eq!(boundary.is_inside_event(), is_inside, "split at {split}");
    }
}
