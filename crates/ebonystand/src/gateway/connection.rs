use super::*;
use {
    actix_http::{
        RequestHead, RequestHeadType, ResponseHead, Uri, Version,
        body::BodySize,
        h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    },
    rustix::{
        io::Errno,
        net::{RecvFlags, recv},
    },
    tokio_util::codec::{Decoder, Encoder},
};

/// HTTP/1.1 connection to an upstream or another VM that carries one request at a time.
///
/// The HTTP library's client treats the end of the connection as the end of the body. This type
/// accepts a body as whole only if its framing says so. Any other end is a fault, and a connection
/// whose state is in doubt is not reused.
#[derive(Debug)]
pub struct Connection {
    buf: BytesMut,
    io: TcpStream,
}

/// Reads the body of an answer whose head has arrived.
pub struct ResponseReader {
    connection: Connection,
    framing: Framing,
    head: ResponseHead,
    /// Whether the head states neither a length nor chunks for the body.
    is_unframed: bool,
    keep_alive: bool,
    is_request_sent: bool,
}

/// How the end of a body is recognized.
enum Framing {
    /// By its length or chunks, which the codec decodes.
    WithCodec(ClientPayloadCodec),
    /// The body is complete: the answer has none, or all of it has been read.
    Complete,
    /// The body ends when the server closes the connection.
    UntilClose,
}

