//! Answers without a length or chunks, which end with their connection, through real processes.

use {
    crate::{
        answer::Answer,
        fleet::{Fleet, KEY},
        routes::{HOST, Setting, put, routing, served},
        scripted::{Received, Reply, Scripted, Then},
        vm::Vm,
    },
    ebonystand_wire::{BoundForwarded, Forwarded},
    rstest::rstest,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
};

const EVENT: &str = "id: 1\ndata: one\n\n";
const IN_AN_EVENT: &str = "id: 1\ndata: one\n\nid: 2\ndata: tw";

/// Where the upstream stands.
#[derive(Clone, Copy, Debug)]
enum Way {
    Direct,
    OverAHop,
}

/// What a caller read from a connection of its own.
#[derive(Debug)]
struct Raw {
    body: String,
    head: String,
    is_reset: bool,
}

impl Raw {
    async fn read(vm: &Vm, version: &str, path: &str) -> Self {
        let mut io = TcpStream::connect(vm.addresses.callers).await.unwrap();
        let request = format!(
            "GET {path} HTTP/{version}\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-ebonystand-request: raw\r\n\r\n"
        );
        io.write_all(request.as_bytes()).await.unwrap();
        Self::receive(io).await
    }

    async fn receive(mut io: TcpStream) -> Self {
        let (mut bytes, mut buf) = (Vec::new(), [0; 4_096]);
        let is_reset = loop {
            match io.read(&mut buf).await {
                Ok(0) => break false,
                Ok(len) => bytes.extend_from_slice(&buf[..len]),
                Err(_) => break true,
            }
            // A connection that is kept alive does not end by itself.
            let text = String::from_utf8_lossy(&bytes);
            let is_refusal = text.contains("\r\ncontent-length:") && text.ends_with('}');
            if is_refusal || bytes.ends_with(b"0\r\n\r\n") {
                break false;
            }
        };
        let text = String::from_utf8(bytes).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        Self {
            body: body.into(),
            head: head.to_ascii_lowercase(),
            is_reset,
        }
    }

    fn has(&self, name: &str) -> bool {
        self.head.contains(&format!("\r\n{name}:"))
    }

    /// Whether the framing says that the body is whole.
    fn is_framed_as_whole(&self) -> bool {
        match self.has("transfer-encoding") {
            true => self.body.ends_with("0\r\n\r\n"),
            false => self.has("content-length") && !self.is_reset,
        }
    }

    /// Whether a caller can take the body for whole.
    fn looks_whole(&self) -> bool {
        let is_open = !self.has("transfer-encoding") && !self.has("content-length");
        self.is_framed_as_whole() || (is_open && !self.is_reset)
    }
}

/// An upstream that answers requests for `/unframed` without a length or chunks.
fn unframed(body: &'static str, then: Then) -> Scripted {
    Scripted::start(move |received| {
        let request = received.request();
        match received.head.contains("/unframed") {
            true => Reply {
                bytes: format!(
                    "HTTP/1.1 200 OK\r\nx-ebonystand-request: {request}\r\ncontent-type: text/event-stream\r\n\r\n{body}"
                ),
                then,
            },
            false => received.answer("200 OK", "served"),
        }
    })
}

async fn start(way: Way, upstream: Scripted) -> Fleet {
    let regions = match way {
        Way::Direct => vec![("a", vec![upstream])],
        Way::OverAHop => vec![("a", Vec::new()), ("b", vec![upstream])],
    };
    let fleet = Setting::new(regions).start().await;
    put(&fleet, routing(1)).await;
    served(&fleet.vms[0], "/look/first").await;
    fleet
}

/// Guards against a stream that its upstream has broken off and that looks whole to the caller.
#[rstest]
#[actix_rt::test]
async fn an_unframed_stream_that_breaks_off_does_not_look_whole(
    #[values(Way::Direct, Way::OverAHop)] way: Way,
    #[values("1.1", "1.0")] version: &str,
    #[values((IN_AN_EVENT, Then::Close), (IN_AN_EVENT, Then::Reset), (EVENT, Then::Reset))] cut: (
        &'static str,
        Then,
    ),
) {
    let fleet = start(way, unframed(cut.0, cut.1)).await;
    let answer = Raw::read(&fleet.vms[0], version, "/stream/unframed").await;
    assert!(answer.body.contains("data: one"), "{answer:?}");
    assert!(!answer.looks_whole(), "{answer:?}");
}

/// Guards against an answer that is framed as whole though nothing tells that it is.
#[rstest]
#[actix_rt::test]
async fn an_unframed_answer_is_passed_on_without_framing(
    #[values(Way::Direct, Way::OverAHop)] way: Way,
    #[values("1.1", "1.0")] version: &str,
    #[values("/stream/unframed", "/look/unframed", "/once/unframed")] path: &str,
) {
    let fleet = start(way, unframed(EVENT, Then::Close)).await;
    let answer = Raw::read(&fleet.vms[0], version, path).await;
    assert!(answer.head.contains("200 ok"), "{answer:?}");
    assert_eq!(answer.body, EVENT, "{answer:?}");
    assert!(!answer.is_framed_as_whole(), "{answer:?}");
    assert!(answer.looks_whole(), "{answer:?}");
}

