use {
    super::*,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Handlers of the signals that the process acts on. Until they are installed, each of these signals ends it.
pub(crate) struct Signals {
    /// Asks to read the settings again.
    pub(crate) hangup: Signal,
    pub(crate) stop: StopSignals,
}

/// Signals that ask the process to stop.
pub(crate) struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    /// Installs the handlers. A signal that comes before it is waited for is kept.
    pub(crate) fn install() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            stop: StopSignals {
                interrupt: signal(SignalKind::interrupt())?,
                terminate: signal(SignalKind::terminate())?,
            },
        })
    }
}

impl StopSignals {
    /// Waits until the process is asked to stop.
    pub(crate) async fn asked(mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
