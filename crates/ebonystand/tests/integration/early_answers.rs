//! Upstreams that answer before they have read the request, and answers whose status is none, through real processes.

use {
    crate::{
        cut_heads::Read,
        fleet::{Fleet, KEY},
        routes::{HOST, Setting, echo, put, routing, served},
        scripted::{Reply, Scripted, Then},
        vm::Vm,
    },
    rstest::rstest,
    std::{
        io::{Read as _, Write as _},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        thread,
        time::Duration,
    },
};

const UPLOAD_BYTES: usize = 3 << 20;
const EVENT: &str = "id: 1\ndata: x\n\n";

/// How an upstream ends a connection on which it has not read the whole request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// Its system resets a connection that is closed with unread bytes.
    Close,
    /// Only its own side ends, and nothing more is read.
    CloseWrites,
    Reset,
}

/// Answers the head of a request with a part of a body that has no length.
#[derive(Clone, Copy)]
struct EarlyAnswer {
    end: End,
    /// Time between the parts, and before the end.
    pause: Duration,
    status: &'static str,
}

impl EarlyAnswer {
    fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for io in listener.incoming() {
                thread::spawn(move || self.converse(io.unwrap()));
            }
        });
        address
    }

    fn converse(self, mut io: TcpStream) -> Option<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            io.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let name = head.split("x-ebonystand-request: ").nth(1)?;
        let name = name.lines().next()?;
        let status = self.status;
        if head.starts_with("get /") {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-ebonystand-request: {name}\r\nstamp: s\r\ncontent-length: 6\r\nconnection: close\r\n\r\nserved"
            );
            return io.write_all(answer.as_bytes()).ok();
        }
        let answer = format!(
            "HTTP/1.1 {status}\r\nx-ebonystand-request: {name}\r\nstamp: s\r\ncontent-type: text/event-stream\r\n\r\n{EVENT}"
        );
        io.write_all(answer.as_bytes()).ok()?;
        thread::sleep(self.pause);
        io.write_all(EVENT.as_bytes()).ok()?;
        thread::sleep(self.pause);
        match self.end {
            // Bytes of the body have come, of which the others stay unread.
            End::Close => io.read_exact(&mut [0]).ok()?,
            End::CloseWrites => {
                io.shutdown(Shutdown::Write).ok()?;
                thread::sleep(Duration::from_secs(1));
            }
            End::Reset => set_zero_linger(&io),
        }
        None
    }
}

fn set_zero_linger(io: &TcpStream) {
    rustix::net::sockopt::set_socket_linger(io, Some(Duration::ZERO)).unwrap();
}

/// Starts a VM, or one in each of two regions of which the other one has the upstream.
async fn start(upstream: Scripted, is_over_a_hop: bool) -> Fleet {
    let regions = match is_over_a_hop {
        false => vec![("a", vec![upstream])],
        true => vec![("a", Vec::new()), ("b", vec![upstream])],
    };
    let fleet = Setting::new(regions).start().await;
    put(&fleet, routing(1)).await;
    served(&fleet.vms[0], "/look/first").await;
    fleet
}

async fn upload(vm: &Vm, path: &str, name: &str) -> Read {
    Read::of_upload(vm, path, name, &vec![b'x'; UPLOAD_BYTES]).await
}

/// Guards against a part of an early answer without a length that reaches the caller as a whole one when its connection is reset.
#[rstest]
#[actix_rt::test]
async fn an_early_answer_that_is_reset_is_not_whole(
    #[values(End::Close, End::Reset)] end: End,
    #[values(false, true)] is_over_a_hop: bool,
) {
    for pause in [0, 1, 30] {
        let pause = Duration::from_millis(pause);
        let status = "200 OK";
        let early = EarlyAnswer { end, pause, status };
        let upstream = Scripted::start(echo).at(early.start());
        let fleet = start(upstream, is_over_a_hop).await;
        for path in ["/once/x", "/look/x", "/stream/x"] {
            for n in 0..4 {
                let read = upload(&fleet.vms[0], path, &format!("u{n}")).await;
                let is_whole = read.looks_whole() && read.status() == Some(200);
                assert!(!is_whole, "{path}, {pause:?}: {read:?}");
            }
        }
    }
}

/// Guards against an early answer of which the caller gets a part as the whole when the upstream ends it in order.
#[rstest]
#[actix_rt::test]
async fn an_early_answer_that_ends_in_order_is_whole_or_a_failure(
    #[values("/once/x", "/look/x", "/stream/x")] path: &str,
) {
    let early = EarlyAnswer {
        end: End::CloseWrites,
        pause: Duration::from_millis(5),
        status: "200 OK",
    };
    let upstream = Scripted::start(echo).at(early.start());
    let fleet = start(upstream, false).await;
    let read = upload(&fleet.vms[0], path, "u").await;
    if read.looks_whole() && read.status() == Some(200) {
        assert_eq!(read.body, EVENT.repeat(2), "{read:?}");
    }
}

