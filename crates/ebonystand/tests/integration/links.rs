use {
    crate::socket_owner::SocketOwner,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, mpsc},
        thread,
    },
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Links between VMs and upstreams, each upstream behind a proxy of its own. A VM that is cut has its connections reset,
/// old and new ones.
#[derive(Clone)]
pub(crate) struct Links {
    cut: Arc<watch::Sender<Vec<u32>>>,
    refused: Arc<Mutex<Vec<u32>>>,
}

impl Links {
    pub(crate) fn new() -> Self {
        let (cut, _) = watch::channel(Vec::new());
        Self {
            cut: Arc::new(cut),
            refused: Arc::default(),
        }
    }

    /// Cuts these processes, and no others.
    pub(crate) fn cut(&self, processes: &[u32]) {
        self.cut.send_replace(processes.to_vec());
    }

    /// Number of connections that were reset as they came.
    pub(crate) fn refused(&self) -> usize {
        self.refused.lock().unwrap().len()
    }

    /// Starts a proxy before an upstream, and returns its address.
    pub(crate) fn before(&self, upstream: SocketAddr) -> SocketAddr {
        let (tx, rx) = mpsc::channel();
        let links = self.clone();
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                tx.send(listener.local_addr().unwrap()).unwrap();
                loop {
                    let (io, peer) = listener.accept().await.unwrap();
                    actix_rt::spawn(links.clone().carry(io, peer, upstream));
                }
            });
        });
        rx.recv().unwrap()
    }

    async fn carry(self, mut io: TcpStream, peer: SocketAddr, upstream: SocketAddr) -> Option<()> {
        let cut = self.cut.subscribe();
        let owner = SocketOwner::new(peer, io.local_addr().ok()?);
        let processes = cut.borrow().clone();
        if let Some(process) = owner.find_in(&processes).await {
            self.refused.lock().unwrap().push(process);
            io.set_zero_linger().ok()?;
            return None;
        }
        let mut to = TcpStream::connect(upstream).await.ok()?;
        to.set_nodelay(true).ok()?;
        tokio::select! {
            _ = copy_bidirectional(&mut io, &mut to) => Some(()),
            _ = owner.wait_for_cut(cut) => {
                io.set_zero_linger().ok()?;
                None
            }
        }
    }
}
