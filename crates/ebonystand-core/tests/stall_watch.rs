//! Tests of the detection of times in which the process did not run.

use {ebonystand_core::StallWatch, rstest::rstest, std::time::Duration};

/// Guards against stalls that go unnoticed, and against lateness that is taken for one.
#[rstest]
#[case::on_time(100, None)]
#[case::late(500, None)]
#[case::stalled(501, Some(501))]
#[case::stalled_long(9_000, Some(9_000))]
fn a_gap_between_two_observations_is_a_stall(#[case] gap_ms: u64, #[case] stalled_ms: Option<u64>) {
    let start = Duration::from_secs(100);
    let mut watch = StallWatch::new(start);
    let now = start + Duration::from_millis(gap_ms);
    assert_eq!(watch.observe(now), stalled_ms.map(Duration::from_millis));
    assert_eq!(watch.observe(now), None);
}

/// Guards against what waited in a socket during a stall and is taken for new, just after it or before the rest is read.
#[rstest]
#[case::before(99, false)]
#[case::at_once(700, true)]
#[case::soon(1_699, true)]
#[case::later(1_700, false)]
fn what_is_read_after_a_stall_may_have_waited(#[case] at_ms: u64, #[case] expected: bool) {
    let mut watch = StallWatch::new(Duration::ZERO);
    // The process does not run between 100 and 700 ms.
    let runs = (0..100).chain(700..at_ms).step_by(50);
    for ms in runs.filter(|ms| *ms < at_ms).chain([at_ms]) {
        watch.observe(Duration::from_millis(ms));
    }
    assert_eq!(
        watch.may_have_waited(Duration::from_millis(at_ms)),
        expected
    );
}
