//! Upstreams that send bytes without end, in a head or in a body, through real processes.

use {
    crate::{
        fleet::{Fleet, KEY},
        routes::{HOST, Setting, put, routing, served},
        scripted::Scripted,
        vm::Vm,
    },
    futures_util::future::join_all,
    rstest::rstest,
    serde_json::json,
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
    tokio::io::{AsyncReadExt as _, AsyncWriteExt as _},
};

/// Callers at a time.
pub(crate) const CALLERS: usize = 40;
/// Bytes that a VM may read of an answer that gets nowhere, with what the sockets of both ends hold.
const MAX_IDLE_BYTES: u64 = 16 << 20;
/// Memory of the VM, in MB.
pub(crate) const MEMORY_MB: u64 = 100;
/// Memory by which the process may grow, in bytes.
pub(crate) const MAX_GROWTH: u64 = 32 << 20;
/// Memory of answers that are read whole, 15% of the VM's, and twice what a connection buffers for each caller, in bytes.
const MAX_WHOLE: u64 = ((MEMORY_MB * 150) << 20) / 1_000 + CALLERS as u64 * (128 << 10);
/// Time of the routes and of calls of services, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

/// What an upstream sends: a beginning, and then the same bytes again and again.
#[derive(Clone, Copy)]
pub(crate) struct Endless {
    beginning: &'static str,
    repeated: &'static str,
}

#[derive(Clone, Copy)]
pub(crate) enum Pace {
    /// As fast as it is read.
    Full,
    /// A little at a time.
    Trickle,
}

const STATUS_LINE: Endless = Endless {
    beginning: "HTTP/1.1 200 ",
    repeated: "O",
};
const HEADER: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\nserver: ",
    repeated: "s",
};
pub(crate) const HEADERS: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\n",
    repeated: "server: s\r\n",
};
pub(crate) const INTERIM: Endless = Endless {
    beginning: "",
    repeated: "HTTP/1.1 103 Early Hints\r\n\r\n",
};
const NO_HTTP: Endless = Endless {
    beginning: "",
    repeated: "\0",
};
const CHUNK_SIZE: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: "0",
};
pub(crate) const CHUNK_EXTENSION: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\ntransfer-encoding: chunked\r\n\r\n5;a=",
    repeated: "b",
};
const TRAILER: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
    repeated: "server: s\r\n",
};
const EXTENSION_MIDWAY: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n5;a=",
    repeated: "b",
};
const BEYOND_LENGTH: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\ncontent-length: 5\r\n\r\nwhole",
    repeated: "more",
};
pub(crate) const UNFRAMED: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\n\r\n",
    repeated: "more",
};
pub(crate) const CHUNKS: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: "4\r\nmore\r\n",
};
pub(crate) const EVENT: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n6\r\ndata: \r\n",
    repeated: "4\r\nmore\r\n",
};
pub(crate) const COMMENTS: Endless = Endless {
    beginning: "HTTP/1.1 200 OK\r\nx-ebonystand-request: NAME\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: "3\r\n:\n\n\r\n",
};
pub(crate) const FAILURE: Endless = Endless {
    beginning: "HTTP/1.1 500 Internal Server Error\r\nx-ebonystand-request: NAME\r\n\r\n",
    repeated: "more",
};

/// An upstream that answers requests for `/endless` and completions without end, and all others soundly.
#[derive(Clone, Default)]
pub(crate) struct Upstream {
    /// Connections that carry an answer without end now.
    pub(crate) open: Arc<AtomicUsize>,
    /// Bytes that were accepted of the answer that got furthest.
    most: Arc<AtomicU64>,
    /// Answers without end.
    pub(crate) begun: Arc<AtomicUsize>,
}

impl Endless {
    /// A stream that repeats these chunks.
    pub(crate) const fn events(repeated: &'static str) -> Self {
        Self {
            beginning: COMMENTS.beginning,
            repeated,
        }
    }
}

impl Upstream {
    pub(crate) fn start(endless: Endless, pace: Pace) -> (Self, SocketAddr) {
        let upstream = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = upstream.clone();
        thread::spawn(move || {
            for io in listener.incoming() {
                let state = state.clone();
                thread::spawn(move || state.converse(io.unwrap(), endless, pace));
            }
        });
        (upstream, address)
    }

