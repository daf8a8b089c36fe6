//! Upstreams that stop within the head or the body of their answer, at each byte, through real processes.

use {
    crate::{
        fleet::{Fleet, KEY},
        routes::{HOST, Setting, put, routing, served},
        scripted::{Received, Reply, Scripted, Then},
        vm::Vm,
    },
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
};

const WHOLE: &str =
    "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\nstamp: s\r\ncontent-length: 5\r\n\r\nwhole";
const IN_CHUNKS: &str = "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\nstamp: s\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
const AFTER_INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: l\r\n\r\nHTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\nstamp: s\r\ncontent-length: 5\r\n\r\nwhole";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\nstamp: s\r\n\r\nwhole";
/// Tries after which a request must have reached the upstream, and the pause between two.
const TRIES: usize = 400;
const PAUSE: Duration = Duration::from_millis(25);
/// Begin of the names of requests whose answer is cut; its place follows in as many digits as make up `NAME`.
const NAME: &str = "c";
const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\nx-ebonystand-request: NAME\r\nstamp: s\r\ncontent-length: 5\r\n\r\nwhole";

/// What is cut, and where its upstream stands.
#[derive(Clone, Copy, Debug)]
struct Cut {
    answer: &'static str,
    /// Whether the connection has carried an answer before.
    is_kept: bool,
    is_over_a_hop: bool,
    path: &'static str,
    then: Then,
}

impl Cut {
    const DIRECT: Self = Self {
        answer: WHOLE,
        is_kept: false,
        is_over_a_hop: false,
        path: "/look/cut",
        then: Then::Close,
    };

    /// Number of bytes from which the head is whole.
    fn head_len(self) -> usize {
        self.answer.rfind("\r\n\r\n").map_or(0, |_| {
            let head = self.answer.find("200 OK").unwrap_or_default();
            head + self.answer[head..].find("\r\n\r\n").unwrap() + 4
        })
    }

    fn reply(self, received: &Received) -> Reply {
        let at = received.request().strip_prefix(NAME);
        let at = at.and_then(|at| at.parse::<usize>().ok());
        let Some(at) = at else {
            let mut answer = received.answer("200 OK", "served");
            answer.then = if self.is_kept {
                Then::Keep
            } else {
                Then::Close
            };
            return answer;
        };
        let whole = self.answer.replace("NAME", received.request());
        Reply {
            bytes: whole[..at].into(),
            then: self.then,
        }
    }

    async fn start(self) -> (Fleet, Scripted) {
        let upstream = Scripted::start(move |received| self.reply(received));
        let regions = match self.is_over_a_hop {
            false => vec![("a", vec![upstream.clone()])],
            true => vec![("a", Vec::new()), ("b", vec![upstream.clone()])],
        };
        let fleet = Setting::new(regions).start().await;
        put(&fleet, routing(1)).await;
        served(&fleet.vms[0], "/look/first").await;
        (fleet, upstream)
    }
}

/// All that a caller read from a connection of its own.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) body: String,
    head: String,
    is_reset: bool,
}

