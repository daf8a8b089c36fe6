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
