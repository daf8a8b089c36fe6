//! Releases beside a VM that is out of step: a stream goes on only at the software version that began it.

// A failed `unwrap` is how a test's helpers report that the test cannot go on.
#![allow(clippy::unwrap_used)]

use {
    ebonystand_core::{
        InquiryState, KnownOrigin, ListReaderElection, ListReading, OriginAnswer, OriginHolders,
        OriginInquiry, OriginTable, ReadingDates, ServiceId, SoftwareHistory, SoftwareVersion,
        StreamKey, StreamOrigin, VmCapacity, VmId, VmRecord,
    },
    play::{Fault, Fleet, Play, Release},
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

mod play;
mod vm;

const SEEDS: u64 = 8;

/// Guards against a stream that goes on at another version because one VM's knowledge is of another time.
#[rstest]
#[case::in_step(&[])]
#[case::cut_off(&[Fault::Cut { from: 5_500, to: 8_500, list_too: true }])]
#[case::cut_off_for_long(&[Fault::Cut { from: 5_500, to: 25_500, list_too: true }])]
#[case::cut_off_from_vms(&[Fault::Cut { from: 5_500, to: 11_500, list_too: false }])]
#[case::stands_still_shortly(&[Fault::Frozen { from: 5_600, to: 7_000 }, Fault::Frozen { from: 7_050, to: 8_500 }, Fault::Frozen { from: 8_550, to: 10_000 }])]
#[case::stands_still(&[Fault::Frozen { from: 5_900, to: 9_900 }])]
#[case::stands_still_for_long(&[Fault::Frozen { from: 5_900, to: 25_900 }])]
#[case::hears_late(&[Fault::Late { by: 3_000, permille: 0, to: 12_000 }])]
#[case::falls_behind(&[Fault::Late { by: 1_000, permille: 120, to: 12_000 }])]
fn a_release_beside_a_vm_out_of_step_mixes_no_stream(
    #[case] faults: &'static [Fault],
    #[values(Release::Joins, Release::Replaces, Release::ComesAndGoes)] release: Release,
    #[values(Fleet::ONE_A_REGION, Fleet::THREE_REGIONS, Fleet::FIVE_REGIONS)] fleet: Fleet,
    #[values(false, true)] restarts: bool,
) {
    let mut gone_on = 0;
    for seed in 0..SEEDS {
        let play = Play::run(seed, fleet, release, faults, restarts);
        assert!(
            play.mixed.is_empty(),
            "seed {seed}: {} of {} mixed: {:?}",
            play.mixed.len(),
            play.gone_on,
            &play.mixed[0]
        );
        gone_on += play.gone_on;
    }
    assert!(gone_on > 0);
}