impl Read {
    pub(crate) async fn new(vm: &Vm, path: &str, name: &str, headers: &str) -> Self {
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-ebonystand-request: {name}\r\n{headers}connection: close\r\n\r\n"
        );
        Self::of(vm, request.as_bytes()).await
    }

    /// Sends a request with a body.
    pub(crate) async fn of_upload(vm: &Vm, path: &str, name: &str, body: &[u8]) -> Self {
        let len = body.len();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-ebonystand-request: {name}\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n"
        );
        Self::of(vm, &[head.as_bytes(), body].concat()).await
    }

    async fn of(vm: &Vm, request: &[u8]) -> Self {
        const LONGEST: Duration = Duration::from_secs(20);
        let mut io = TcpStream::connect(vm.addresses.callers).await.unwrap();
        io.write_all(request).await.unwrap();
        let mut bytes = Vec::new();
        let read = actix_rt::time::timeout(LONGEST, io.read_to_end(&mut bytes));
        let is_reset = read.await.expect("the caller is answered").is_err();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        Self {
            body: body.into(),
            head: head.to_ascii_lowercase(),
            is_reset,
        }
    }

    /// Status code; `None` if the connection ended without an answer.
    pub(crate) fn status(&self) -> Option<u16> {
        self.head.split(' ').nth(1)?.parse().ok()
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines
            .find(|(found, _)| *found == name)
            .map(|(_, value)| value.trim())
    }

    fn is_success(&self) -> bool {
        self.head.starts_with("http/1.1 2")
    }

    /// Whether a caller can take the body for whole.
    pub(crate) fn looks_whole(&self) -> bool {
        let length = self.header("content-length");
        let length = length.and_then(|length| length.parse::<usize>().ok());
        match (self.header("transfer-encoding"), length) {
            (Some(_), _) => self.body.ends_with("0\r\n\r\n"),
            (None, Some(length)) => self.body.len() == length,
            (None, None) => !self.is_reset,
        }
    }

    /// Whether the answer is refused or failed by the VM itself.
    pub(crate) fn is_own_failure(&self) -> bool {
        self.looks_whole() && self.head.starts_with("http/1.1 5") && self.header("stamp").is_none()
    }
}

