use {
    super::*,
    awc::error::{ConnectError, SendRequestError},
};

/// Failure of one VM to answer a request; another VM may still answer it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum AttemptError {
    /// The VM's URL is invalid or the connection failed before the request was sent, so the VM has
    /// not seen it.
    #[snafu(display("{server}: {source}"))]
    Connect {
        server: Box<str>,
        source: SendRequestError,
    },
    /// The VM sent an answer that is too large, incomplete or not the expected JSON.
    #[snafu(display("{server}: HTTP {status} with an answer that is not understood"))]
    UnrecognizedAnswer { server: Box<str>, status: u16 },
    /// The request was sent, but no answer arrived; the VM may have executed the request.
    #[snafu(display("{server}: no answer: {source}"))]
    Lost {
        server: Box<str>,
        source: SendRequestError,
    },
    /// The VM reached no leader of the configuration's log.
    #[snafu(display("{server}: {source}"))]
    NoLeader {
        server: Box<str>,
        source: OperatorError,
    },
}

impl AttemptError {
    /// Returns whether the VM may have executed the request despite the failure.
    pub(crate) fn may_have_run(&self) -> bool {
        match self {
            Self::Connect { .. } => false,
            Self::UnrecognizedAnswer { .. } | Self::Lost { .. } => true,
            Self::NoLeader { source, .. } => matches!(
                source,
                OperatorError::NoLeader {
                    may_have_been_applied: true
                }
            ),
        }
    }

    /// Classifies a send error by whether the VM may have seen the request.
    ///
    /// The HTTP client also reports a connection that closes after the request was sent as a
    /// connect error, `Disconnected`. Treating it as a failure to connect would report a change as
    /// not made although it was.
    pub(crate) fn from_send_error(server: &str, source: SendRequestError) -> Self {
        let server = server.into();
        match source {
            SendRequestError::Connect(ConnectError::Disconnected) => Self::Lost { server, source },
            SendRequestError::Url(_) | SendRequestError::Connect(_) => {
                Self::Connect { server, source }
            }
            _ => Self::Lost { server, source },
        }
    }
}