/// Guards against bytes that are no answer and reach the caller as one, because their status is a number.
#[rstest]
#[case::zero("HTTP/1.1 000 None\r\nHEADERS\r\n\r\nwhole")]
#[case::below_all("HTTP/1.1 099 None\r\nHEADERS\r\n\r\nwhole")]
#[case::above_all("HTTP/1.1 600 None\r\nHEADERS\r\n\r\nwhole")]
#[case::largest("HTTP/1.1 999 None\r\nHEADERS\r\n\r\nwhole")]
#[case::four_digits("HTTP/1.1 2000 OK\r\nHEADERS\r\n\r\nwhole")]
#[case::no_digits("HTTP/1.1 abc OK\r\nHEADERS\r\n\r\nwhole")]
#[case::two_status_lines("HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\nHEADERS\r\n\r\nwhole")]
#[case::another_protocol(
    "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nHEADERS\r\n\r\nwhole"
)]
#[actix_rt::test]
async fn an_answer_without_a_status_is_a_failure(
    #[case] answer: &'static str,
    #[values(false, true)] is_over_a_hop: bool,
) {
    let upstream = Scripted::start(move |received| {
        let name = received.request();
        if name != "odd" {
            return echo(received);
        }
        let headers = format!("x-ebonystand-request: {name}\r\nstamp: s\r\ncontent-length: 5");
        Reply {
            bytes: answer.replace("HEADERS", &headers),
            then: Then::Close,
        }
    });
    let fleet = start(upstream, is_over_a_hop).await;
    for path in ["/once/x", "/look/x", "/stream/x"] {
        let read = Read::new(&fleet.vms[0], path, "odd", "").await;
        assert!(read.is_own_failure(), "{path}: {read:?}");
        served(&fleet.vms[0], "/look/between").await;
    }
}

/// Guards against interim answers without end that hold a request until its deadline or the VM's memory is used up.
#[actix_rt::test]
async fn interim_answers_without_end_are_a_failure() {
    let upstream = Scripted::start(|received| match received.request() {
        "odd" => Reply {
            bytes: "HTTP/1.1 103 Early Hints\r\nlink: l\r\n\r\n".repeat(20_000),
            then: Then::Wait,
        },
        _ => echo(received),
    });
    let fleet = start(upstream, false).await;
    let read = Read::new(&fleet.vms[0], "/once/x", "odd", "").await;
    assert!(read.is_own_failure(), "{read:?}");
}

/// Guards against the same on the daemon's own interface.
#[rstest]
#[case::status_zero("000 None")]
#[case::above_all("600 None")]
#[case::early("200 OK")]
#[actix_rt::test]
async fn an_answer_that_is_none_is_a_failure_on_the_own_interface(#[case] status: &'static str) {
    let early = EarlyAnswer {
        end: End::Reset,
        pause: Duration::from_millis(1),
        status,
    };
    let upstream = Scripted::start(echo).at(early.start());
    let fleet = Setting::new(vec![("a", vec![upstream])]).start().await;
    for body in ["x", "y"] {
        let body = body.repeat(UPLOAD_BYTES);
        let path = "/v1/services/orders/unframed";
        let answer = fleet.vms[0].call(KEY, "POST", path, &body).await;
        let refusal = (answer.status, &*answer.code(), &*answer.run());
        assert_eq!(refusal, (502, "upstream_failed", "unknown"));
    }
}

/// Guards against the last chunk of an empty stream, which the caller reads as the begin of the next answer.
#[rstest]
#[actix_rt::test]
async fn no_bytes_follow_an_answer_without_a_body(
    #[values(("GET", "204 No Content"), ("GET", "304 Not Modified"), ("HEAD", "200 OK"))] kind: (
        &str,
        &'static str,
    ),
    #[values("/once/x", "/look/x", "/stream/x")] path: &str,
    #[values(false, true)] is_over_a_hop: bool,
) {
    let (method, status) = kind;
    let upstream = Scripted::start(move |received| {
        let name = received.request();
        if name != "empty" {
            return echo(received);
        }
        Reply {
            bytes: format!("HTTP/1.1 {status}\r\nx-ebonystand-request: {name}\r\nstamp: s\r\n\r\n"),
            then: Then::Keep,
        }
    });
    let fleet = start(upstream, is_over_a_hop).await;
    let request = |method: &str, name: &str, connection: &str| {
        format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-ebonystand-request: {name}\r\n{connection}\r\n"
        )
    };
    let mut io = TcpStream::connect(fleet.vms[0].addresses.callers).unwrap();
    io.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut text = String::new();
    for (method, name, connection) in [
        (method, "empty", ""),
        ("GET", "next", "connection: close\r\n"),
    ] {
        io.write_all(request(method, name, connection).as_bytes())
            .unwrap();
        // What follows the first answer comes before the second one.
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    io.read_to_string(&mut text).unwrap();
    let (first, rest) = text.split_once("\r\n\r\n").unwrap();
    assert!(
        first.starts_with(&format!("HTTP/1.1 {}", &status[..3])),
        "{text}"
    );
    assert!(rest.starts_with("HTTP/1.1 200 OK"), "{text}");
    assert!(rest.contains("served"), "{text}");
}
