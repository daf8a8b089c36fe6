use {
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
            mpsc,
        },
        thread,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Notify,
    },
};

/// An upstream that answers as a script says, byte by byte, on a thread of its own.
#[derive(Clone)]
pub(crate) struct Scripted {
    pub(crate) address: SocketAddr,
    /// Numbers of the connections that have ended.
    closed: Arc<Mutex<BTreeSet<usize>>>,
    has_died: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Received>>>,
}

/// A request as it came.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) body: String,
    /// Number of its connection.
    pub(crate) connection: usize,
    pub(crate) head: String,
}

/// What is sent back, and what becomes of the connection.
pub(crate) struct Reply {
    pub(crate) bytes: String,
    pub(crate) then: Then,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Then {
    Close,
    /// Ends the upstream: its connections break and it takes no others.
    Die,
    Keep,
    /// Sends the rest of the answer after a pause, and keeps the connection.
    Pause(Duration, &'static str),
    /// Resets the connection once what was sent has been read.
    Reset,
    /// Says nothing more until the other end closes.
    Wait,
}

impl Received {
    /// Value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Name of the request.
    pub(crate) fn request(&self) -> &str {
        self.header("x-ebonystand-request").unwrap_or_default()
    }

    /// A whole answer with this status and body.
    pub(crate) fn answer(&self, status: &str, body: &str) -> Reply {
        let (request, len) = (self.request(), body.len());
        let bytes = format!(
            "HTTP/1.1 {status}\r\nx-ebonystand-request: {request}\r\nstamp: s\r\ncontent-length: {len}\r\n\r\n{body}"
        );
        let then = Then::Keep;
        Reply { bytes, then }
    }
}

impl Scripted {
    pub(crate) fn start(script: impl Fn(&Received) -> Reply + Send + Sync + 'static) -> Self {
        let (tx, rx) = mpsc::channel();
        let closed = Arc::new(Mutex::new(BTreeSet::new()));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (counted, recorded) = (Arc::clone(&closed), Arc::clone(&seen));
        let script = Arc::new(script);
        let (death, has_died) = (Arc::new(Notify::new()), Arc::new(AtomicBool::new(false)));
        let ended = Arc::clone(&has_died);
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                tx.send(listener.local_addr().unwrap()).unwrap();
                let mut number = 0;
                loop {
                    let mut io = tokio::select! {
                        accepted = listener.accept() => accepted.unwrap().0,
                        () = death.notified() => return,
                    };
                    number += 1;
                    let (closed, seen) = (Arc::clone(&counted), Arc::clone(&recorded));
                    let (death, ended) = (Arc::clone(&death), Arc::clone(&ended));
                    let script = Arc::clone(&script);
                    actix_rt::spawn(async move {
                        let then = converse(&mut io, number, &*script, &seen).await;
                        closed.lock().unwrap().insert(number);
                        if then == Some(Then::Die) {
                            ended.store(true, Ordering::SeqCst);
                            death.notify_one();
                            // The connections are closed after the listener, as those of a process that ends.
                            std::future::pending::<()>().await;
                        }
                    });
                }
            });
        });
        Self {
            address: rx.recv().unwrap(),
            closed,
            has_died,
            seen,
        }
    }

    /// The upstream, behind something that listens at another address.
    pub(crate) fn at(self, address: SocketAddr) -> Self {
        Self { address, ..self }
    }

    /// Whether a request has ended the upstream.
    pub(crate) fn has_died(&self) -> bool {
        self.has_died.load(Ordering::SeqCst)
    }

    /// Whether the connection that carried a request has ended.
    pub(crate) fn ended(&self, request: &str) -> bool {
        let seen = self.seen();
        let carried = seen.iter().find(|seen| seen.request() == request);
        let closed = self.closed.lock().unwrap();
        carried.is_some_and(|seen| closed.contains(&seen.connection))
    }

    pub(crate) fn seen(&self) -> Vec<Received> {
        self.seen.lock().unwrap().clone()
    }
}

async fn converse(
    io: &mut TcpStream,
    connection: usize,
    script: &(dyn Fn(&Received) -> Reply + Send + Sync),
    seen: &Mutex<Vec<Received>>,
) -> Option<Then> {
    let mut buf = Vec::new();
    while let Some(received) = receive(io, &mut buf, connection).await {
        seen.lock().unwrap().push(received.clone());
        let Reply { bytes, then } = script(&received);
        io.write_all(bytes.as_bytes()).await.ok()?;
        match then {
            Then::Close | Then::Die => return Some(then),
            Then::Keep => {}
            Then::Pause(pause, rest) => {
                actix_rt::time::sleep(pause).await;
                io.write_all(rest.as_bytes()).await.ok()?;
            }
            Then::Reset => {
                actix_rt::time::sleep(Duration::from_millis(100)).await;
                io.set_zero_linger().ok()?;
                return Some(then);
            }
            Then::Wait => {
                let mut rest = [0; 64];
                while io.read(&mut rest).await.is_ok_and(|len| len > 0) {}
                return Some(then);
            }
        }
    }
    None
}

async fn receive(io: &mut TcpStream, buf: &mut Vec<u8>, connection: usize) -> Option<Received> {
    loop {
        let text = String::from_utf8_lossy(buf).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let received = Received {
                body: rest.to_owned(),
                connection,
                head: head.to_owned(),
            };
            let len = received.header("content-length").unwrap_or("0");
            let len = len.parse::<usize>().unwrap();
            if rest.len() >= len {
                buf.drain(..head.len() + 4 + len);
                return Some(received);
            }
        }
        if io.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}
