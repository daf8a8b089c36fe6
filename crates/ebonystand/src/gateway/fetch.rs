use super::*;

/// Reads small documents over HTTP.
pub struct Fetch {
    pub(crate) node: Rc<Node>,
}

/// Why a document could not be had.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(false)), visibility(pub(crate)))]
pub enum FetchError {
    /// The answer is not of the expected form.
    #[snafu(display("the answer cannot be decoded: {source}"))]
    Decode {
        /// What the codec says.
        source: serde_json::Error,
    },
    /// The connection failed.
    #[snafu(display("{fault}"))]
    Connection {
        /// What is wrong.
        fault: ConnectionFault,
    },
    /// The answer is no success.
    #[snafu(display("answered {status}"))]
    Status {
        /// Its status.
        status: u16,
    },
    /// No whole answer came in time.
    #[snafu(display("no answer in time"))]
    Timeout,
}

impl Fetch {
    const LONGEST: usize = 8 << 20;
    /// Longest wait for a document: several round trips between regions.
    const TIMEOUT: Duration = Duration::from_millis(1_000);

    /// Reads the document at a path of the server at `address`.
    ///
    /// # Errors
    /// [`FetchError`] unless a whole answer with status 200 came in time.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
        let whole = self.get_unbounded(address, path);
        match actix_rt::time::timeout(Self::TIMEOUT, whole).await {
            Ok(answer) => answer,
            Err(_) => Err(FetchError::Timeout),
        }
    }

    async fn get_unbounded(&self, address: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
        let pool = &self.node.gateway.pool;
        let mut headers = HeaderMap::new();
        headers::set(&mut headers, "host", &address.to_string());
        let head = connection::head(Method::GET, path, headers);
        let faulty = |fault| FetchError::Connection { fault };
        let now = self.node.clock.now();
        let taken = pool.take(now, address, "").await.map_err(faulty)?;
        let mut answering = taken.request(head, Bytes::new()).await.map_err(faulty)?;
        let status = answering.head().status;
        let body = answering.read_whole(Self::LONGEST).await.map_err(faulty)?;
        pool.put(self.node.clock.now(), address, "", answering);
        if status != StatusCode::OK {
            return Err(FetchError::Status {
                status: status.as_u16(),
            });
        }
        Ok(body)
    }
}

use node::Node;