/// Has the upstream cut its answer at this byte until it was asked to.
async fn read_cut(fleet: &Fleet, upstream: &Scripted, cut: Cut, at: usize, headers: &str) -> Read {
    let name = format!("{NAME}{at:03}");
    for _ in 0..TRIES {
        served(&fleet.vms[0], "/look/between").await;
        let read = Read::new(&fleet.vms[0], cut.path, &name, headers).await;
        if upstream.seen().iter().any(|seen| seen.request() == name) {
            return read;
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    panic!("{name} is not sent: {}", fleet.vms[0].log());
}

/// Guards against an answer that breaks off within its head, at whatever byte, and reaches the caller as a success, whole and
/// empty or short.
#[rstest]
#[case::new_connection(Cut::DIRECT)]
#[case::kept_connection(Cut { is_kept: true, ..Cut::DIRECT })]
#[case::reset(Cut { then: Then::Reset, ..Cut::DIRECT })]
#[case::once(Cut { path: "/once/cut", ..Cut::DIRECT })]
#[case::stream(Cut { path: "/stream/cut", ..Cut::DIRECT })]
#[case::stream_reset(Cut { path: "/stream/cut", then: Then::Reset, ..Cut::DIRECT })]
#[case::after_an_interim_answer(Cut { answer: AFTER_INTERIM, ..Cut::DIRECT })]
#[case::kept_after_an_interim_answer(Cut { answer: AFTER_INTERIM, is_kept: true, path: "/stream/cut", ..Cut::DIRECT })]
#[case::in_chunks(Cut { answer: IN_CHUNKS, ..Cut::DIRECT })]
#[case::unframed(Cut { answer: UNFRAMED, path: "/stream/cut", ..Cut::DIRECT })]
#[case::over_a_hop(Cut { is_over_a_hop: true, ..Cut::DIRECT })]
#[case::once_over_a_hop(Cut { is_over_a_hop: true, path: "/once/cut", ..Cut::DIRECT })]
#[case::stream_over_a_hop(Cut { is_over_a_hop: true, path: "/stream/cut", ..Cut::DIRECT })]
#[case::reset_over_a_hop(Cut { is_over_a_hop: true, path: "/stream/cut", then: Then::Reset, ..Cut::DIRECT })]
#[case::interim_over_a_hop(Cut { answer: AFTER_INTERIM, is_over_a_hop: true, path: "/stream/cut", ..Cut::DIRECT })]
#[case::failure(Cut { answer: FAILURE, ..Cut::DIRECT })]
#[actix_rt::test]
async fn an_answer_cut_within_its_head_is_no_success(#[case] cut: Cut) {
    let (fleet, upstream) = cut.start().await;
    for at in 0..cut.head_len() {
        let read = read_cut(&fleet, &upstream, cut, at, "").await;
        assert!(read.is_own_failure(), "cut at {at}: {read:?}");
    }
}

/// Guards against the rest of a stream that is taken up again, whose head breaks off and which looks whole and empty.
#[rstest]
#[actix_rt::test]
async fn a_resumption_cut_within_its_head_is_no_success(
    #[values(false, true)] is_over_a_hop: bool,
) {
    let cut = Cut {
        answer: IN_CHUNKS,
        is_over_a_hop,
        path: "/stream/cut",
        ..Cut::DIRECT
    };
    let (fleet, upstream) = cut.start().await;
    let headers = "last-event-id: 1\r\n";
    for at in 0..cut.head_len() {
        let read = read_cut(&fleet, &upstream, cut, at, headers).await;
        assert!(read.is_own_failure(), "cut at {at}: {read:?}");
    }
}

/// Guards against an answer that breaks off within its body, at whatever byte, and looks whole to the caller.
#[rstest]
#[case::by_length(Cut::DIRECT)]
#[case::kept(Cut { is_kept: true, ..Cut::DIRECT })]
#[case::in_chunks(Cut { answer: IN_CHUNKS, ..Cut::DIRECT })]
#[case::stream(Cut { answer: IN_CHUNKS, path: "/stream/cut", ..Cut::DIRECT })]
#[case::stream_reset(Cut { answer: IN_CHUNKS, path: "/stream/cut", then: Then::Reset, ..Cut::DIRECT })]
#[case::over_a_hop(Cut { is_over_a_hop: true, ..Cut::DIRECT })]
#[case::chunks_over_a_hop(Cut { answer: IN_CHUNKS, is_over_a_hop: true, path: "/stream/cut", ..Cut::DIRECT })]
#[actix_rt::test]
async fn an_answer_cut_within_its_body_does_not_look_whole(#[case] cut: Cut) {
    let (fleet, upstream) = cut.start().await;
    for at in cut.head_len()..cut.answer.len() {
        let read = read_cut(&fleet, &upstream, cut, at, "").await;
        let is_told = read.is_own_failure() || !read.looks_whole();
        assert!(is_told, "cut at {at}: {read:?}");
    }
}

/// Guards against the same on the daemon's own API, whose answers another HTTP client reads.
#[rstest]
#[case::new_connection(Cut::DIRECT)]
#[case::kept_connection(Cut { is_kept: true, ..Cut::DIRECT })]
#[case::reset(Cut { then: Then::Reset, ..Cut::DIRECT })]
#[case::after_an_interim_answer(Cut { answer: AFTER_INTERIM, ..Cut::DIRECT })]
#[case::in_chunks(Cut { answer: IN_CHUNKS, ..Cut::DIRECT })]
#[actix_rt::test]
async fn a_call_of_a_service_whose_answer_is_cut_is_no_success(#[case] cut: Cut) {
    const PATH: &str = "/v1/services/orders/unframed";
    let place = Arc::new(AtomicUsize::new(0));
    let at = Arc::clone(&place);
    let upstream = Scripted::start(move |received| match received.head.contains("/unframed ") {
        true => Reply {
            bytes: cut.answer[..at.load(Ordering::SeqCst)].into(),
            then: cut.then,
        },
        false => cut.reply(received),
    });
    let fleet = Setting::new(vec![("a", vec![upstream.clone()])])
        .start()
        .await;
    put(&fleet, routing(1)).await;
    for at in 0..cut.answer.len() {
        place.store(at, Ordering::SeqCst);
        let asked = upstream.seen().len();
        for _ in 0..TRIES {
            let read = Read::new(&fleet.vms[0], PATH, "call", "").await;
            assert!(!read.is_success(), "cut at {at}: {read:?}");
            if upstream.seen().len() > asked {
                break;
            }
            actix_rt::time::sleep(PAUSE).await;
        }
        assert!(upstream.seen().len() > asked, "{}", fleet.vms[0].log());
    }
}