    fn converse(&self, mut io: TcpStream, endless: Endless, pace: Pace) -> Option<()> {
        let mut buf = Vec::new();
        loop {
            let head = loop {
                if let Some(end) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
                    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
                    buf.drain(..end + 4);
                    break head;
                }
                let mut chunk = [0; 4_096];
                let len = io.read(&mut chunk).ok().filter(|len| *len > 0)?;
                buf.extend_from_slice(&chunk[..len]);
            };
            let name = "x-ebonystand-request: ";
            let name = head.lines().find_map(|line| line.strip_prefix(name));
            let name = name.unwrap_or("none");
            if head.contains("/endless") || head.contains("/completions") {
                self.begun.fetch_add(1, Ordering::SeqCst);
                self.open.fetch_add(1, Ordering::SeqCst);
                let beginning = endless.beginning.replace("NAME", name);
                let sent = send(&mut io, &beginning, endless.repeated, pace);
                self.most.fetch_max(sent, Ordering::SeqCst);
                self.open.fetch_sub(1, Ordering::SeqCst);
                return None;
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-ebonystand-request: {name}\r\ncontent-length: 6\r\n\r\nserved"
            );
            io.write_all(answer.as_bytes()).ok()?;
        }
    }
}

/// Sends until the other end closes the connection, and returns how much was accepted.
fn send(io: &mut TcpStream, beginning: &str, repeated: &str, pace: Pace) -> u64 {
    let times = match pace {
        Pace::Full => 4_096,
        Pace::Trickle => 8,
    };
    let block = repeated.repeat(times);
    let mut sent = 0;
    let mut written = io.write(beginning.as_bytes());
    while let Ok(len) = written {
        sent += len as u64;
        if let Pace::Trickle = pace {
            thread::sleep(Duration::from_millis(20));
        }
        written = io.write(block.as_bytes());
    }
    sent
}

/// What a caller got, of whose body only the end is kept.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) end: Vec<u8>,
    pub(crate) head: String,
    is_reset: bool,
}

impl Answer {
    pub(crate) async fn read(vm: &Vm, path: &str, name: &str) -> Self {
        let address = vm.addresses.callers;
        let mut io = tokio::net::TcpStream::connect(address).await.unwrap();
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-ebonystand-request: {name}\r\nx-ebonystand-deadline-ms: {TIMEOUT_MS}\r\nconnection: close\r\n\r\n"
        );
        io.write_all(request.as_bytes()).await.unwrap();
        let (mut head, mut end) = (String::new(), Vec::new());
        let is_reset = loop {
            match io.read_buf(&mut end).await {
                Ok(0) => break false,
                Ok(_) => {}
                Err(_) => break true,
            }
            let head_end = end.windows(4).position(|part| part == b"\r\n\r\n");
            if let (true, Some(at)) = (head.is_empty(), head_end) {
                head = String::from_utf8_lossy(&end[..at]).to_ascii_lowercase();
                end.drain(..at + 4);
            }
            let excess = end.len().saturating_sub(4_096);
            if !head.is_empty() {
                end.drain(..excess);
            }
        };
        Self {
            end,
            head,
            is_reset,
        }
    }

    pub(crate) fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Whether a caller can take the body for whole.
    pub(crate) fn looks_whole(&self) -> bool {
        match self.head.contains("transfer-encoding") {
            true => self.end.ends_with(b"0\r\n\r\n"),
            false => !self.head.is_empty() && !self.is_reset,
        }
    }
}

/// A VM before one upstream, with routes of a short time.
async fn start(address: SocketAddr) -> Fleet {
    let upstream = Scripted::start(|received| received.answer("200 OK", ""));
    let mut setting = Setting::new(vec![("a", vec![upstream.at(address)])]);
    setting.resources = json!({"memory_mb": MEMORY_MB});
    start_with(setting).await
}

/// A fleet whose routes have a short time.
pub(crate) async fn start_with(setting: Setting) -> Fleet {
    let fleet = setting.start().await;
    let mut routing = routing(1);
    for route in &mut routing.routes {
        route.aim_ms = TIMEOUT_MS / 2;
        route.timeout_ms = TIMEOUT_MS;
    }
    put(&fleet, routing).await;
    for vm in &fleet.vms {
        served(vm, "/look/first").await;
    }
    fleet
}

