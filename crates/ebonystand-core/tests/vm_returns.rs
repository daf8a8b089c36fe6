//! When VMs that were stopped are expected to take callers again.

#[path = "common/vms.rs"]
#[allow(dead_code)]
mod vms;

use {
    ebonystand_core::{VmEntry, VmReturns, VmState},
    rstest::rstest,
    std::time::Duration,
    vms::record,
};

/// Number of regions; VM `n` is in region `n % REGIONS`.
const REGIONS: usize = 2;
const USUAL: Duration = Duration::from_secs(8);

fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

fn entry(vm: usize) -> VmEntry {
    let mut record = record(vm, REGIONS);
    record.takes_callers = true;
    VmEntry {
        hinted_leaving: false,
        record,
        state: VmState::Alive,
    }
}

fn leaving(vm: usize) -> VmEntry {
    let mut entry = entry(vm);
    entry.record.leaving = true;
    entry
}

/// Time in ms at which a VM of the first region is expected back.
fn expected(returns: &VmReturns, now: Duration) -> Option<u64> {
    let time = returns.next_return(now, USUAL, |region| **region == *"r0")?;
    Some((time - at(0)).as_millis() as u64)
}

/// Guards against callers who use up their tries before a VM of their region is back.
#[test]
fn a_vm_that_leaves_is_expected_back_after_the_usual_time() {
    let mut returns = VmReturns::default();
    returns.record(at(0), &[entry(0), entry(1), entry(2)]);
    assert_eq!(expected(&returns, at(0)), None);
    returns.record(at(1_000), &[leaving(0), entry(1), entry(2)]);
    returns.record(at(2_000), &[leaving(0), entry(1), leaving(2)]);
    assert_eq!(expected(&returns, at(2_500)), Some(9_000));
    assert_eq!(returns.away_since("vm-0002"), Some(at(2_000)));
    assert_eq!(returns.away_since("vm-0001"), None);
}

/// Guards against callers who are told to wait for the whole grace where processes end and start again sooner.
#[test]
fn an_absence_lasts_as_long_as_the_last_one_that_has_ended() {
    let mut returns = VmReturns::default();
    returns.record(at(0), &[entry(0), entry(1)]);
    returns.record(at(1_000), &[entry(0), leaving(1)]);
    returns.record(at(3_000), &[entry(0)]);
    returns.record(at(4_000), &[entry(0), entry(1)]);
    returns.record(at(5_000), &[entry(1)]);
    assert_eq!(expected(&returns, at(5_000)), Some(8_000));
}

/// Guards against callers who wait for a VM that has gone for good.
#[rstest]
#[case::overdue(9_900, Some(8_000))]
#[case::gone(10_100, None)]
fn a_vm_that_is_long_overdue_is_not_expected(#[case] at_ms: u64, #[case] time: Option<u64>) {
    let mut returns = VmReturns::default();
    returns.record(at(0), &[entry(0), entry(1)]);
    returns.record(at(0), &[entry(1)]);
    assert_eq!(expected(&returns, at(at_ms)), time);
}

/// Guards against tries that are used up before the VM is back, and against callers who all come back at once.
#[rstest]
#[case::long_absence(8_000, 12_000, 3_400, 4_000)]
#[case::short_absence(1_000, 12_000, 1_000, 2_000)]
#[case::back_at_the_last(3_500, 12_000, 3_400, 4_000)]
#[case::little_time(8_000, 1_200, 340, 400)]
#[case::no_time(8_000, 0, 0, 0)]
fn callers_are_spread_within_the_delay_that_they_follow(
    #[case] wait_ms: u64,
    #[case] left_ms: u64,
    #[case] first_ms: u64,
    #[case] last_ms: u64,
) {
    let ms = Duration::from_millis;
    let delay = |random| VmReturns::retry_delay(ms(wait_ms), ms(1_000), ms(left_ms), random);
    assert_eq!((delay(0), delay(u64::MAX)), (ms(first_ms), ms(last_ms)));
}
