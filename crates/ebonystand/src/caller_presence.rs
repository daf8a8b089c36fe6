use super::*;

/// Whether a caller still waits for answers on its connection.
///
/// A process that was stopped reads requests whose callers have given up on them meanwhile. The
/// close lies behind the request in the same socket, but may be read only after it.
#[derive(Clone, Debug, Default)]
pub struct CallerPresence {
    is_gone: Rc<Cell<bool>>,
}

impl CallerPresence {
    /// Time after which the close of a caller that has given up on a request has followed it, even
    /// if a stopped process or a network held both up: one round trip between regions.
    const SETTLE_TIME: Duration = Duration::from_millis(150);

    /// Returns the presence of the caller that sent `req`.
    #[must_use]
    pub fn of(req: &Request) -> Self {
        req.conn_data::<Self>().cloned().unwrap_or_default()
    }

    /// Returns whether the caller has neither closed nor reset its connection, as far as this
    /// process has read it.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        !self.is_gone.get()
    }

    /// Waits until the close of a caller that has given up would have been read, and returns whether
    /// the caller still waits. The HTTP server drops the handler of a request on a close, so the
    /// returned future may never complete.
    pub async fn is_connected_after_settling(&self) -> bool {
        actix_rt::time::sleep(Self::SETTLE_TIME).await;
        self.is_connected()
    }

    /// Records that the connection has ended.
    pub(crate) fn set_gone(&self) {
        self.is_gone.set(true);
    }
}
