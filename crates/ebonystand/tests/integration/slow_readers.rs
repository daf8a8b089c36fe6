//! Callers that stop reading their answers, through real processes.

use {
    crate::{
        fleet::KEY,
        routes::{HOST, Setting, call, put, routing},
        scripted::{Received, Scripted},
        vm::Vm,
    },
    serde_json::json,
    tokio::{
        io::AsyncWriteExt as _,
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
