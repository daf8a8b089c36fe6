//! Streams of completions without end, which the daemon's own API relays, through real processes.

use {
    crate::{
        endless::{self, CHUNKS, COMMENTS, EVENT, Endless, MAX_GROWTH, Pace, Upstream},
        fleet::{CHAT, DRAFT, Fleet, FleetBuilder, KEY},
        vm::Vm,
    },
    ebonystand_core::UpstreamKind,
    futures_util::future::join_all,
    rstest::rstest,
    serde_json::json,
    std::{net::SocketAddr, sync::atomic::Ordering, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
};

const CALLERS: usize = 40;
/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 1_500;
/// Time after which a caller gives up an answer; far more than any bound of the VM.
const PATIENCE: Duration = Duration::from_secs(20);
/// Memory of the VM, in MB.
const MEMORY_MB: u64 = 100;
const TOKENS: Endless = Endless::events("9\r\ndata: x\n\n\r\n");

/// A VM before an engine that streams without end, whatever it is asked.
async fn start(address: SocketAddr) -> Fleet {
    let builder = FleetBuilder::new().region("a", 1);
    let builder = builder.resources(json!({"memory_mb": MEMORY_MB}));
    let builder = builder.document(|document| {
        let upstream = ebonystand_core::Upstream {
            address,
            cost: 1,
            enforces_fencing: false,
            kind: UpstreamKind::Model {
                models: ["drafter".into()].into(),
            },
            leaving: false,
            region: "a".into(),
            speed: 1_000,
            zone: "a-a".into(),
        };
        document.upstreams.insert("engine".into(), upstream);
    });
    builder.start().await
}

async fn ask(vm: &Vm, path: &str) -> TcpStream {
    let len = DRAFT.len();
    let mut io = TcpStream::connect(vm.addresses.callers).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer {KEY}\r\nx-ebonystand-deadline-ms: {DEADLINE_MS}\r\ncontent-type: application/json\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n{DRAFT}"
    );
    io.write_all(request.as_bytes()).await.unwrap();
    io
}

/// Reads an answer to its end, and returns the last bytes of it; `None` if it does not end.
async fn read_end(mut io: TcpStream) -> Option<String> {
    let mut end = Vec::new();
    let read = async {
        while io.read_buf(&mut end).await.is_ok_and(|len| len > 0) {
            let excess = end.len().saturating_sub(4_096);
            end.drain(..excess);
        }
    };
    actix_rt::time::timeout(PATIENCE, read).await.ok()?;
    Some(String::from_utf8_lossy(&end).into_owned())
}

/// Guards against streams without end that are relayed past their deadline.
#[rstest]
#[case::event(EVENT)]
#[case::comments(COMMENTS)]
#[case::tokens(TOKENS)]
#[case::chunks(CHUNKS)]
#[actix_rt::test]
async fn a_completion_that_never_ends_is_broken_off(
    #[case] endless: Endless,
    #[values(Pace::Full, Pace::Trickle)] pace: Pace,
) {
    let (upstream, address) = Upstream::start(endless, pace);
    let mut fleet = start(address).await;
    let vm = &fleet.vms[0];
    let answers = (0..CALLERS).map(|_| async { read_end(ask(vm, CHAT).await).await });
    let (answers, grown) = endless::watch(&fleet, join_all(answers)).await;
    let endless = answers.iter().filter(|answer| answer.is_none()).count();
    println!("{endless} of {CALLERS} without end, grown by {grown} bytes");
    assert_eq!(endless, 0);
    for answer in answers.iter().flatten() {
        let is_told = answer.contains("\"code\"") && !answer.contains("[DONE]");
        assert!(is_told, "{answer}");
    }
    endless::wait_until_closed(&upstream, &fleet).await;
    assert!(upstream.begun.load(Ordering::SeqCst) > 0);
    assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    assert!(fleet.vms[0].running());
    assert_eq!(
        fleet.vms[0].call(KEY, "GET", "/v1/health", "").await.status,
        200
    );
}
