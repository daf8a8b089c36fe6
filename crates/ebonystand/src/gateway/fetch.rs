use super::*;

/// HTTP client for small documents such as lists of upstreams. It uses the gateway's connection
/// pool.
pub struct Fetch {
    node: Rc<Node>,
    /// Time at which the documents of a list must all have arrived.
    until: Duration,
}

/// Reason why a document could not be fetched.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(false)), visibility(pub(crate)))]
pub enum FetchError {
    /// The document cannot be decoded.
    #[snafu(display("the document cannot be decoded: {source}"))]
    Decode {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// The connection failed before the whole answer was read.
    #[snafu(display("{fault}"))]
    Connection {
        /// Fault of the connection.
        fault: ConnectionFault,
    },
    /// The answer has another status than 200.
    #[snafu(display("the server answered with status {status}"))]
    Status {
        /// HTTP status code of the answer.
        status: u16,
    },
    /// The whole answer did not arrive before the timeout.
    #[snafu(display("the answer did not arrive before the timeout"))]
    Timeout,
    /// The documents of a list hold too many entries.
    #[snafu(display("the list has more than {max} entries"))]
    TooLong {
        /// Maximum number of entries.
        max: usize,
    },
}

impl Fetch {
    /// Largest document, in bytes.
    const MAX_BODY_BYTES: usize = 8 << 20;
    /// Time limit for a whole document: several round trips between regions.
    const TIMEOUT: Duration = Duration::from_millis(1_000);
    /// Time limit for all documents of a list, which may lead from one to another without end.
    const LIST_TIMEOUT: Duration = Duration::from_secs(10);

    /// Creates a client that fetches the documents of one list.
    pub(crate) fn new(node: &Rc<Node>) -> Self {
        Self {
            node: Rc::clone(node),
            until: node.clock.now() + Self::LIST_TIMEOUT,
        }
    }

    /// Fetches the document at `path` from the server at `address`.
    ///
    /// # Errors
    /// [`FetchError`] unless a whole answer with status 200 arrives before the timeout, and before that
    /// for all documents of the list.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
        let left = self.until.saturating_sub(self.node.clock.now());
        if left.is_zero() {
            return Err(FetchError::Timeout);
        }
        let whole = self.get_unbounded(address, path);
        match actix_rt::time::timeout(Self::TIMEOUT.min(left), whole).await {
            Ok(answer) => answer,
            Err(_) => Err(FetchError::Timeout),
        }
    }

    async fn get_unbounded(&self, address: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
        let pool = &self.node.gateway.pool;
        let mut headers = HeaderMap::new();
        headers::set(&mut headers, "host", &address.to_string());
        let head = connection::head(Method::GET, path, headers);
        let connection_error = |fault| FetchError::Connection { fault };
        let now = self.node.clock.now();
        let taken = pool
            .take(now, address, "", connection::Connection::MAX_CONNECT_TIME)
            .await
            .map_err(connection_error)?;
        let mut reader = taken
            .request(head, Bytes::new())
            .await
            .map_err(connection_error)?;
        let status = reader.head().status;
        let body = reader
            .read_whole(Self::MAX_BODY_BYTES)
            .await
            .map_err(connection_error)?;
        pool.put(self.node.clock.now(), address, "", reader);
        if status != StatusCode::OK {
            return Err(FetchError::Status {
                status: status.as_u16(),
            });
        }
        Ok(body)
    }
}

use node::Node;
