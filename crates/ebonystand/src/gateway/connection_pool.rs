use super::*;

/// Idle connections to upstreams and other VMs.
///
/// A link that was down can leave every idle connection over it silent for good, while new ones
/// work. So one timeout gives up all that were idle to that address.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<FxHashMap<Peer, Vec<Idle>>>,
}

/// An address and the start of the server there: a later server at the same address must not get a
/// request that was meant for the earlier one.
type Peer = (SocketAddr, Box<str>);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Duration,
}

impl ConnectionPool {
    /// Idle connections to one server.
    const PER_PEER: usize = 32;
    /// Idle time after which a connection is closed where the server states none. Short against
    /// the silence of a lost flow, long against the time between two requests.
    const IDLE: Duration = Duration::from_secs(4);
    /// Time before the server's own limit at which a connection is not used any more: a request
    /// that crosses the server's close could have been read or not.
    const MARGIN: Duration = Duration::from_millis(1_000);

    /// Gives up the idle connections to an address.
    pub(crate) fn give_up(&self, address: SocketAddr) {
        self.idle.borrow_mut().retain(|peer, _| peer.0 != address);
    }

    /// Closes what has been idle for too long.
    pub(crate) fn prune(&self, now: Duration) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| now < idle.until && idle.connection.is_clean());
            !idle.is_empty()
        });
    }

    /// Keeps the connection of a whole answer, if it may be used again.
    pub(crate) fn put(
        &self,
        now: Duration,
        address: SocketAddr,
        instance: &str,
        answering: Answering,
    ) {
        let stated = stated_idle(&answering.head().headers);
        let idle = stated.map_or(Self::IDLE, |stated| stated.saturating_sub(Self::MARGIN));
        let Some(connection) = answering.into_connection() else {
            return;
        };
        let mut all = self.idle.borrow_mut();
        let kept = all.entry((address, instance.into())).or_default();
        if kept.len() < Self::PER_PEER {
            let until = now + idle.min(Self::IDLE);
            kept.push(Idle { connection, until });
        }
    }

    /// An idle connection, the one used last, or a new one.
    ///
    /// # Errors
    /// [`ConnectionFault::Connect`].
    pub(crate) async fn take(
        &self,
        now: Duration,
        address: SocketAddr,
        instance: &str,
    ) -> Result<Connection, ConnectionFault> {
        match self.take_idle(now, address, instance) {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        }
    }

    fn take_idle(&self, now: Duration, address: SocketAddr, instance: &str) -> Option<Connection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&(address, Box::from(instance)))?;
        while let Some(Idle { connection, until }) = idle.pop() {
            if now < until && connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }
}

/// Idle time that the server allows, of its `keep-alive` header.
fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let text = headers::text(headers, "keep-alive")?;
    let seconds = text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then(|| value.trim().parse().ok())?
    });
    seconds.map(Duration::from_secs)
}
