//! Which process has the other end of a loopback connection.

use {
    netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload},
    netlink_packet_sock_diag::{
        SockDiagMessage,
        constants::{AF_INET, IPPROTO_TCP},
        inet::{ExtensionFlags, InetRequest, SocketId, StateFlags},
    },
    netlink_sys::{Socket, protocols::NETLINK_SOCK_DIAG},
    std::{
        fs,
        net::SocketAddr,
        sync::{Arc, OnceLock},
    },
    tokio::sync::watch,
};

/// Longest message of the kernel about one socket, in bytes.
const MAX_REPLY: usize = 4_096;

/// Value by which a query names a socket by its addresses alone.
const NO_COOKIE: [u8; 8] = [0xff; 8];

/// The other end of a connection, from `local` to `remote`.
#[derive(Clone)]
pub(crate) struct SocketOwner {
    inode: Arc<OnceLock<Option<u32>>>,
    local: SocketAddr,
    remote: SocketAddr,
}

impl SocketOwner {
    pub(crate) fn new(local: SocketAddr, remote: SocketAddr) -> Self {
        Self {
            inode: Arc::default(),
            local,
            remote,
        }
    }

    /// Returns which of `processes` has the socket. The kernel is asked on a thread of its own.
    pub(crate) async fn find_in(&self, processes: &[u32]) -> Option<u32> {
        if processes.is_empty() {
            return None;
        }
        let (owner, processes) = (self.clone(), processes.to_vec());
        let found = actix_rt::task::spawn_blocking(move || owner.find_blocking(&processes));
        found.await.unwrap()
    }

    /// Waits until a process that has the socket is among those that `cut` names, and returns it.
    pub(crate) async fn wait_for_cut(&self, mut cut: watch::Receiver<Vec<u32>>) -> u32 {
        loop {
            let processes = cut.borrow_and_update().clone();
            if let Some(process) = self.find_in(&processes).await {
                return process;
            }
            if cut.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    fn find_blocking(&self, processes: &[u32]) -> Option<u32> {
        let inode = self.inode.get_or_init(|| inode_of(self.local, self.remote));
        let link = format!("socket:[{}]", (*inode)?);
        let has_socket = |process: &&u32| {
            let files = fs::read_dir(format!("/proc/{process}/fd"));
            let mut files = files.into_iter().flatten().flatten();
            files
                .any(|file| fs::read_link(file.path()).is_ok_and(|to| to.to_string_lossy() == link))
        };
        processes.iter().find(has_socket).copied()
    }
}

/// Asks the kernel for exactly this socket: its table of all sockets also holds connections that have ended, which
/// makes it long on a machine that opens many.
fn inode_of(local: SocketAddr, remote: SocketAddr) -> Option<u32> {
    let request = InetRequest {
        extensions: ExtensionFlags::empty(),
        family: AF_INET,
        protocol: IPPROTO_TCP,
        socket_id: SocketId {
            cookie: NO_COOKIE,
            destination_address: remote.ip(),
            destination_port: remote.port(),
            source_address: local.ip(),
            source_port: local.port(),
            ..SocketId::new_v4()
        },
        states: StateFlags::all(),
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let request = SockDiagMessage::InetRequest(request);
    let mut message = NetlinkMessage::new(header, NetlinkPayload::from(request));
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    let socket = Socket::new(NETLINK_SOCK_DIAG).unwrap();
    socket.connect(&netlink_sys::SocketAddr::new(0, 0)).unwrap();
    socket.send(&bytes, 0).unwrap();
    let mut reply = Vec::with_capacity(MAX_REPLY);
    socket.recv(&mut reply, 0).unwrap();
    let reply = NetlinkMessage::<SockDiagMessage>::deserialize(&reply).unwrap();
    match reply.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(found)) => {
            Some(found.header.inode).filter(|inode| *inode > 0)
        }
        // The socket has been closed.
        _ => None,
    }
}

/// Guards against a rig that cuts no link because it finds no owner.
#[actix_rt::test]
async fn the_owner_of_a_connection_is_found() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let here = listener.local_addr().unwrap();
    let connected = tokio::net::TcpStream::connect(here).await.unwrap();
    let (_accepted, peer) = listener.accept().await.unwrap();
    let owner = SocketOwner::new(peer, here);
    let own = std::process::id();
    assert_eq!(owner.find_in(&[1, own]).await, Some(own));
    assert_eq!(owner.find_in(&[1]).await, None);
    drop(connected);
    let closed = SocketOwner::new(peer, here);
    assert_eq!(closed.find_in(&[own]).await, None);
}