/// Has callers ask for answers without end all at once, and returns what they got and by how many bytes the process grew.
async fn ask(fleet: &Fleet, path: &str) -> (Vec<Answer>, u64) {
    let vm = &fleet.vms[0];
    let names = (0..CALLERS).map(|n| format!("endless-{n}"));
    let names = names.collect::<Vec<_>>();
    let answers = join_all(names.iter().map(|name| Answer::read(vm, path, name)));
    watch(fleet, answers).await
}

/// Returns the output of a future, and by how many bytes the process grew most meanwhile.
pub(crate) async fn watch<T>(fleet: &Fleet, future: impl Future<Output = T>) -> (T, u64) {
    let before = fleet.vms.iter().map(Vm::resident_bytes);
    let before = before.collect::<Vec<_>>();
    let mut most = 0;
    tokio::pin!(future);
    loop {
        match actix_rt::time::timeout(Duration::from_millis(10), &mut future).await {
            Ok(output) => return (output, most),
            Err(_) => {
                let grown = fleet.vms.iter().zip(&before);
                let grown = grown.map(|(vm, before)| vm.resident_bytes().saturating_sub(*before));
                most = most.max(grown.max().unwrap_or(0));
            }
        }
    }
}

/// Waits until the VM has closed all connections that carry answers without end.
pub(crate) async fn wait_until_closed(upstream: &Upstream, fleet: &Fleet) {
    for _ in 0..1_000 {
        if upstream.open.load(Ordering::SeqCst) == 0 {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("connections stay open: {}", fleet.vms[0].log());
}

/// Guards against answers without end that fill the memory, occupy the processor, keep their connection, look whole to a
/// caller, or leave it without an answer.
#[rstest]
#[case::status_line(STATUS_LINE, Pace::Full)]
#[case::status_line_trickles(STATUS_LINE, Pace::Trickle)]
#[case::header(HEADER, Pace::Full)]
#[case::header_trickles(HEADER, Pace::Trickle)]
#[case::headers(HEADERS, Pace::Full)]
#[case::headers_trickle(HEADERS, Pace::Trickle)]
#[case::interim_answers(INTERIM, Pace::Full)]
#[case::interim_answers_trickle(INTERIM, Pace::Trickle)]
#[case::no_http(NO_HTTP, Pace::Full)]
#[case::chunk_size(CHUNK_SIZE, Pace::Full)]
#[case::chunk_size_trickles(CHUNK_SIZE, Pace::Trickle)]
#[case::chunk_extension(CHUNK_EXTENSION, Pace::Full)]
#[case::chunk_extension_trickles(CHUNK_EXTENSION, Pace::Trickle)]
#[actix_rt::test]
async fn an_answer_that_never_begins_is_given_up(
    #[values("/look/endless", "/once/endless", "/stream/endless")] path: &str,
    #[case] endless: Endless,
    #[case] pace: Pace,
) {
    let (upstream, address) = Upstream::start(endless, pace);
    let mut fleet = start(address).await;
    let (answers, grown) = ask(&fleet, path).await;
    for answer in &answers {
        assert!(answer.status() >= 500 && answer.looks_whole(), "{answer:?}");
    }
    wait_until_closed(&upstream, &fleet).await;
    assert!(upstream.begun.load(Ordering::SeqCst) > 0);
    let most = upstream.most.load(Ordering::SeqCst);
    assert!(most < MAX_IDLE_BYTES, "{most} bytes read");
    assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    assert!(fleet.vms[0].running());
    served(&fleet.vms[0], "/look/after").await;
}

/// Guards against the same in answers that begin: a caller must see that its answer broke off.
#[rstest]
#[case::trailer(TRAILER, Pace::Full)]
#[case::trailer_trickles(TRAILER, Pace::Trickle)]
#[case::extension(EXTENSION_MIDWAY, Pace::Full)]
#[case::extension_trickles(EXTENSION_MIDWAY, Pace::Trickle)]
#[case::unframed(UNFRAMED, Pace::Full)]
#[case::unframed_trickles(UNFRAMED, Pace::Trickle)]
#[case::chunks(CHUNKS, Pace::Full)]
#[case::chunks_trickle(CHUNKS, Pace::Trickle)]
#[case::event(EVENT, Pace::Full)]
#[case::event_trickles(EVENT, Pace::Trickle)]
#[case::comments(COMMENTS, Pace::Full)]
#[case::comments_trickle(COMMENTS, Pace::Trickle)]
#[actix_rt::test]
async fn an_answer_that_never_ends_is_broken_off(
    #[values("/look/endless", "/once/endless", "/stream/endless")] path: &str,
    #[case] endless: Endless,
    #[case] pace: Pace,
) {
    let (upstream, address) = Upstream::start(endless, pace);
    let mut fleet = start(address).await;
    let (answers, grown) = ask(&fleet, path).await;
    for answer in &answers {
        let is_told = answer.status() >= 500 || !answer.looks_whole();
        assert!(is_told, "{} {:?}", answer.head, answer.is_reset);
    }
    wait_until_closed(&upstream, &fleet).await;
    assert!(upstream.begun.load(Ordering::SeqCst) > 0);
    assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    assert!(fleet.vms[0].running());
    served(&fleet.vms[0], "/look/after").await;
}

/// Guards against answers that are read whole and take more memory than they are counted with.
#[rstest]
#[actix_rt::test]
async fn answers_that_are_read_whole_keep_to_their_share_of_the_memory(
    #[values("/look/endless", "/once/endless")] path: &str,
    #[values(UNFRAMED, CHUNKS)] endless: Endless,
) {
    let (upstream, address) = Upstream::start(endless, Pace::Full);
    let fleet = start(address).await;
    let (_, grown) = ask(&fleet, path).await;
    wait_until_closed(&upstream, &fleet).await;
    assert!(upstream.begun.load(Ordering::SeqCst) > 0);
    assert!(grown < MAX_WHOLE, "grown by {grown} bytes");
}

/// Guards against bytes behind a whole answer that cost the caller its answer, or the VM its memory.
#[rstest]
#[actix_rt::test]
async fn an_answer_with_bytes_without_end_behind_it_is_delivered(
    #[values("/look/endless", "/once/endless", "/stream/endless")] path: &str,
) {
    let (upstream, address) = Upstream::start(BEYOND_LENGTH, Pace::Full);
    let fleet = start(address).await;
    let (answers, grown) = ask(&fleet, path).await;
    let whole = answers.iter().filter(|answer| answer.status() == 200);
    assert!(whole.clone().count() > 0);
    for answer in whole {
        let body: &[u8] = match answer.head.contains("transfer-encoding") {
            true => b"5\r\nwhole\r\n0\r\n\r\n",
            false => b"whole",
        };
        assert_eq!(answer.end, body, "{}", answer.head);
    }
    wait_until_closed(&upstream, &fleet).await;
    assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    served(&fleet.vms[0], "/look/after").await;
}

/// Guards against the same on the daemon's own API, whose answers another HTTP client reads.
#[rstest]
#[case::status_line(STATUS_LINE)]
#[case::headers(HEADERS)]
#[case::interim_answers(INTERIM)]
#[case::no_http(NO_HTTP)]
#[case::chunk_size(CHUNK_SIZE)]
#[case::chunk_extension(CHUNK_EXTENSION)]
#[case::trailer(TRAILER)]
#[case::unframed(UNFRAMED)]
#[case::chunks(CHUNKS)]
#[actix_rt::test]
async fn a_call_of_a_service_whose_answer_has_no_end_is_given_up(
    #[case] endless: Endless,
    #[values(Pace::Full, Pace::Trickle)] pace: Pace,
) {
    let (upstream, address) = Upstream::start(endless, pace);
    let mut fleet = start(address).await;
    let (answers, grown) = ask(&fleet, "/v1/services/orders/endless").await;
    for answer in &answers {
        assert!(answer.status() >= 500 && answer.looks_whole(), "{answer:?}");
    }
    wait_until_closed(&upstream, &fleet).await;
    assert!(upstream.begun.load(Ordering::SeqCst) > 0);
    assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    assert!(fleet.vms[0].running());
}

/// Guards against the body of a failure that is waited for, or kept, without end.
#[rstest]
#[actix_rt::test]
async fn the_body_of_a_failure_without_end_is_given_up(
    #[values("/look/endless", "/once/endless", "/stream/endless")] path: &str,
    #[values(Pace::Full, Pace::Trickle)] pace: Pace,
) {
    let (upstream, address) = Upstream::start(FAILURE, pace);
    let fleet = start(address).await;
    let (answers, grown) = ask(&fleet, path).await;
    for answer in &answers {
        assert!(answer.status() >= 500, "{answer:?}");
    }
    wait_until_closed(&upstream, &fleet).await;
    assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    served(&fleet.vms[0], "/look/after").await;
}
