//! How a VM closes the connections of its callers, through real processes.

use {
    crate::{
        fleet::{CHAT, DRAFT, Fleet, FleetBuilder, KEY},
        routes::{HOST, Setting, put, routing, served},
        scripted::{Received, Scripted, Then},
        vm::{OPERATOR, Vm},
    },
    ebonystand_fakes::EngineOptions,
    futures_util::future::join_all,
    rstest::rstest,
    serde_json::json,
    std::time::Duration,
    tokio::{
        io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
        net::{TcpSocket, TcpStream},
        task::JoinHandle,
    },
};

/// Below what the VM's socket holds, and above what the caller's does.
const ANSWER_BYTES: usize = 600_000;
/// Above what the VM reads ahead of a connection's next request.
const EARLY_BYTES: usize = 400_000;
/// Time between two reads.
const PACE: Duration = Duration::from_millis(2);
/// Time after which the VM has passed an answer to its socket.
const SETTLED: Duration = Duration::from_millis(300);

/// When the caller sends its next request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    /// With the first one.
    Early,
    /// Once the answer to the first one comes.
    Late,
}

async fn start(drain_ms: Option<u64>) -> Fleet {
    let body = "x".repeat(ANSWER_BYTES);
    let upstream = Scripted::start(move |received: &Received| {
        let is_big = received.head.contains("/big");
        received.answer("200 OK", if is_big { &body } else { "served" })
    });
    let mut setting = Setting::new(vec![("a", vec![upstream])]);
    setting.drain_ms = drain_ms;
    let fleet = setting.start().await;
    put(&fleet, routing(1)).await;
    served(&fleet.vms[0], "/look/first").await;
    fleet
}

/// A connection whose end holds little of what is sent over it.
async fn connect(vm: &Vm) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(vm.addresses.callers).await.unwrap()
}

fn first(request: &str, version: &str, more: &str) -> String {
    format!(
        "GET /look/big HTTP/{version}\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-ebonystand-request: {request}\r\n{more}\r\n"
    )
}

/// A request that the VM doesn't read whole before it has answered the one before.
fn next() -> String {
    let head = format!(
        "POST /look/next HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-ebonystand-request: next\r\ncontent-length: {EARLY_BYTES}\r\n\r\n"
    );
    head + &"y".repeat(EARLY_BYTES)
}

/// Reads an answer at this pace, and returns how many bytes of its body came.
async fn read(io: &mut (impl AsyncRead + Unpin), pace: Duration) -> usize {
    let (mut bytes, mut buf) = (Vec::new(), vec![0; 16 << 10]);
    loop {
        let head = bytes.windows(4).position(|end| end == b"\r\n\r\n");
        let body = head.map_or(0, |head| bytes.len() - head - 4);
        if body >= ANSWER_BYTES {
            // What follows answers the next request.
            return ANSWER_BYTES;
        }
        actix_rt::time::sleep(pace).await;
        match io.read(&mut buf).await {
            Ok(len) if len > 0 => bytes.extend_from_slice(&buf[..len]),
            _ => return body,
        }
    }
}

/// Sends two requests, and returns how many bytes of the first answer's body came.
async fn ask(mut io: TcpStream, first: &str, when: Next) -> usize {
    io.write_all(first.as_bytes()).await.unwrap();
    let (mut rx, tx) = io.into_split();
    if when == Next::Late {
        rx.readable().await.unwrap();
        actix_rt::time::sleep(SETTLED).await;
    }
    let sending = send_next(tx);
    let read = read(&mut rx, PACE).await;
    sending.abort();
    read
}

fn send_next(mut tx: impl AsyncWrite + Unpin + 'static) -> JoinHandle<()> {
    actix_rt::spawn(async move {
        // The VM may close the connection meanwhile.
        let _ = tx.write_all(next().as_bytes()).await;
        std::future::pending().await
    })
}

