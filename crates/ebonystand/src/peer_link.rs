use {super::*, ebonystand_wire::SendQueue, tokio::sync::Notify};

/// Connection to one VM, carrying messages to it only.
pub(crate) struct PeerLink {
    outbox: Rc<Outbox>,
}

/// What waits to be sent over a link.
#[derive(Default)]
struct Outbox {
    closed: Cell<bool>,
    pushed: Notify,
    queue: RefCell<SendQueue>,
}

impl Outbox {
    /// The next message; none once the link is given up.
    async fn next(&self) -> Option<PeerMessage> {
        while !self.closed.get() {
            let message = self.queue.borrow_mut().pop();
            if message.is_some() {
                return message;
            }
            self.pushed.notified().await;
        }
        None
    }
}

/// Why a connection ended.
#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(display("{source}"), context(false))]
    Io { source: io::Error },
    #[snafu(display("no answer to a ping"))]
    Silent,
    #[snafu(display("bytes that answer no ping"))]
    Unasked,
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
    /// Bytes that are written at once. More would let what is urgent wait behind them.
    const WRITE: usize = 64 << 10;
    /// A connection whose other end has vanished swallows what is written to it for minutes.
    /// One that leaves a ping unanswered for this long is closed and opened anew.
    const SILENCE: Duration = Duration::from_secs(2);

    /// Whether it still takes messages.
    pub(crate) fn open(&self) -> bool {
        !self.outbox.closed.get()
    }

    pub(crate) fn open_to(to: SocketAddr, hello: Hello, secret: Secret) -> Self {
        let outbox = Rc::new(Outbox::default());
        actix_rt::spawn(carry(to, hello, secret, Rc::clone(&outbox)));
        Self { outbox }
    }

    pub(crate) fn send(&self, message: PeerMessage) {
        if !self.outbox.queue.borrow_mut().push(message) {
            log::debug!("message to a VM dropped: too much waits for it");
        }
        self.outbox.pushed.notify_one();
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.outbox.closed.set(true);
        self.outbox.pushed.notify_one();
    }
}

async fn carry(to: SocketAddr, hello: Hello, secret: Secret, outbox: Rc<Outbox>) {
    while !outbox.closed.get() {
        match connection(to, &hello, &secret, &outbox).await {
            Ok(()) => return,
            Err(error) => {
                let waiting = outbox.queue.borrow().len();
                log::info!(to:% = to, error:% = error, waiting = waiting; "link to a VM broke");
            }
        }
        // What waits is stale by the time the VM is back; the protocols send anew.
        outbox.queue.borrow_mut().clear();
        actix_rt::time::sleep(PeerLink::BACKOFF).await;
    }
}

async fn connection(
    to: SocketAddr,
    hello: &Hello,
    secret: &Secret,
    outbox: &Outbox,
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
    let mut unanswered_pings = 0;
    let mut heard = Instant::now();
    let mut spoken = Instant::now();
    loop {
        write_moving(&mut to, &mut buf, PeerLink::SILENCE).await?;
        tokio::select! {
            // An answer to a ping that came during a long write is read before the wait for it is
            // looked at.
            biased;
            read = from.read(&mut pong) => {
                let pongs = read?;
                if pongs == 0 {
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
                }
                // Something else listens there. Read on, it could keep this loop from sending.
                ensure!(pongs <= unanswered_pings, UnaskedSnafu);
                unanswered_pings -= pongs;
                heard = Instant::now();
                asked = None;
            }
            _ = pings.tick() => {
                if asked.is_some_and(|asked| asked.elapsed() > PeerLink::SILENCE) {
                    return Err(LinkError::Silent);
                }
                if spoken.elapsed() > PeerLink::IDLE {
                    outbox.closed.set(true);
                    return Ok(());
                }
                if spoken < heard && heard.elapsed() < PeerLink::QUIET_PING {
                    continue;
                }
                asked.get_or_insert_with(Instant::now);
                unanswered_pings += 1;
                writer.write(&PeerMessage::Ping, &mut buf)?;
            }
            message = outbox.next() => {
                let Some(message) = message else { return Ok(()) };
                spoken = Instant::now();
                writer.write(&message, &mut buf)?;
                // What else waits goes into the same write.
                while buf.len() < PeerLink::WRITE {
                    let Some(message) = outbox.queue.borrow_mut().pop() else { break };
                    writer.write(&message, &mut buf)?;
                }
            }
        }
    }
}
