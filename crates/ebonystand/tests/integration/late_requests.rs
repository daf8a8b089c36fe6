//! Requests of operators that a VM reads after their callers have given up on them.

use {
    crate::{fleet::FleetBuilder, vm::OPERATOR},
    ebonystand_core::{ChangeOutcome, Document},
    rstest::rstest,
    std::time::Duration,
    tokio::{io::AsyncWriteExt as _, net::TcpStream},
};

/// Time after which an operator gives up on a request.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time in which a VM that goes on has dealt with all that waited in its sockets.
const SETTLED: Duration = Duration::from_secs(2);

/// Guards against a VM that drains although the operator has given up on that while the VM was stopped, whether the close
/// of its connection arrives or not.
#[rstest]
#[case::closed_at_once(Duration::ZERO, true)]
#[case::closed(PATIENCE, true)]
#[case::close_lost(PATIENCE, false)]
#[actix_rt::test]
async fn a_drain_that_waited_in_a_stopped_vm_is_dropped_with_its_caller(
    #[case] waits: Duration,
    #[case] closes: bool,
) {
    let mut fleet = FleetBuilder::new().region("a", 2).registry().start().await;
    fleet.vms[1].signal("STOP");
    let operators = fleet.vms[1].addresses.operators;
    let mut given_up = TcpStream::connect(operators).await.unwrap();
    let text = format!(
        "POST /v1/operator/drain HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR}\r\ncontent-length: 0\r\n\r\n"
    );
    given_up.write_all(text.as_bytes()).await.unwrap();
    let lost = (!closes).then_some(given_up);
    actix_rt::time::sleep(waits).await;
    fleet.vms[1].signal("CONT");
    actix_rt::time::sleep(SETTLED).await;
    assert!(fleet.vms[1].running(), "{}", fleet.vms[1].log());
    drop(lost);
    let answer = fleet.vms[1].operate("POST", "/v1/operator/drain", "").await;
    assert_eq!(answer.status, 202, "{answer:?}");
    assert!(fleet.vms[1].wait());
}

/// Guards against changes of an evacuation that name no version, of which a late copy can't be told from a new one.
#[actix_rt::test]
async fn a_change_of_an_evacuation_without_a_version_is_a_conflict() {
    let fleet = FleetBuilder::new().region("a", 1).registry().start().await;
    let vm = &fleet.vms[0];
    let body = r#"{"request_id":"e","change":{"set_evacuated":{"evacuated":true,"zone":"a-a"}}}"#;
    let answer = vm.operate("POST", "/v1/operator/changes", body).await;
    assert_eq!(answer.status, 409, "{answer:?}");
    let document = vm.operate("GET", "/v1/operator/document", "").await;
    let document = document.json::<Document>();
    assert!(document.evacuated.is_empty());
    let version = document.version;
    assert_eq!(
        answer.json::<ChangeOutcome>(),
        ChangeOutcome::Conflict { version }
    );
}