/// Guards against a connection that is reset for its caller's next request, which loses the rest of the answer before.
#[rstest]
#[actix_rt::test]
async fn an_answer_that_ends_its_connection_comes_whole_to_a_caller_that_sends_its_next_request(
    #[values(Next::Early, Next::Late)] when: Next,
    #[values(("1.1", "connection: close\r\n"), ("1.0", ""))] (version, more): (&str, &str),
) {
    let fleet = start(None).await;
    let vm = &fleet.vms[0];
    let calls = (0..10).map(async |n| {
        let first = first(&format!("first-{n}"), version, more);
        ask(connect(vm).await, &first, when).await
    });
    let got = join_all(calls).await;
    assert_eq!(got, [ANSWER_BYTES; 10]);
}

/// Guards against a leaving VM that resets kept connections whose callers send their next request.
#[rstest]
#[actix_rt::test]
async fn an_answer_of_a_leaving_vm_comes_whole_to_a_caller_that_sends_its_next_request(
    #[values(Next::Early, Next::Late)] when: Next,
) {
    let fleet = start(None).await;
    let vm = &fleet.vms[0];
    vm.signal("TERM");
    vm.log_with("\"leaving\"").await;
    let calls = (0..10).map(async |n| {
        let first = first(&format!("first-{n}"), "1.1", "");
        ask(connect(vm).await, &first, when).await
    });
    let got = join_all(calls).await;
    assert_eq!(got, [ANSWER_BYTES; 10]);
}

/// Guards against a process that ends before its callers have read their answers, and resets their connections.
#[actix_rt::test]
async fn answers_come_whole_from_a_process_that_ends_to_callers_that_send_their_next_request() {
    let mut fleet = start(Some(100)).await;
    let address = fleet.vms[0].addresses.callers;
    let mut readers = Vec::new();
    for n in 0..10 {
        let mut io = connect(&fleet.vms[0]).await;
        let first = first(&format!("first-{n}"), "1.1", "");
        io.write_all(first.as_bytes()).await.unwrap();
        io.readable().await.unwrap();
        readers.push(io);
    }
    actix_rt::time::sleep(SETTLED).await;
    fleet.vms[0].signal("TERM");
    while TcpStream::connect(address).await.is_ok() {
        actix_rt::time::sleep(PACE).await;
    }
    let reads = readers.into_iter().map(async |io| {
        let (mut rx, tx) = io.into_split();
        let sending = send_next(tx);
        actix_rt::time::sleep(PACE).await;
        let read = read(&mut rx, Duration::ZERO).await;
        sending.abort();
        read
    });
    let got = join_all(reads).await;
    assert_eq!(got, [ANSWER_BYTES; 10]);
    assert!(fleet.vms[0].wait());
}

/// Guards against a body that ends with its connection, breaks off as the VM stops, and looks whole.
#[actix_rt::test]
async fn a_body_that_ends_with_its_connection_never_looks_whole_when_a_vm_stops_before_its_end() {
    const STEP: usize = 8_000;
    const READERS: usize = 64;
    const SMALLEST: usize = 2_600_000;
    let upstream = Scripted::start(|received: &Received| {
        let number = received.request().strip_prefix("cut-");
        let Some(number) = number.map(|number| number.parse::<usize>().unwrap()) else {
            return received.answer("200 OK", "served");
        };
        let mut reply = received.answer("200 OK", &"x".repeat(SMALLEST + STEP * number));
        let len = format!("content-length: {}\r\n", SMALLEST + STEP * number);
        reply.bytes = reply.bytes.replacen(&len, "", 1);
        reply.then = Then::Close;
        reply
    });
    let mut setting = Setting::new(vec![("a", vec![upstream])]);
    setting.drain_ms = Some(1_000);
    let mut fleet = setting.start().await;
    put(&fleet, routing(1)).await;
    served(&fleet.vms[0], "/look/first").await;
    let mut readers = Vec::new();
    for number in 0..READERS {
        let mut io = connect(&fleet.vms[0]).await;
        let request = first(&format!("cut-{number}"), "1.0", "");
        io.write_all(request.as_bytes()).await.unwrap();
        io.readable().await.unwrap();
        readers.push(io);
    }
    fleet.vms[0].signal("TERM");
    assert!(fleet.vms[0].wait());
    let mut cut = 0;
    for (number, mut io) in readers.into_iter().enumerate() {
        let mut bytes = Vec::new();
        let ended = io.read_to_end(&mut bytes).await;
        let head = bytes.windows(4).position(|end| end == b"\r\n\r\n").unwrap() + 4;
        let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
        assert!(!text.contains("content-length"), "{text}");
        let is_short = bytes.len() - head < SMALLEST + STEP * number;
        assert!(
            !is_short || ended.is_err(),
            "{number}: {}",
            bytes.len() - head
        );
        cut += usize::from(is_short);
    }
    println!("{cut} of {READERS} cut");
}

