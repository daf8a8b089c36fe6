use {
    crate::{
        fleet::{CHAT, Fleet, FleetBuilder, KEY},
        vm::Vm,
    },
    ebonystand_fakes::EngineOptions,
    rstest::rstest,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream, UdpSocket},
    },
};

async fn one_vm() -> Fleet {
    FleetBuilder::new()
        .region("utara", 1)
        .engine(EngineOptions::default())
        .start()
        .await
}

/// Sends raw bytes and returns what comes back until the connection ends.
fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut io = TcpStream::connect(address).unwrap();
    // The VM may close before all is sent; that is an answer too.
    let _ = io.write_all(bytes);
    let _ = io.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    let _ = io.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

async fn assert_serves(vm: &mut Vm) {
    assert!(vm.running(), "{}", vm.log());
    let body = r#"{"model":"drafter","max_tokens":2,"messages":[{"role":"user","content":"x"}]}"#;
    assert_eq!(vm.call(KEY, "POST", CHAT, body).await.status, 200);
}

#[rstest]
#[case::not_json("{", 400, "bad_body")]
#[case::no_messages(r#"{"model":"drafter"}"#, 400, "bad_body")]
#[case::empty_messages(r#"{"model":"drafter","messages":[]}"#, 400, "bad_body")]
#[case::no_tokens(
    r#"{"model":"drafter","max_tokens":0,"messages":[{}]}"#,
    400,
    "bad_body"
)]
#[case::unknown_model(
    r#"{"model":"poet","messages":[{"role":"user"}]}"#,
    404,
    "unknown_model"
)]
#[actix_rt::test]
async fn a_bad_body_is_refused_and_has_not_run(
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let mut fleet = one_vm().await;
    let answer = fleet.vms[0].call(KEY, "POST", CHAT, body).await;
    assert_eq!((answer.status, &*answer.code()), (status, code));
    assert_eq!(answer.run(), "not_run");
    assert_eq!(fleet.engines[0].seen().await.requests, 0);
    assert_serves(&mut fleet.vms[0]).await;
}

#[actix_rt::test]
async fn a_body_over_the_limit_is_refused() {
    let mut fleet = one_vm().await;
    let body = "x".repeat((4 << 20) + 1);
    let answer = fleet.vms[0].call(KEY, "POST", CHAT, &body).await;
    assert_eq!((answer.status, &*answer.code()), (413, "body_too_large"));
    assert_eq!(answer.retry_after, None);
    assert_serves(&mut fleet.vms[0]).await;
}

#[rstest]
#[case::wrong("wrong")]
#[case::empty("")]
#[case::operators(crate::vm::OPERATOR)]
#[actix_rt::test]
async fn a_key_that_is_not_valid_is_refused(#[case] key: &str) {
    let fleet = one_vm().await;
    let answer = fleet.vms[0].call(key, "POST", CHAT, "{}").await;
    assert_eq!((answer.status, &*answer.code()), (401, "unauthorized"));
}

#[rstest]
#[case::endless_head(&[b"GET / HTTP/1.1\r\nx: ".as_slice(), &[b'a'; 1 << 20]].concat())]
#[case::no_http(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03")]
#[case::two_lengths(b"POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd")]
#[actix_rt::test]
async fn a_head_that_is_no_http_ends_its_connection_only(#[case] bytes: &[u8]) {
    let mut fleet = one_vm().await;
    let answer = raw(fleet.vms[0].addresses.callers, bytes);
    assert!(!answer.contains("200 OK"), "{answer}");
    assert_serves(&mut fleet.vms[0]).await;
}

/// A stranger reaches the port that VMs talk over. It knows no secret, so nothing it sends may
/// be acted on or kept: not a truncated frame, not a frame said to be huge, not noise.
#[rstest]
#[case::noise(&[0xa5; 4_096])]
#[case::huge(&u32::MAX.to_be_bytes())]
#[case::truncated(&[0, 0, 0, 9, 1, 2])]
#[case::forged(&[[0, 0, 0, 1].as_slice(), &[0], &[0; 32]].concat())]
#[actix_rt::test]
async fn a_strangers_frame_changes_nothing(#[case] bytes: &[u8]) {
    let mut fleet = one_vm().await;
    let peers = fleet.vms[0].addresses.peers;
    raw(peers, bytes);
    let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
    udp.send_to(bytes, peers).unwrap();
    let document = fleet.vms[0]
        .operate("GET", "/v1/operator/document", "")
        .await;
    assert_eq!(document.json::<ebonystand_core::Document>().version, 1);
    assert_serves(&mut fleet.vms[0]).await;
}

/// A caller opens a connection and sends its request so slowly that it never ends. The VM gives up
/// on it after its limit, and says why if it knows whom to tell; others are served meanwhile.
#[rstest]
#[case::head("GET /v1/health HTTP/1.1\r\nx: ", "408")]
#[case::body(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer callers-own-key\r\ncontent-length: 100\r\n\r\n{",
    "bad_body"
)]
#[actix_rt::test]
async fn a_request_that_never_ends_is_given_up(#[case] bytes: &str, #[case] wanted: &str) {
    let mut fleet = one_vm().await;
    let mut io = TcpStream::connect(fleet.vms[0].addresses.callers).unwrap();
    io.write_all(bytes.as_bytes()).unwrap();
    assert_serves(&mut fleet.vms[0]).await;
    let mut answer = String::new();
    io.read_to_string(&mut answer).unwrap();
    assert!(answer.contains(wanted), "{answer}");
}

/// The log is read by more people than may know the keys.
#[actix_rt::test]
async fn no_log_line_carries_a_key() {
    let mut fleet = one_vm().await;
    assert_serves(&mut fleet.vms[0]).await;
    let log = fleet.vms[0].log_with("\"message\":\"answered\"").await;
    assert!(log.contains("\"message\":\"routed\""), "{log}");
    assert!(!log.contains(KEY) && !log.contains(crate::vm::OPERATOR));
}
