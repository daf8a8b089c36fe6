//! Bytes without end on the links between VMs, through real processes.

use {
    crate::{
        fleet::{FleetBuilder, KEY},
        vm::Vm,
    },
    rstest::rstest,
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
};

/// Bytes that may be accepted of a connection that makes no sense, with what the sockets of both ends hold.
const MAX_IDLE_BYTES: u64 = 16 << 20;
/// Memory by which the process may grow, in bytes.
const MAX_GROWTH: u64 = 32 << 20;
/// Connections that are played.
const CONNECTIONS: usize = 3;

/// Connections of a program that is no VM.
#[derive(Clone, Default)]
struct Stranger {
    /// Connections that the VM has closed.
    closed: Arc<AtomicUsize>,
    /// Bytes that were accepted on the connection that got furthest.
    most: Arc<AtomicU64>,
}

impl Stranger {
    /// Listens at the address of a VM that is gone.
    fn listen(&self, address: SocketAddr) {
        let listener = TcpListener::bind(address).unwrap();
        let stranger = self.clone();
        thread::spawn(move || {
            for io in listener.incoming() {
                let stranger = stranger.clone();
                thread::spawn(move || stranger.send(io.unwrap(), 0));
            }
        });
    }

    /// Sends one byte again and again until the other end closes the connection.
    fn send(&self, mut io: TcpStream, byte: u8) {
        let mut reader = io.try_clone().unwrap();
        thread::spawn(move || while reader.read(&mut [0; 4_096]).is_ok_and(|len| len > 0) {});
        let mut sent = 0;
        while let Ok(len) = io.write(&[byte; 4_096]) {
            sent += len as u64;
            self.most.fetch_max(sent, Ordering::SeqCst);
        }
        self.closed.fetch_add(1, Ordering::SeqCst);
    }

    async fn wait_until_closed(&self, vm: &Vm) {
        for _ in 0..1_000 {
            if self.closed.load(Ordering::SeqCst) >= CONNECTIONS {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        let most = self.most.load(Ordering::SeqCst);
        panic!("{most} bytes read and still open: {}", vm.log());
    }
}

/// Guards against links to an address that another program has taken, which cost a core by sending without end.
#[actix_rt::test]
async fn a_link_to_what_sends_without_end_is_closed() {
    let builder = FleetBuilder::new().region("a", 3).members(3);
    let mut fleet = builder.start().await;
    let address = fleet.vms[2].addresses.peers;
    fleet.vms[2].kill();
    let stranger = Stranger::default();
    let before = fleet.vms[0].resident_bytes();
    stranger.listen(address);
    stranger.wait_until_closed(&fleet.vms[0]).await;
    let most = stranger.most.load(Ordering::SeqCst);
    assert!(most < MAX_IDLE_BYTES, "{most} bytes read");
    let grown = fleet.vms[0].resident_bytes().saturating_sub(before);
    assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    for vm in &mut fleet.vms[..2] {
        let health = vm.call(KEY, "GET", "/v1/health", "").await;
        assert_eq!(health.status, 200);
        assert!(vm.running());
    }
}

/// Guards against a program without the secret that fills a VM's memory over its link.
#[rstest]
#[case::short_frames(0)]
#[case::frames_of_other_lengths(b'x')]
#[case::long_frames(u8::MAX)]
#[actix_rt::test]
async fn a_link_from_what_sends_without_end_is_closed(#[case] byte: u8) {
    let mut fleet = FleetBuilder::new().region("a", 1).start().await;
    let vm = &mut fleet.vms[0];
    let before = vm.resident_bytes();
    let stranger = Stranger::default();
    for _ in 0..CONNECTIONS {
        let io = TcpStream::connect(vm.addresses.peers).unwrap();
        let stranger = stranger.clone();
        thread::spawn(move || stranger.send(io, byte));
    }
    stranger.wait_until_closed(vm).await;
    let most = stranger.most.load(Ordering::SeqCst);
    assert!(most < MAX_IDLE_BYTES, "{most} bytes read");
    let grown = vm.resident_bytes().saturating_sub(before);
    assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    let health = vm.call(KEY, "GET", "/v1/health", "").await;
    assert_eq!(health.status, 200);
    assert!(vm.running());
}
