use super::*;

/// Whether a caller still waits for answers on its connection.
///
/// A process that was stopped reads requests whose callers have given up on them meanwhile. Their
/// close lies behind the request in the same socket and is read together with it.
#[derive(Clone, Debug, Default)]
pub struct CallerPresence {
    is_gone: Rc<Cell<bool>>,
}

impl CallerPresence {
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

    /// Records that the connection has ended.
    pub(crate) fn set_gone(&self) {
        self.is_gone.set(true);
    }
}