/// Guards against a stream without any event that is taken for an answer.
#[rstest]
#[actix_rt::test]
async fn an_unframed_stream_without_an_event_is_a_failure(
    #[values(Way::Direct, Way::OverAHop)] way: Way,
) {
    let fleet = start(way, unframed("", Then::Close)).await;
    let answer = Raw::read(&fleet.vms[0], "1.1", "/stream/unframed").await;
    assert!(answer.head.contains(" 502 "), "{answer:?}");
}

/// Guards against a framed stream that a caller of HTTP/1.0 takes for whole, since it gets no chunks.
#[rstest]
#[actix_rt::test]
async fn a_framed_stream_that_breaks_off_does_not_look_whole_to_an_old_caller(
    #[values(Way::Direct, Way::OverAHop)] way: Way,
) {
    let cut = |received: &Received| {
        let request = received.request();
        match received.head.contains("/unframed") {
            true => Reply {
                bytes: format!(
                    "HTTP/1.1 200 OK\r\nx-ebonystand-request: {request}\r\ntransfer-encoding: chunked\r\n\r\n11\r\n{EVENT}\r\n"
                ),
                then: Then::Close,
            },
            false => received.answer("200 OK", "served"),
        }
    };
    let fleet = start(way, Scripted::start(cut)).await;
    let answer = Raw::read(&fleet.vms[0], "1.0", "/stream/unframed").await;
    assert!(answer.body.contains("data: one"), "{answer:?}");
    assert!(!answer.looks_whole(), "{answer:?}");
}

/// Where a VM takes forwarded requests.
pub(crate) async fn forwards_address(vm: &Vm) -> String {
    let log = vm.log_with("\"forwards\":\"").await;
    let address = log.split("\"forwards\":\"").nth(1).unwrap();
    address.split('"').next().unwrap().to_owned()
}

/// Metadata of a request that another VM forwards.
pub(crate) fn forwarded() -> Forwarded {
    Forwarded {
        aim_ms: 5_000,
        homes: None,
        left_ms: 5_000,
        prompt: None,
        region: "utara".into(),
        rank: 0,
        request: "raw".into(),
        service: "orders".into(),
        workspace: Some("akademi".into()),
    }
}

/// Guards against a hop at which a stream goes on at another software version. The upstreams of a document state none.
#[rstest]
#[case::its_own("", "x-ebonystand-ended: upstream")]
#[case::another("v2", "x-ebonystand-ended: not_sent")]
#[actix_rt::test]
async fn a_forwarded_resumption_goes_to_its_software_version_only(
    #[case] software: &str,
    #[case] expected: &str,
) {
    let fleet = start(Way::OverAHop, unframed(EVENT, Then::Close)).await;
    let address = forwards_address(&fleet.vms[1]).await;
    let bound = BoundForwarded {
        forwarded: forwarded(),
        software: software.into(),
    };
    let header = bound.to_header(&Fleet::secret()).unwrap();
    let request = format!(
        "GET /stream/unframed HTTP/1.1\r\nhost: {HOST}\r\nx-ebonystand-forwarded-bound: {header}\r\nx-ebonystand-accepts-unframed: 1\r\n\r\n"
    );
    let mut io = TcpStream::connect(&*address).await.unwrap();
    io.write_all(request.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let len = io.read(&mut answer).await.unwrap();
    let head = String::from_utf8_lossy(&answer[..len]).to_ascii_lowercase();
    assert!(head.contains(expected), "{head}");
}

/// Guards against a VM of an earlier build that frames an unframed answer as whole: it gets the answer cut off.
#[actix_rt::test]
async fn a_vm_that_does_not_know_of_unframed_answers_gets_a_cut_one() {
    let fleet = start(Way::OverAHop, unframed(EVENT, Then::Close)).await;
    let address = forwards_address(&fleet.vms[1]).await;
    let header = forwarded().to_header(&Fleet::secret()).unwrap();
    let mut answers = Vec::new();
    for accepts in ["", "x-ebonystand-accepts-unframed: 1\r\n"] {
        let request = format!(
            "GET /stream/unframed HTTP/1.1\r\nhost: {HOST}\r\nx-ebonystand-forwarded: {header}\r\n{accepts}\r\n"
        );
        let mut io = TcpStream::connect(&*address).await.unwrap();
        io.write_all(request.as_bytes()).await.unwrap();
        answers.push(Raw::receive(io).await);
    }
    let [older, newer] = &answers[..] else {
        panic!("two answers");
    };
    assert!(older.body.contains("data: one"), "{older:?}");
    assert!(!older.looks_whole(), "{older:?}");
    assert!(
        newer.is_framed_as_whole() && newer.has("x-ebonystand-unframed"),
        "{newer:?}"
    );
}

/// Guards against an answer of unknown length that the daemon's own API takes for one without a body.
#[rstest]
#[case::order("POST")]
#[case::look_up("GET")]
#[actix_rt::test]
async fn a_service_that_answers_without_a_length_has_not_answered(#[case] method: &str) {
    let scripted = unframed("{\"number\":1}", Then::Close);
    let fleet = Setting::new(vec![("a", vec![scripted])]).start().await;
    let mut answer = own_api(&fleet.vms[0], method).await;
    // The parts of the allowance take a moment after a start.
    while answer.status == 429 {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
        answer = own_api(&fleet.vms[0], method).await;
    }
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.run(), "unknown");
}

async fn own_api(vm: &Vm, method: &str) -> Answer {
    vm.call(KEY, method, "/v1/services/orders/unframed", "{}")
        .await
}
