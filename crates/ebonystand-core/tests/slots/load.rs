//! Who is served when a region's callers compete for its slots. The load: 22 VMs before 56 engines of 12
//! slots; four of five requests hold a slot for 100 ms, the others for 2 s; load reports are 150 ms late.

use {
    super::*,
    region::{End, Region},
    rstest::rstest,
};

fn print(name: &str, report: &Report) {
    println!(
        "{name}: in time {:.3} (short {:.3}, long {:.3}, large {:.3}), late {}, refused {}, idle {:.3}, over {:.3}, messages {:.2}",
        report.share(|_| true),
        report.share(|caller| caller.hold == 100),
        report.share(|caller| caller.hold > 100),
        report.share(|caller| caller.unread >= 5_000),
        report.count(End::Late),
        report.count(End::Refused),
        report.idle,
        report.over,
        report.messages_per_caller(),
    );
}

#[rstest]
#[case::nearly_full(0.9)]
#[case::full(1.0)]
#[case::beyond(1.3)]
#[case::far_beyond(1.7)]
fn one_order_keeps_the_slots_full_and_answers_in_time(#[case] offered: f64) {
    let blind = Region::play(Play::new(Way::Blind, offered));
    let scheduled = Region::play(Play::new(Way::Scheduled, offered));
    print("blind", &blind);
    print("scheduled", &scheduled);
    let served = scheduled.share(|_| true);
    assert!(served >= blind.share(|_| true));
    assert!(served >= 0.97 * f64::min(1.0, 1.0 / offered), "{served}");
    assert!(
        scheduled.idle <= 0.03,
        "idle slots while requests wait: {}",
        scheduled.idle
    );
    assert!(
        scheduled.over <= 0.01,
        "requests beyond the slots: {}",
        scheduled.over
    );
    assert!(scheduled.count(End::Late) * 100 <= scheduled.callers.len());
    assert!(scheduled.messages_per_caller() <= 8.0);
    let large = scheduled.share(|caller| caller.unread >= 5_000);
    assert!(large >= served / 2.0, "the largest tenth: {large}");
}

#[test]
fn a_workspace_that_asks_for_six_times_as_much_takes_from_itself() {
    let play = Play {
        greed: 6,
        ..Play::new(Way::Scheduled, 1.5)
    };
    let report = Region::play(play);
    let blind = Region::play(Play {
        way: Way::Blind,
        ..play
    });
    print("blind", &blind);
    print("scheduled", &report);
    let served = report.served_by_workspace(play.workspaces);
    println!(
        "{served:?}; blind {:?}",
        blind.served_by_workspace(play.workspaces)
    );
    let others = &served[1..];
    let mean = others.iter().sum::<f64>() / others.len() as f64;
    let worst = others.iter().copied().fold(1.0, f64::min);
    assert!(worst >= 0.8 * mean, "worst {worst}, mean {mean}");
    // Each other workspace asks for a tenth of the slots, just its share.
    assert!(mean >= 0.85, "others than the greedy one: {mean}");
    assert!(served[0] < mean);
}

#[test]
fn a_lower_rank_gets_its_share() {
    let play = Play {
        ranks: &[0, 0, 0, 1, 2],
        ..Play::new(Way::Scheduled, 1.6)
    };
    let report = Region::play(play);
    print("scheduled", &report);
    let ranks = [0, 1, 2].map(|rank| report.share(|caller| caller.rank == rank));
    println!("{ranks:?}");
    assert!(ranks.iter().all(|served| *served >= 0.3), "{ranks:?}");
}

#[test]
fn no_message_is_sent_while_room_is_not_short() {
    let report = Region::play(Play::new(Way::Scheduled, 0.3));
    print("scheduled", &report);
    assert_eq!(report.messages, 0);
    assert!(report.share(|_| true) > 0.999);
}
