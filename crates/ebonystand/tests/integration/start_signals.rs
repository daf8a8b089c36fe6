//! Signals to a process that is still starting.

use {
    crate::{
        fleet::{CHAT, DRAFT, Fleet, FleetBuilder, KEY},
        vm::OPERATOR,
    },
    ebonystand_fakes::EngineOptions,
    rstest::rstest,
    std::io::Write as _,
};

async fn fleet() -> Fleet {
    FleetBuilder::new()
        .region("utara", 1)
        .engine(EngineOptions::default())
        .drain_ms(Some(1_000))
        .start()
        .await
}

/// Starts the only VM again, with a signal to it before it has read its disk.
fn restart_with_signal(fleet: &mut Fleet, name: &str) {
    let vm = &mut fleet.vms[0];
    vm.kill();
    let mut pipe = vm.restart_held();
    vm.signal(name);
    pipe.write_all(OPERATOR.as_bytes()).unwrap();
}

/// Guards against SIGHUP that ends a process before its handler is installed.
#[actix_rt::test]
async fn a_hangup_in_the_start_ends_nothing() {
    let mut fleet = fleet().await;
    restart_with_signal(&mut fleet, "HUP");
    fleet.vms[0].wait_until_listening();
    fleet.vms[0].log_with("settings read again").await;
    fleet.wait_until_ready().await;
    let answer = fleet.vms[0].call(KEY, "POST", CHAT, DRAFT).await;
    assert!(answer.whole_stream(), "{answer:?}");
}

/// Guards against a planned stop in the start that counts as a failed process.
#[rstest]
#[case::interrupt("INT")]
#[case::terminate("TERM")]
#[actix_rt::test]
async fn a_stop_in_the_start_ends_the_process_well(#[case] name: &str) {
    let mut fleet = fleet().await;
    restart_with_signal(&mut fleet, name);
    assert!(fleet.vms[0].wait());
}
