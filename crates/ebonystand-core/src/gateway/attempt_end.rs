use {crate::RunState, derive_more::Debug};

/// How an attempt to send a request to one upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer arrived and reported no failure of the upstream.
    Answered,
    /// The caller disconnected.
    Cancelled,
    /// The answer ended with its connection, and nothing in it tells whether it is whole.
    Closed,
    /// This VM would end before the answer, so nothing was sent to an upstream.
    Departing,
    /// The upstream ran the request and answered that it failed.
    Failed,
    /// The connection broke or the answer was malformed; the request may have run.
    Lost,
    /// The request is quarantined, so nothing was sent to an upstream.
    Quarantined,
    /// The upstream was full and answered that it did not run the request.
    Shed,
    /// Another server answered at the upstream's address and did not run the request.
    #[debug("Stranger")]
    AddressReused,
    /// No answer arrived in time; the request may have run.
    TimedOut,
    /// No connection could be opened, so nothing was sent.
    Unreachable,
}

impl AttemptEnd {
    /// Returns whether the request has certainly not run and never will.
    #[must_use]
    pub fn is_known_not_run(self) -> bool {
        self.run_state() == RunState::NotRun
    }

    /// Returns whether the upstream has run the request.
    #[must_use]
    pub fn run_state(self) -> RunState {
        match self {
            Self::AddressReused
            | Self::Departing
            | Self::Quarantined
            | Self::Shed
            | Self::Unreachable => RunState::NotRun,
            Self::Answered | Self::Failed => RunState::Ran,
            Self::Cancelled | Self::Closed | Self::Lost | Self::TimedOut => RunState::Unknown,
        }
    }

    /// Returns whether a server of the service received the request, even if it refused it, so that
    /// the attempt counts against the route's limit.
    #[must_use]
    pub fn is_counted_attempt(self) -> bool {
        !matches!(
            self,
            Self::AddressReused | Self::Departing | Self::Quarantined | Self::Unreachable
        )
    }

    /// Returns whether any byte of the request can have reached an upstream.
    #[must_use]
    pub fn can_have_reached_upstream(self) -> bool {
        !matches!(
            self,
            Self::Departing | Self::Quarantined | Self::Unreachable
        )
    }

    /// Returns whether the attempt may have failed for want of a path to the upstream. An attempt that this VM itself
    /// ended before it sent anything says nothing of the path.
    #[must_use]
    pub fn may_lack_path(self) -> bool {
        matches!(self, Self::Lost | Self::TimedOut | Self::Unreachable)
    }

    /// Returns whether the listed upstream was reached; `None` if the end does not tell.
    pub(crate) fn is_upstream_reached(self) -> Option<bool> {
        match self {
            Self::Answered | Self::Failed | Self::Shed => Some(true),
            // The upstreams of a zone that lost power come back as new ones at the same addresses.
            Self::AddressReused | Self::Unreachable => Some(false),
            // A busy upstream may leave a request unanswered as well.
            Self::Cancelled
            | Self::Closed
            | Self::Departing
            | Self::Lost
            | Self::Quarantined
            | Self::TimedOut => None,
        }
    }
}
