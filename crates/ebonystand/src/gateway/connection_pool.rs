use super::*;

/// Idle connections to upstreams and other VMs.
///
/// An outage of a link can leave every idle connection over it silent for good while new ones work.
/// One timeout therefore closes all idle connections to that address.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<FxHashMap<Peer, Vec<Idle>>>,
}

/// Address of a server and identifier of its instance. A later server at the same address must not
/// receive a request meant for the earlier one.
type Peer = (SocketAddr, Box<str>);

/// An idle connection and the time until which it may be reused.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Duration,
}

impl ConnectionPool {
    /// Largest number of idle connections to one server.
    const MAX_PER_PEER: usize = 32;
    /// Longest idle time of a connection, also if the server allows more. It is short compared with
    /// the time for which a broken network path stays unnoticed, and long compared with the time
    /// between two requests.
    const MAX_IDLE: Duration = Duration::from_secs(4);
    /// Time before the server's idle timeout at which a connection is no longer used. If a request
    /// crosses the server's close on the way, it is unknown whether the server read it.
    const CLOSE_MARGIN: Duration = Duration::from_millis(1_000);

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().retain(|peer, _| peer.0 != address);
    }

    /// Closes connections that have been idle too long or can't be reused.
    pub(crate) fn prune(&self, now: Duration) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| now < idle.until && idle.connection.is_reusable());
            !idle.is_empty()
        });
    }

    /// Returns the connection of a finished answer to the pool if it can be reused.
    pub(crate) fn put(
        &self,
        now: Duration,
        address: SocketAddr,
        instance: &str,
        reader: ResponseReader,
    ) {
        let stated = server_idle_timeout(&reader.head().headers);
        let idle = stated.map_or(Self::MAX_IDLE, |stated| {
            stated.saturating_sub(Self::CLOSE_MARGIN)
        });
        let Some(connection) = reader.into_reusable_connection() else {
            return;
        };
        let mut all = self.idle.borrow_mut();
        let kept = all.entry((address, instance.into())).or_default();
        if kept.len() < Self::MAX_PER_PEER {
            let until = now + idle.min(Self::MAX_IDLE);
            kept.push(Idle { connection, until });
        }
    }

    /// Takes the most recently used idle connection to a server, or opens a new one within
    /// `max_wait`.
    ///
    /// # Errors
    /// [`ConnectionFault::Connect`] if a new connection cannot be opened.
    pub(crate) async fn take(
        &self,
        now: Duration,
        address: SocketAddr,
        instance: &str,
        max_wait: Duration,
    ) -> Result<Connection, ConnectionFault> {
        match self.take_idle(now, address, instance) {
            Some(connection) => Ok(connection),
            None => Connection::open(address, max_wait).await,
        }
    }

    fn take_idle(&self, now: Duration, address: SocketAddr, instance: &str) -> Option<Connection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&(address, Box::from(instance)))?;
        while let Some(Idle { connection, until }) = idle.pop() {
            if now < until && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }
}

/// Parses the idle timeout that the server states in its `keep-alive` header.
fn server_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers::text(headers, "keep-alive")?;
    let seconds = text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then(|| value.trim().parse().ok())?
    });
    seconds.map(Duration::from_secs)
}
