use super::*;

/// Connection to one VM, carrying messages to it only.
pub(crate) struct PeerLink {
    tx: mpsc::Sender<PeerMessage>,
}

/// Why a connection ended.
#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(display("{source}"), context(false))]
    Io { source: io::Error },
    #[snafu(display("no answer to a ping"))]
    Silent,
    #[snafu(display("{source}"), context(false))]
    Wire { source: ebonystand_wire::Error },
}

impl PeerLink {
    const BACKOFF: Duration = Duration::from_millis(100);
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    /// A link without messages is closed after this time.
    const IDLE: Duration = Duration::from_secs(60);
    /// Time between two pings of a link over which nothing was said since the last answer.
    const QUIET_PING: Duration = Duration::from_secs(5);
    /// Time between two looks whether a ping is due.
    const PING_INTERVAL: Duration = Duration::from_millis(500);
    const QUEUE: usize = 1_024;
    /// A connection whose other end has vanished swallows what is written to it for minutes.
    /// One that leaves a ping unanswered for this long is closed and opened anew.
    const SILENCE: Duration = Duration::from_secs(2);

    /// Whether it still takes messages.
    pub(crate) fn open(&self) -> bool {
        !self.tx.is_closed()
    }

    pub(crate) fn open_to(to: SocketAddr, hello: Hello, secret: Secret) -> Self {
        let (tx, rx) = mpsc::channel(Self::QUEUE);
        actix_rt::spawn(carry(to, hello, secret, rx));
        Self { tx }
    }

    pub(crate) fn send(&self, message: PeerMessage) {
        if self.tx.try_send(message).is_err() {
            log::debug!("message to a VM dropped: its queue is full");
        }
    }
}

async fn carry(to: SocketAddr, hello: Hello, secret: Secret, mut rx: mpsc::Receiver<PeerMessage>) {
    let waiting = |rx: &mut mpsc::Receiver<PeerMessage>| !rx.is_empty();
    loop {
        match connection(to, &hello, &secret, &mut rx).await {
            Ok(()) => return,
            Err(error) => {
                log::info!(to:% = to, error:% = error, waiting = rx.len(); "link to a VM broke");
            }
        }
        // What waits is stale by the time the VM is back; the protocols send anew.
        while waiting(&mut rx) {
            let _ = rx.try_recv();
        }
        actix_rt::time::sleep(PeerLink::BACKOFF).await;
    }
}

async fn connection(
    to: SocketAddr,
    hello: &Hello,
    secret: &Secret,
    rx: &mut mpsc::Receiver<PeerMessage>,
) -> Result<(), LinkError> {
    let connect = async {
        let mut io = TcpStream::connect(to).await?;
        io.set_nodelay(true)?;
        let mut nonce = [0; Nonce::LEN];
        io.read_exact(&mut nonce).await?;
        Ok::<_, io::Error>((io, Nonce::from(nonce)))
    };
    let connected = actix_rt::time::timeout(PeerLink::CONNECT_TIMEOUT, connect).await;
    let (io, nonce) = connected.map_err(|_| LinkError::Silent)??;
    let (mut from, mut to) = io.into_split();
    let mut writer = FrameWriter::new(secret.clone(), nonce);
    let mut buf = BytesMut::new();
    writer.write(&PeerMessage::Hello(hello.clone()), &mut buf)?;
    let mut pings = actix_rt::time::interval(PeerLink::PING_INTERVAL);
    let mut pong = [0; 64];
    let mut asked: Option<Instant> = None;
    let mut heard = Instant::now();
    let mut spoken = Instant::now();
    loop {
        write_moving(&mut to, &mut buf, PeerLink::SILENCE).await?;
        tokio::select! {
            // An answer to a ping that came during a long write is read before the wait for it is
            // looked at.
            biased;
            read = from.read(&mut pong) => {
                if read? == 0 {
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
                }
                heard = Instant::now();
                asked = None;
            }
            _ = pings.tick() => {
                if asked.is_some_and(|asked| asked.elapsed() > PeerLink::SILENCE) {
                    return Err(LinkError::Silent);
                }
                if spoken.elapsed() > PeerLink::IDLE {
                    rx.close();
                    return Ok(());
                }
                if spoken < heard && heard.elapsed() < PeerLink::QUIET_PING {
                    continue;
                }
                asked.get_or_insert_with(Instant::now);
                writer.write(&PeerMessage::Ping, &mut buf)?;
            }
            message = rx.recv() => {
                let Some(message) = message else { return Ok(()) };
                spoken = Instant::now();
                writer.write(&message, &mut buf)?;
                // What else waits goes into the same write.
                while buf.len() < FrameReader::MAX_PAYLOAD {
                    let Ok(message) = rx.try_recv() else { break };
                    writer.write(&message, &mut buf)?;
                }
            }
        }
    }
}