/// Reason why no whole answer was read from a connection.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(false)))]
pub enum ConnectionFault {
    /// Reading or writing failed, for example because the peer reset the connection.
    #[snafu(display("the connection failed: {source}"))]
    Broken {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection could not be opened, so nothing was sent.
    #[snafu(display("the connection could not be opened: {source}"))]
    Connect {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The head, body or framing of the answer is larger than its limit.
    #[snafu(display("the answer exceeds its limit of {limit} bytes"))]
    Large {
        /// Limit of the part that is too large, in bytes.
        limit: usize,
    },
    /// The received bytes are not a valid HTTP answer.
    #[snafu(display("the answer is not valid HTTP: {reason}"))]
    Malformed {
        /// Error message of the parser.
        reason: Box<str>,
    },
    /// The connection was closed before the end of the answer.
    #[snafu(display("the answer is cut off"))]
    Truncated,
}

impl ConnectionFault {
    /// Returns whether nothing listens at the address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source } if source.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Builds the head of a request. The path is sent unchanged, or as `/` if it is not a valid URI.
pub(crate) fn head(method: Method, path: &str, headers: HeaderMap) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = path.parse::<Uri>().unwrap_or_default();
    head.headers = headers;
    head
}

impl Connection {
    const READ_CAPACITY: usize = 4 << 10;
    /// Largest head of an answer with the interim answers before it, in bytes.
    const MAX_HEAD_BYTES: usize = 64 << 10;
    /// Most bytes of framing between two parts of a body, such as a chunk's size with its
    /// extensions.
    const MAX_FRAMING_BYTES: usize = 16 << 10;

    /// Longest time to open a connection: one round trip between regions and one lost packet.
    pub(crate) const MAX_CONNECT_TIME: Duration = Duration::from_millis(1_000);

    /// Opens a connection to `address` within `max_wait`.
    ///
    /// # Errors
    /// [`ConnectionFault::Connect`] if the connection cannot be opened in time.
    pub(crate) async fn open(
        address: SocketAddr,
        max_wait: Duration,
    ) -> Result<Self, ConnectionFault> {
        let connect = TcpStream::connect(address);
        let connected = actix_rt::time::timeout(max_wait, connect).await;
        let connected = connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let io = connected.map_err(|source| ConnectionFault::Connect { source })?;
        // Nagle's algorithm would delay a small request until the peer acknowledges earlier data.
        io.set_nodelay(true)
            .map_err(|source| ConnectionFault::Connect { source })?;
        Ok(Self {
            buf: BytesMut::new(),
            io,
        })
    }

    /// Whether the connection is open and has received nothing since its last answer. Anything
    /// received would be a late or repeated answer, or the end of the connection; data that follows
    /// could be mistaken for the answer to the next request.
    pub(crate) fn is_reusable(&self) -> bool {
        // The socket is read directly, because a read through the runtime depends on the readiness
        // it saw last, and misses data that has just arrived.
        let peeked = recv(&self.io, &mut [0; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT);
        self.buf.is_empty() && peeked.is_err_and(|error| error == Errno::WOULDBLOCK)
    }

    /// Whether the other end keeps the connection open for `wait`. A server that takes no more
    /// connections may accept one and reset it.
    pub(crate) async fn stays_open(&self, wait: Duration) -> bool {
        let readable = actix_rt::time::timeout(wait, self.io.readable()).await;
        readable.is_err() || self.is_reusable()
    }

    /// Sends a request and waits for the head of the answer. If the answer arrives before the whole
    /// request is sent, the connection is not reused.
    ///
    /// # Errors
    /// Any [`ConnectionFault`] except [`ConnectionFault::Connect`]. The server may have run the
    /// request.
    pub(crate) async fn request(
        mut self,
        head: RequestHead,
        body: Bytes,
    ) -> Result<ResponseReader, ConnectionFault> {
        let is_head = head.method == Method::HEAD;
        let mut codec = ClientCodec::default();
        let mut out = BytesMut::with_capacity(1 << 10);
        let size = match body.is_empty() && matches!(head.method, Method::GET | Method::HEAD) {
            true => BodySize::None,
            false => BodySize::Sized(body.len() as u64),
        };
        codec
            .encode(
                Message::Item((RequestHeadType::Owned(head), size)),
                &mut out,
            )
            .map_err(|source| ConnectionFault::Broken { source })?;
        let (mut from, mut to) = self.io.split();
        let send = async {
            to.write_all(&out).await?;
            to.write_all(&body).await
        };
        tokio::pin!(send);
        let mut is_request_sent = false;
        let mut received = 0;
        let head = loop {
            if let Some(head) = Self::parse(&mut codec, &mut self.buf)? {
                break head;
            }
            if received > Self::MAX_HEAD_BYTES {
                let limit = Self::MAX_HEAD_BYTES;
                return Err(ConnectionFault::Large { limit });
            }
            self.buf.reserve(Self::READ_CAPACITY);
            tokio::select! {
                sent = &mut send, if !is_request_sent => {
                    sent.map_err(|source| ConnectionFault::Broken { source })?;
                    is_request_sent = true;
                }
                read = from.read_buf(&mut self.buf) => {
                    let read = read.map_err(|source| ConnectionFault::Broken { source })?;
                    if read == 0 {
                        return Err(ConnectionFault::Truncated);
                    }
                    received += read;
                }
            }
        };
        let keep_alive = codec.keep_alive();
        let framing = Self::framing(codec, &head, is_head);
        Ok(ResponseReader {
            connection: self,
            is_unframed: matches!(framing, Framing::UntilClose),
            framing,
            head,
            keep_alive,
            is_request_sent,
        })
    }

    fn framing(codec: ClientCodec, head: &ResponseHead, is_head: bool) -> Framing {
        let status = head.status;
        let has_body = !is_head
            && !status.is_informational()
            && status != StatusCode::NO_CONTENT
            && status != StatusCode::NOT_MODIFIED;
        match codec.message_type() {
            _ if !has_body => Framing::Complete,
            _ if !Self::is_framed(head) => Framing::UntilClose,
            MessageType::Payload => Framing::WithCodec(codec.into_payload_codec()),
            MessageType::None | MessageType::Stream => Framing::Complete,
        }
    }

    /// Whether the head states the length of the body or that it comes in chunks. HTTP/1.0 has no
    /// chunks, and the parser accepts no transfer coding but `chunked` and `identity`.
    fn is_framed(head: &ResponseHead) -> bool {
        let coding = headers::text(&head.headers, "transfer-encoding").unwrap_or_default();
        let is_chunked = coding.trim().eq_ignore_ascii_case("chunked");
        head.headers.contains_key("content-length")
            || (is_chunked && head.version >= Version::HTTP_11)
    }

    fn parse(
        codec: &mut ClientCodec,
        buf: &mut BytesMut,
    ) -> Result<Option<ResponseHead>, ConnectionFault> {
        let malformed = |error: actix_http::error::ParseError| ConnectionFault::Malformed {
            reason: error.to_string().into(),
        };
        while !buf.is_empty() {
            match codec.decode(buf).map_err(malformed)? {
                Some(head) if is_interim(head.status) => {}
                Some(head) if is_final(head.status) => return Ok(Some(head)),
                Some(head) => {
                    let reason = format!("status {} answers no request", head.status.as_u16());
                    let reason = reason.into();
                    return Err(ConnectionFault::Malformed { reason });
                }
                None => return Ok(None),
            }
        }
        Ok(None)
    }
}

/// Whether another answer to the request follows. After 101, which nobody asks for, the bytes are of another protocol.
fn is_interim(status: StatusCode) -> bool {
    status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS
}

/// Whether a status is that of an answer. The parser takes all numbers of three digits from 100 on.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

impl ResponseReader {
    /// Returns the head of the answer.
    pub(crate) fn head(&self) -> &ResponseHead {
        &self.head
    }

    /// Returns whether the body has neither a length nor chunks, so that only the end of its
    /// connection ends it.
    pub(crate) fn is_unframed(&self) -> bool {
        self.is_unframed
    }

    /// Returns the connection if it can carry another request: the answer is complete, no bytes
    /// follow it, and both ends keep the connection alive.
    pub(crate) fn into_reusable_connection(self) -> Option<Connection> {
        let is_complete = matches!(self.framing, Framing::Complete);
        let is_reusable = is_complete && self.keep_alive && self.is_request_sent;
        (is_reusable && self.connection.buf.is_empty()).then_some(self.connection)
    }

    /// Reads the next bytes of the body; `None` at its end.
    ///
    /// # Errors
    /// Any [`ConnectionFault`] except [`ConnectionFault::Connect`].
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, ConnectionFault> {
        let mut framing_bytes = 0;
        loop {
            if let Some(next) = self.decode()? {
                return Ok(next);
            }
            if framing_bytes > Connection::MAX_FRAMING_BYTES {
                let limit = Connection::MAX_FRAMING_BYTES;
                return Err(ConnectionFault::Large { limit });
            }
            let buf = &mut self.connection.buf;
            buf.reserve(Connection::READ_CAPACITY);
            let read = self.connection.io.read_buf(buf).await;
            let read = read.map_err(|source| ConnectionFault::Broken { source })?;
            framing_bytes += read;
            if read > 0 {
                continue;
            }
            return match self.framing {
                Framing::UntilClose => {
                    self.framing = Framing::Complete;
                    self.keep_alive = false;
                    Ok(None)
                }
                Framing::WithCodec(_) | Framing::Complete => Err(ConnectionFault::Truncated),
            };
        }
    }

    /// Reads the rest of the body, up to `limit` bytes.
    ///
    /// # Errors
    /// [`ConnectionFault::Large`] beyond the limit, or any other [`ConnectionFault`] except
    /// [`ConnectionFault::Connect`].
    pub(crate) async fn read_whole(&mut self, limit: usize) -> Result<Bytes, ConnectionFault> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.next().await? {
            if whole.len() + chunk.len() > limit {
                return Err(ConnectionFault::Large { limit });
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }

    /// Decodes the next bytes of the body from the buffer. The outer `None` means that more bytes
    /// must be read; the inner one is the end of the body.
    fn decode(&mut self) -> Result<Option<Option<Bytes>>, ConnectionFault> {
        let buf = &mut self.connection.buf;
        match &mut self.framing {
            Framing::Complete => Ok(Some(None)),
            Framing::UntilClose if buf.is_empty() => Ok(None),
            Framing::UntilClose => Ok(Some(Some(buf.split().freeze()))),
            Framing::WithCodec(codec) => {
                let decoded = codec
                    .decode(buf)
                    .map_err(|error| ConnectionFault::Malformed {
                        reason: error.to_string().into(),
                    })?;
                if let Some(None) = decoded {
                    self.framing = Framing::Complete;
                }
                Ok(decoded)
            }
        }
    }
}
