//! What callers hear of a request that its upstream has run, however the upstream's answer ends, through real processes.

use {
    crate::{
        cut_heads::Read,
        fleet::Fleet,
        routes::{HOST, Setting, put, routing, served},
        scripted::{Received, Reply, Scripted, Then},
        unframed::{forwarded, forwards_address},
    },
    ebonystand_wire::Forwarded,
    rstest::rstest,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
};

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Length of a failure's body that fits into no small buffer, in bytes.
const LARGE: usize = 80_000;
/// Longer than a VM waits for the body of a failure before it decides about a retry.
const PAUSE: Duration = Duration::from_millis(500);
/// Tries after which a request must have reached the upstream, and the time between two.
const TRIES: usize = 400;
const TRY_INTERVAL: Duration = Duration::from_millis(25);

/// One way in which an upstream ends a request that it has run.
#[derive(Clone, Copy, Debug)]
struct End {
    /// What comes behind the status line and the name of the request.
    answer: &'static str,
    /// Status that the caller must get together with the whole body; `None` if it gets a failure of the VM.
    passed_on: Option<u16>,
    status: &'static str,
    then: Then,
}

const fn end(status: &'static str, answer: &'static str, then: Then) -> End {
    End {
        answer,
        passed_on: None,
        status,
        then,
    }
}

const fn whole(code: u16, status: &'static str, answer: &'static str, then: Then) -> End {
    End {
        passed_on: Some(code),
        ..end(status, answer, then)
    }
}

const ERROR: &str = "HTTP/1.1 500 Internal Server Error";
const BY_LENGTH: &str = "content-length: 5\r\n\r\nwhole";
const CUT: &str = "content-length: 50\r\n\r\nhalf";
const CUT_CHUNK: &str = "transfer-encoding: chunked\r\n\r\n10\r\nhalf";

const ENDS: &[End] = &[
    whole(500, ERROR, BY_LENGTH, Then::Keep),
    whole(500, ERROR, "content-length: 0\r\n\r\n", Then::Keep),
    whole(500, ERROR, "content-length: LARGE\r\n\r\nBODY", Then::Keep),
    whole(500, ERROR, "content-length: LARGE\r\n\r\nBODY", Then::Close),
    whole(
        500,
        ERROR,
        "content-length: 5\r\n\r\nwh",
        Then::Pause(PAUSE, "ole"),
    ),
    whole(
        500,
        ERROR,
        "content-length: 5\r\n\r\n",
        Then::Pause(PAUSE, "whole"),
    ),
    whole(
        500,
        ERROR,
        "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        Then::Pause(PAUSE, "0\r\n\r\n"),
    ),
    whole(504, "HTTP/1.1 504 Gateway Timeout", BY_LENGTH, Then::Keep),
    whole(400, "HTTP/1.1 400 Bad Request", BY_LENGTH, Then::Keep),
    end(ERROR, CUT, Then::Close),
    end(ERROR, CUT, Then::Reset),
    end(ERROR, CUT, Then::Wait),
    end(ERROR, "content-length: 99999\r\n\r\nBODY", Then::Close),
    end(ERROR, CUT_CHUNK, Then::Close),
    end(ERROR, CUT_CHUNK, Then::Reset),
    end(
        ERROR,
        "transfer-encoding: chunked\r\n\r\nzz\r\n",
        Then::Keep,
    ),
    end(ERROR, "\r\nunframed", Then::Reset),
    end("HTTP/1.1 502 Bad Gateway", CUT, Then::Close),
    end("HTTP/1.1 504 Gateway Timeout", CUT, Then::Close),
    end("HTTP/1.1 599 Odd", CUT_CHUNK, Then::Close),
    end("HTTP/1.0 500 Internal Server Error", CUT, Then::Close),
    end("HTTP/1.1 503 Service Unavailable", BY_LENGTH, Then::Keep),
    end("HTTP/1.1 503 Service Unavailable", CUT, Then::Close),
    end("HTTP/1.1 503 Service Unavailable", CUT_CHUNK, Then::Reset),
    end("HTTP/1.1 429 Too Many Requests", BY_LENGTH, Then::Keep),
    end("HTTP/1.1 429 Too Many Requests", CUT, Then::Close),
    end("HTTP/1.1 408 Request Timeout", BY_LENGTH, Then::Keep),
    end("HTTP/1.1 408 Request Timeout", CUT_CHUNK, Then::Close),
    end("HTTP/1.1 200 OK", CUT, Then::Reset),
    end("", "", Then::Close),
    end("", "", Then::Reset),
];

impl End {
    /// Name of the request that ends so.
    fn name(n: usize) -> String {
        format!("end-{n}")
    }