/// Guards against operators' requests that a VM closes without an answer when it stops.
#[rstest]
#[case::a_leader_comes(true)]
#[case::no_leader_comes(false)]
#[actix_rt::test]
async fn an_operators_request_that_runs_is_answered_before_a_vm_ends(#[case] comes: bool) {
    let mut fleet = FleetBuilder::new()
        .region("a", 3)
        .registry()
        .members(3)
        .drain_ms(Some(if comes { 20_000 } else { 1_000 }))
        .start()
        .await;
    for vm in &fleet.vms[1..] {
        vm.signal("STOP");
    }
    let body = r#"{"request_id":"late","expected_version":1,"change":{"switch_preset":{"name":"maintenance"}}}"#;
    let address = fleet.vms[0].addresses.operators;
    let mut io = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST /v1/operator/changes HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    io.write_all(request.as_bytes()).await.unwrap();
    actix_rt::time::sleep(SETTLED).await;
    fleet.vms[0].signal("TERM");
    fleet.vms[0].log_with("\"lingered\"").await;
    if comes {
        for vm in &fleet.vms[1..] {
            vm.signal("CONT");
        }
    }
    let mut answer = vec![0; 4_096];
    let len = io.read(&mut answer).await.unwrap_or(0);
    let answer = String::from_utf8_lossy(&answer[..len]).into_owned();
    let expected = if comes {
        "HTTP/1.1 200"
    } else {
        "HTTP/1.1 503"
    };
    assert!(answer.starts_with(expected), "{answer:?}");
    assert!(fleet.vms[0].wait());
}

/// Guards against a disk's failure that cuts off the requests which run.
#[actix_rt::test]
async fn requests_that_run_are_answered_when_the_disk_fails() {
    const SNAPSHOT_ENTRIES: u64 = 8;
    let options = EngineOptions {
        token: Duration::from_millis(200),
        ..EngineOptions::default()
    };
    let mut fleet = FleetBuilder::new()
        .region("a", 1)
        .engine(options)
        .members(1)
        .group(json!({"snapshot_entries": SNAPSHOT_ENTRIES}))
        .drain_ms(Some(20_000))
        .start()
        .await;
    let address = fleet.vms[0].addresses.callers;
    let stream = actix_rt::spawn(async move {
        let req = awc::Client::new().post(format!("http://{address}{CHAT}"));
        let mut response = req.bearer_auth(KEY).send_body(DRAFT).await.unwrap();
        response.body().await
    });
    while fleet.engines[0].seen().await.requests == 0 {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.vms[0].fail_disk();
    for version in 1..=2 * SNAPSHOT_ENTRIES {
        let name = if version % 2 == 0 {
            "peak"
        } else {
            "maintenance"
        };
        let body = format!(
            r#"{{"request_id":"{version}","expected_version":{version},"change":{{"switch_preset":{{"name":"{name}"}}}}}}"#
        );
        let operators = fleet.vms[0].addresses.operators;
        let req = awc::Client::new().post(format!("http://{operators}/v1/operator/changes"));
        let answer = req.bearer_auth(OPERATOR).send_body(body).await;
        if !answer.is_ok_and(|answer| answer.status().is_success()) {
            break;
        }
    }
    let body = stream.await.unwrap().unwrap();
    assert!(body.ends_with(b"data: [DONE]\n\n"), "{body:?}");
    assert!(!fleet.vms[0].wait());
}
