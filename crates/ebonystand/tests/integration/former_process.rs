//! Answers to the former process of a VM that reach the next one, which has the same name.

use {
    crate::{
        fleet::{Fleet, FleetBuilder},
        routes::{Setting, call, echo, put, routing, served},
        scripted::Scripted,
        vm::Vm,
    },
    bytes::BytesMut,
    ebonystand_core::{Change, ChangeOutcome, ChangeRequest, CommandOutcome, PresetName},
    ebonystand_wire::{FrameWriter, Hello, Nonce, PeerMessage, Proposed},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
};

/// Sends messages to a VM as another one does.
async fn send(to: &Vm, from: &Vm, messages: impl IntoIterator<Item = PeerMessage>) {
    let mut io = TcpStream::connect(to.addresses.peers).await.unwrap();
    let mut nonce = [0; Nonce::LEN];
    io.read_exact(&mut nonce).await.unwrap();
    let mut writer = FrameWriter::new(Fleet::secret(), Nonce::from(nonce));
    let mut buf = BytesMut::new();
    let hello = PeerMessage::Hello(Hello {
        incarnation: 1,
        peer: from.addresses.peers,
        vm: from.name.as_str().into(),
    });
    for message in [hello].into_iter().chain(messages) {
        writer.write(&message, &mut buf).unwrap();
    }
    io.write_all(&buf).await.unwrap();
    // The VM reads what was sent before the connection ends.
    actix_rt::time::sleep(Duration::from_millis(200)).await;
}

/// Guards against a VM that takes its configuration for confirmed by an answer that its former process has asked for.
#[actix_rt::test]
async fn an_answer_to_a_former_process_confirms_no_configuration() {
    const WITHDRAWN_WITHIN: Duration = Duration::from_millis(1_500);
    let mut setting = Setting::new(vec![("a", vec![Scripted::start(echo)])]);
    setting.withdrawn_within_ms = WITHDRAWN_WITHIN.as_millis() as u64;
    setting.vms = 2;
    let fleet = setting.start().await;
    let mut unlimited = routing(1);
    unlimited.workspaces[0].quota = None;
    put(&fleet, unlimited).await;
    served(&fleet.vms[1], "/look/first").await;
    fleet.vms[0].signal("STOP");
    actix_rt::time::sleep(WITHDRAWN_WITHIN).await;
    let minutes = (1..100).map(|minutes| minutes * 60_000_000);
    let answers = minutes.map(|stamp| PeerMessage::Confirmed {
        leading: true,
        stamp,
        version: 1,
    });
    send(&fleet.vms[1], &fleet.vms[0], answers).await;
    let answer = call(&fleet.vms[1], "GET", "/look/second", "second", "").await;
    assert_eq!(answer.status, 503, "{}", answer.body);
}

/// Guards against a change that is acknowledged by the answer to another one, which a former process has proposed.
#[actix_rt::test]
async fn an_answer_to_a_former_process_acknowledges_no_change() {
    const NUMBERS: u64 = 1_000;
    let fleet = FleetBuilder::new().region("a", 2).registry().start().await;
    let req = ChangeRequest {
        change: Change::SwitchPreset {
            name: PresetName::Peak,
        },
        expected_version: Some(1),
        request_id: "switch".into(),
    };
    let body = serde_json::to_string(&req).unwrap();
    fleet.vms[0].signal("STOP");
    let change = fleet.vms[1].operate("POST", "/v1/operator/changes", &body);
    let answers = (0..NUMBERS).map(|id| PeerMessage::Proposed {
        id,
        proposed: Box::new(Proposed::Done(Box::new(CommandOutcome::Change(
            ChangeOutcome::Accepted { version: 2 },
        )))),
    });
    let late = async {
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        send(&fleet.vms[1], &fleet.vms[0], answers).await;
    };
    let (answer, ()) = tokio::join!(change, late);
    assert_eq!(answer.status, 503, "{answer:?}");
}