    fn body(&self) -> &'static str {
        match self.answer.ends_with("BODY") {
            true => "BODY",
            false => "whole",
        }
    }

    fn reply(&self, request: &str) -> Reply {
        let Self { answer, status, .. } = self;
        let answer = answer.replace("LARGE", &LARGE.to_string());
        let answer = answer.replace("BODY", &"x".repeat(LARGE));
        let head = format!("{status}\r\nx-ebonystand-request: {request}\r\nstamp: s\r\n");
        Reply {
            bytes: match status.is_empty() {
                true => String::new(),
                false => head + &answer,
            },
            then: self.then,
        }
    }

    fn check(&self, path: &str, read: &Read) {
        let status = read.status();
        let is_promise = status.is_some_and(|status| PROMISES.contains(&status));
        assert!(!is_promise, "{self:?}: {read:?}");
        // A look-up that is tried again finds no other upstream.
        let is_retried = path.starts_with("/look/") && status == Some(502);
        let Some(code) = self.passed_on.filter(|_| !is_retried) else {
            let is_told = read.is_own_failure() || !read.looks_whole();
            assert!(is_told, "{self:?}: {read:?}");
            return;
        };
        assert_eq!(status, Some(code), "{self:?}: {read:?}");
        assert!(read.looks_whole(), "{self:?}: {read:?}");
        assert_eq!(read.header("stamp"), Some("s"), "{self:?}: {read:?}");
        let body = self.body().replace("BODY", &"x".repeat(LARGE));
        let is_empty = self.answer.starts_with("content-length: 0");
        let is_whole = is_empty || read.body.contains(&body);
        assert!(is_whole, "{self:?}: {} bytes", read.body.len());
    }
}

fn reply(received: &Received) -> Reply {
    let n = received.request().strip_prefix("end-");
    match n.and_then(|n| n.parse::<usize>().ok()) {
        Some(n) => ENDS[n].reply(received.request()),
        None => received.answer("200 OK", "served"),
    }
}

async fn start(is_over_a_hop: bool) -> (Fleet, Scripted) {
    let upstream = Scripted::start(reply);
    let regions = match is_over_a_hop {
        false => vec![("a", vec![upstream.clone()])],
        true => vec![("a", Vec::new()), ("b", vec![upstream.clone()])],
    };
    let fleet = Setting::new(regions).start().await;
    put(&fleet, routing(1)).await;
    served(&fleet.vms[0], "/look/first").await;
    (fleet, upstream)
}

/// Guards against a request that has run at its upstream and that its caller is told has not run, however its answer ends.
#[rstest]
#[actix_rt::test]
async fn a_request_that_has_run_is_never_told_not_run(
    #[values("/once/x", "/look/x", "/stream/x")] path: &str,
    #[values(false, true)] is_over_a_hop: bool,
) {
    let (fleet, upstream) = start(is_over_a_hop).await;
    let runs = |name: &str| {
        let seen = upstream.seen();
        seen.iter().filter(|seen| seen.request() == name).count()
    };
    for (n, end) in ENDS.iter().enumerate() {
        let name = End::name(n);
        let mut read = None;
        for _ in 0..TRIES {
            served(&fleet.vms[0], "/look/between").await;
            let tried = Read::new(&fleet.vms[0], path, &name, "").await;
            if runs(&name) > 0 {
                read = Some(tried);
                break;
            }
            actix_rt::time::sleep(TRY_INTERVAL).await;
        }
        let read = read.unwrap_or_else(|| panic!("{end:?} is not sent: {}", fleet.vms[0].log()));
        end.check(path, &read);
        if !path.starts_with("/look/") {
            assert_eq!(runs(&name), 1, "{end:?}: {read:?}");
        }
    }
}

/// Guards against a VM that answers another one's request with a status that promises what has run has not, which a VM of an
/// earlier build passes on.
#[rstest]
#[case::broken_off(9, 502, "lost")]
#[case::own_promise(21, 502, "lost")]
#[case::whole(0, 500, "failed")]
#[actix_rt::test]
async fn a_forwarded_request_that_has_run_is_answered_with_no_promise(
    #[case] n: usize,
    #[case] status: u16,
    #[case] ended: &str,
) {
    let (fleet, _) = start(false).await;
    let address = forwards_address(&fleet.vms[0]).await;
    let forwarded = Forwarded {
        request: End::name(n).into(),
        ..forwarded()
    };
    let header = forwarded.to_header(&Fleet::secret()).unwrap();
    let request = format!(
        "GET /once/x HTTP/1.1\r\nhost: {HOST}\r\nx-ebonystand-forwarded: {header}\r\nconnection: close\r\n\r\n"
    );
    let mut io = TcpStream::connect(&*address).await.unwrap();
    io.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    io.read_to_string(&mut answer).await.unwrap();
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    let ended = format!("x-ebonystand-ended: {ended}\r\n");
    assert!(answer.to_ascii_lowercase().contains(&ended), "{answer}");
}

/// Guards against the same on the daemon's own API, where the body says whether a request has run.
#[rstest]
#[actix_rt::test]
async fn a_call_of_a_service_that_has_run_is_never_told_not_run(
    #[values(0, 2, 9, 10, 12, 13, 21, 22, 24)] n: usize,
) {
    const PATH: &str = "/unframed ";
    let upstream = Scripted::start(move |received| match received.head.contains(PATH) {
        true => ENDS[n].reply("call"),
        false => received.answer("200 OK", "served"),
    });
    let fleet = Setting::new(vec![("a", vec![upstream.clone()])]);
    let fleet = fleet.start().await;
    put(&fleet, routing(1)).await;
    for _ in 0..TRIES {
        let read = Read::new(&fleet.vms[0], "/v1/services/orders/unframed", "call", "").await;
        if upstream.seen().iter().any(|seen| seen.head.contains(PATH)) {
            assert!(!read.body.contains("not_run"), "{:?}: {read:?}", ENDS[n]);
            return;
        }
        actix_rt::time::sleep(TRY_INTERVAL).await;
    }
    panic!("not sent: {}", fleet.vms[0].log());
}
