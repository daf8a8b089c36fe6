//! Callers that stop reading their answers, through real processes.

use {
    crate::{
        fleet::KEY,
        routes::{HOST, Setting, call, put, routing, served},
        scripted::{Received, Scripted},
        vm::Vm,
    },
    rstest::rstest,
    serde_json::json,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpSocket, TcpStream},
    },
};

const READERS: usize = 300;
/// Above what the sockets of both ends hold.
const ANSWER_BYTES: usize = 4_000_000;
const MEMORY_MB: u64 = 100;
/// Resident memory that the process must stay under, which it would exceed several times by holding
/// each answer.
const MAX_RESIDENT: u64 = MEMORY_MB * 1_000_000;

/// Sends a request and reads nothing of its answer but the first packet, which stays in the socket.
pub(crate) async fn read_nothing(vm: &Vm, path: &str, number: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut io = socket.connect(vm.addresses.callers).await.unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-ebonystand-request: slow-{number}\r\n\r\n"
    );
    io.write_all(request.as_bytes()).await.unwrap();
    io.readable().await.unwrap();
    io
}

/// Hundreds of callers ask for answers of 4 MB, which the VM reads whole first, and stop reading. A VM that held them all would be
/// killed for its memory, and its other callers with it: it must break off those that have been
/// stalled longest, and serve the others meanwhile.
#[actix_rt::test]
async fn readers_that_stop_do_not_fill_the_memory() {
    let body = "x".repeat(ANSWER_BYTES);
    let upstream = Scripted::start(move |received: &Received| {
        let is_big = received.head.contains("/big");
        received.answer("200 OK", if is_big { &body } else { "small" })
    });
    let mut setting = Setting::new(vec![("a", vec![upstream])]);
    setting.resources = json!({"memory_mb": MEMORY_MB});
    let mut fleet = setting.start().await;
    put(&fleet, routing(1)).await;
    let mut stopped = Vec::new();
    let mut most = 0;
    for number in 0..READERS {
        let vm = &fleet.vms[0];
        stopped.push(read_nothing(vm, "/look/big", number).await);
        most = most.max(vm.resident_bytes());
        if number % 20 == 0 {
            let request = format!("quick-{number}");
            let answer = call(vm, "GET", "/look/small", &request, "").await;
            assert_eq!((answer.status, &*answer.body), (200, "small"));
        }
    }
    println!("at most {} MB resident", most / 1_000_000);
    assert!(most < MAX_RESIDENT, "{most}");
    fleet.vms[0].log_with("answers broken off").await;
    assert!(fleet.vms[0].running());
}

/// Guards against a stop that ends the process while a caller still reads a whole answer, with seconds of its time left.
#[rstest]
#[case::stopped(true)]
#[case::not_stopped(false)]
#[actix_rt::test]
async fn a_planned_stop_waits_for_a_caller_that_still_reads(#[case] is_stopped: bool) {
    let body = "x".repeat(ANSWER_BYTES);
    let upstream = Scripted::start(move |received: &Received| {
        let is_big = received.head.contains("/big");
        received.answer("200 OK", if is_big { &body } else { "small" })
    });
    let mut setting = Setting::new(vec![("a", vec![upstream])]);
    setting.drain_ms = Some(20_000);
    setting.vms = 2;
    let fleet = setting.start().await;
    put(&fleet, routing(1)).await;
    served(&fleet.vms[0], "/look/first").await;
    served(&fleet.vms[1], "/look/first").await;
    fleet.vms[0].log_with("readiness told").await;
    let mut io = read_nothing(&fleet.vms[0], "/look/big", 0).await;
    if is_stopped {
        fleet.vms[0].signal("TERM");
        fleet.vms[0].log_with("lingered").await;
    }
    let started = std::time::Instant::now();
    let mut buf = vec![0; 32 << 10];
    let mut len = 0;
    let read = loop {
        match io.read(&mut buf).await {
            Ok(0) => break Ok(()),
            Ok(read) => len += read,
            Err(error) => break Err(error),
        }
        if len > ANSWER_BYTES {
            break Ok(());
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
    };
    let took = started.elapsed();
    let log = fleet.vms[0].log();
    let told = log
        .lines()
        .filter(|line| line.contains("stopped") || line.contains("broken off"));
    let told = told.collect::<Vec<_>>();
    println!("{len} bytes in {took:?}, {read:?}: {told:?}");
    assert!(
        len > ANSWER_BYTES,
        "{len} bytes in {took:?}, {read:?}: {told:?}"
    );
}
