use super::*;
use pooled_client::PooledClient;

/// Idle connections to all upstreams.
///
/// A link that was down can leave every idle connection over it silent for good, while new ones
/// work. Were only the connection that a request timed out on closed, its retry would take the
/// next silent one and the caller would wait for the first-byte limit again, until no upstream
/// was left. So one timeout gives up all that were idle: the retry opens a new connection. An interim
/// answer does so as well, as the client takes it for the whole answer and its connection for idle.
pub(crate) struct ClientPool {
    current: RefCell<PooledClient>,
}

impl ClientPool {
    const CONNECTIONS: usize = 4_096;
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

    /// The client to send with now.
    pub(crate) fn current(&self) -> PooledClient {
        self.current.borrow().clone()
    }

    /// Gives up the connections of the generation that a request failed on, if no other
    /// request has done so. Requests under way keep theirs. As a request times out only on the
    /// generation that it was sent with, an upstream that hangs makes the pool start anew once in
    /// the time of a timeout at most, however many requests it hangs.
    pub(crate) fn give_up(&self, failed: &PooledClient) {
        let mut current = self.current.borrow_mut();
        if current.generation == failed.generation {
            let generation = current.generation + 1;
            let client = Self::client();
            *current = PooledClient { client, generation };
        }
    }

    pub(crate) fn new() -> Self {
        let client = Self::client();
        let generation = 0;
        let current = RefCell::new(PooledClient { client, generation });
        Self { current }
    }

    /// A client with no connection yet.
    pub(crate) fn client() -> awc::Client {
        let connector = awc::Connector::new()
            .limit(Self::CONNECTIONS)
            .timeout(Self::CONNECT_TIMEOUT);
        awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish()
    }
}
