use super::*;
use {in_flight::InFlight, tokio::sync::watch};

/// What the process's HTTP listeners hold, and whether they are closed because this VM stops.
pub(crate) struct Listeners {
    closes: watch::Sender<bool>,
    connections: Rc<Cell<usize>>,
    operations: Rc<Cell<usize>>,
}

impl Listeners {
    /// Takes no more connections, and closes each one once its answer has been sent.
    pub(crate) fn close(&self) {
        self.closes.send_replace(true);
    }

    /// Waits until connections are to be closed.
    pub(crate) fn closed(&self) -> impl Future<Output = ()> + use<> {
        let mut closes = self.closes.subscribe();
        async move {
            // A sender that is gone ends the process too.
            let _ = closes.wait_for(|closes| *closes).await;
        }
    }

    /// Number of connections that are open.
    pub(crate) fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Counts a connection until the guard is dropped.
    pub(crate) fn enter_connection(&self) -> Option<InFlight> {
        InFlight::enter(&self.connections, usize::MAX)
    }

    /// Counts a request of an operator until the guard is dropped.
    pub(crate) fn enter_operation(&self) -> Option<InFlight> {
        InFlight::enter(&self.operations, usize::MAX)
    }

    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            closes: watch::Sender::new(false),
            connections: Rc::default(),
            operations: Rc::default(),
        })
    }

    /// Number of operators' requests that run.
    pub(crate) fn operations(&self) -> usize {
        self.operations.get()
    }
}
