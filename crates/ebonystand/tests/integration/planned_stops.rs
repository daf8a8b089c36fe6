use {
    crate::{
        answer::Answer,
        fleet::{CERTIFICATES, CHAT, DRAFT, Fleet, FleetBuilder, KEY},
        routes::{HOST, Setting, echo, put, routing, served},
        scripted::Scripted,
        unframed::{forwarded, forwards_address},
    },
    ebonystand_fakes::{EngineOptions, Fault},
    ebonystand_wire::Forwarded,
    rstest::rstest,
    std::{
        collections::BTreeSet,
        time::{Duration, SystemTime},
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
};

const LOOKUP: &str = "/v1/services/registry/certificates/7";

fn order_key() -> String {
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_secs();
    format!("utara/{now}-award")
}

/// VMs of one region that end a second after they have been asked to.
async fn fleet(vms: usize, options: EngineOptions) -> Fleet {
    fleet_with_drain(vms, options, 1_000).await
}

async fn fleet_with_drain(vms: usize, options: EngineOptions, drain_ms: u64) -> Fleet {
    FleetBuilder::new()
        .region("utara", vms)
        .engine(options)
        .registry()
        .drain_ms(Some(drain_ms))
        .start()
        .await
}

/// Sends a request, and asks the VM to stop once the upstream has it.
async fn stop_under_way(fleet: &Fleet, path: &str, body: &str, key: &str) -> Answer {
    let headers = [("x-ebonystand-order-key", key)];
    let stop = async {
        let upstreams = [&fleet.engines[0], &fleet.registries[0]];
        loop {
            for upstream in upstreams {
                if upstream.seen().await.requests > 0 {
                    return fleet.vms[0].signal("TERM");
                }
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let call = fleet.vms[0].call_with(KEY, "POST", path, body, &headers);
    tokio::join!(call, stop).0
}

/// Guards against a connection that is closed without an answer when the VM ends before the upstream answers.
#[actix_rt::test]
async fn a_chat_that_still_runs_at_the_end_of_a_stop_is_refused_as_possibly_run() {
    let fleet = fleet(1, EngineOptions::default()).await;
    fleet.engines[0].set_fault(Fault::Silent).await;
    let chat = DRAFT.replace("true", "false");
    let answer = stop_under_way(&fleet, CHAT, &chat, &order_key()).await;
    let refusal = (answer.status, &*answer.code(), &*answer.run());
    assert_eq!(refusal, (504, "deadline", "unknown"));
}

/// Guards against half an answer that its caller takes for a whole one when the VM ends.
#[actix_rt::test]
async fn a_stream_that_still_runs_at_the_end_of_a_stop_ends_in_an_error() {
    let options = EngineOptions {
        token: Duration::from_millis(900),
        ..EngineOptions::default()
    };
    let fleet = fleet(1, options).await;
    let answer = stop_under_way(&fleet, CHAT, DRAFT, &order_key()).await;
    assert!(!answer.whole_stream());
    assert!(answer.body.contains("event: error"), "{answer:?}");
}

/// Guards against an order that is cut off without an answer, or run again under its key.
#[actix_rt::test]
async fn an_order_that_still_runs_at_the_end_of_a_stop_is_unknown_and_not_run_again() {
    let mut fleet = fleet(2, EngineOptions::default()).await;
    fleet.registries[0].set_fault(Fault::Silent).await;
    let key = order_key();
    let answer = stop_under_way(&fleet, CERTIFICATES, "{}", &key).await;
    assert_eq!((answer.status, &*answer.run()), (504, "unknown"));
    assert!(fleet.vms[0].wait());
    fleet.registries[0].set_fault(Fault::None).await;
    let headers = [("x-ebonystand-order-key", &*key)];
    let again = fleet.vms[1].call_with(KEY, "POST", CERTIFICATES, "{}", &headers);
    assert_eq!(again.await.run(), "unknown");
    assert_eq!(fleet.registries[0].seen().await.requests, 1);
}

/// Guards against an order that a leaving VM sends although it ends before the order's time is over.
#[actix_rt::test]
async fn a_leaving_vm_sends_no_order_whose_answer_may_come_too_late() {
    let fleet = fleet(1, EngineOptions::default()).await;
    fleet.registries[0].set_fault(Fault::Silent).await;
    fleet.vms[0].signal("TERM");
    fleet.vms[0].log_with("lingered").await;
    let key = order_key();
    let headers = [("x-ebonystand-order-key", &*key)];
    let answer = fleet.vms[0].call_with(KEY, "POST", CERTIFICATES, "{}", &headers);
    assert_eq!(answer.await.run(), "not_run");
    assert_eq!(fleet.registries[0].seen().await.requests, 0);
}

/// Guards against a long chat that a leaving VM begins and breaks off.
#[actix_rt::test]
async fn a_leaving_vm_sends_no_chat_whose_answer_is_expected_too_late() {
    let fleet = fleet(1, EngineOptions::default()).await;
    // Its tokens take half a minute at the speed that is stated for the engine.
    let chat = DRAFT.replace("\"max_tokens\":6", "\"max_tokens\":30000");
    fleet.vms[0].signal("TERM");
    fleet.vms[0].log_with("lingered").await;
    let answer = fleet.vms[0].call(KEY, "POST", CHAT, &chat).await;
    let refusal = (answer.status, &*answer.code(), &*answer.run());
    assert_eq!(refusal, (503, "draining", "not_run"));
    assert_eq!(fleet.engines[0].seen().await.requests, 0);
}

/// Guards against a stream that a leaving VM begins late because most are short, and breaks off.
#[rstest]
#[case::stream(DRAFT, 60_000, 503)]
#[case::stream_due_in_time(DRAFT, 4_000, 200)]
#[case::whole(&DRAFT.replace("true", "false"), 60_000, 200)]
#[actix_rt::test]
async fn a_leaving_vm_begins_a_late_stream_only_if_it_is_due_in_time(
    #[case] chat: &str,
    #[case] deadline_ms: u64,
    #[case] status: u16,
) {
    let fleet = FleetBuilder::new()
        .region("utara", 1)
        .engine(EngineOptions::default())
        .certain_after_ms(0)
        .drain_ms(Some(20_000))
        .start()
        .await;
    fleet.vms[0].signal("TERM");
    fleet.vms[0].log_with("lingered").await;
    let deadline = deadline_ms.to_string();
    let headers = [("x-ebonystand-deadline-ms", &*deadline)];
    let answer = fleet.vms[0].call_with(KEY, "POST", CHAT, chat, &headers);
    let answer = answer.await;
    assert_eq!(answer.status, status, "{answer:?}");
    let ran = fleet.engines[0].seen().await.requests;
    assert_eq!(ran, u64::from(status == 200));
}

/// Guards against a stream that breaks off at a leaving VM although the VM that forwards it could have sent it elsewhere.
#[rstest]
#[case::another_region_could_take_it(None, "x-ebonystand-ended: not_sent")]
#[case::only_this_region_may_take_it(Some("b"), "x-ebonystand-ended: upstream")]
#[actix_rt::test]
async fn a_leaving_vm_takes_a_forwarded_stream_only_if_no_other_vm_can(
    #[case] home: Option<&str>,
    #[case] ended: &str,
) {
    let upstreams = || vec![Scripted::start(echo)];
    let mut setting = Setting::new(vec![("a", upstreams()), ("b", upstreams())]);
    setting.drain_ms = Some(20_000);
    let fleet = setting.start().await;
    put(&fleet, routing(1)).await;
    for vm in &fleet.vms {
        served(vm, "/stream/first").await;
    }
    let address = forwards_address(&fleet.vms[1]).await;
    // The leaving VM learns by gossip that the other one takes callers.
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    fleet.vms[1].signal("TERM");
    fleet.vms[1].log_with("lingered").await;
    let forwarded = Forwarded {
        homes: home.map(|home| BTreeSet::from([home.into()])),
        left_ms: 60_000,
        ..forwarded()
    };
    let header = forwarded.to_header(&Fleet::secret()).unwrap();
    let request = format!(
        "GET /stream/x HTTP/1.1\r\nhost: {HOST}\r\nx-ebonystand-forwarded: {header}\r\nx-ebonystand-kind: stream\r\n\r\n"
    );
    let mut io = TcpStream::connect(&*address).await.unwrap();
    io.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    io.read_to_string(&mut answer).await.unwrap();
    assert!(answer.contains(ended), "{answer}");
}

/// Guards against a leaving VM without others beside it that refuses what it can answer in time.
#[actix_rt::test]
async fn the_last_vm_of_a_region_serves_what_it_can_answer_before_it_ends() {
    let fleet = fleet(1, EngineOptions::default()).await;
    fleet.vms[0].signal("TERM");
    fleet.vms[0].log_with("lingered").await;
    let answer = fleet.vms[0].call(KEY, "POST", CHAT, DRAFT).await;
    assert!(answer.whole_stream(), "{answer:?}");
    let answer = fleet.vms[0].call(KEY, "GET", LOOKUP, "").await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against a leaving VM that refuses to its end because of another one, which has been killed a moment before.
#[actix_rt::test]
async fn a_leaving_vm_takes_requests_again_once_the_other_one_of_its_region_has_failed() {
    let mut fleet = fleet_with_drain(2, EngineOptions::default(), 16_000).await;
    fleet.vms[1].log_with("readiness told").await;
    // The other VM learns of it by gossip.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    fleet.engines[0].set_fault(Fault::Silent).await;
    fleet.vms[1].kill();
    let leaving = &fleet.vms[0];
    let looks = async {
        while fleet.engines[0].seen().await.requests == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        leaving.signal("TERM");
        let log = leaving.log_with("lingered").await;
        assert!(log.contains(r#""others":"true""#), "{log}");
        let mut answer = leaving.call(KEY, "GET", LOOKUP, "").await;
        assert_eq!(answer.code(), "draining");
        while answer.status != 200 {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            answer = leaving.call(KEY, "GET", LOOKUP, "").await;
        }
    };
    // A chat that runs keeps the VM from ending.
    let chat = leaving.call(KEY, "POST", CHAT, DRAFT);
    tokio::select! {
        answer = chat => panic!("{answer:?}"),
        () = looks => {}
    }
}

/// Guards against a caller that is still sending its request when the VM ends, and gets no answer.
#[actix_rt::test]
async fn a_request_whose_body_has_not_come_at_the_end_of_a_stop_is_refused() {
    let fleet = fleet(1, EngineOptions::default()).await;
    let mut io = TcpStream::connect(fleet.vms[0].addresses.callers)
        .await
        .unwrap();
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\ncontent-length: 100\r\n\r\n{{"
    );
    io.write_all(head.as_bytes()).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    fleet.vms[0].signal("TERM");
    let mut answer = String::new();
    io.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("not_run"), "{answer}");
}

/// Guards against a request that another VM forwards over a connection of its pool just as this VM ends, and takes for lost.
#[rstest]
#[case::answered(5_000, "x-ebonystand-ended: upstream")]
#[case::refused(60_000, "x-ebonystand-ended: not_sent")]
#[actix_rt::test]
async fn a_leaving_vm_closes_the_connection_of_a_forwarded_request(
    #[case] left_ms: u64,
    #[case] ended: &str,
) {
    let mut setting = Setting::new(vec![("a", vec![Scripted::start(echo)])]);
    setting.drain_ms = Some(20_000);
    let fleet = setting.start().await;
    put(&fleet, routing(1)).await;
    served(&fleet.vms[0], "/look/first").await;
    let address = forwards_address(&fleet.vms[0]).await;
    fleet.vms[0].signal("TERM");
    fleet.vms[0].log_with("lingered").await;
    let forwarded = Forwarded {
        left_ms,
        ..forwarded()
    };
    let header = forwarded.to_header(&Fleet::secret()).unwrap();
    let request =
        format!("GET /look/x HTTP/1.1\r\nhost: {HOST}\r\nx-ebonystand-forwarded: {header}\r\n\r\n");
    let mut io = TcpStream::connect(&*address).await.unwrap();
    io.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
        assert!(io.read_buf(&mut answer).await.unwrap() > 0);
    }
    let head = String::from_utf8_lossy(&answer).to_ascii_lowercase();
    assert!(head.contains(ended), "{head}");
    assert!(head.contains("connection: close"), "{head}");
    io.read_to_end(&mut answer).await.unwrap();
}
