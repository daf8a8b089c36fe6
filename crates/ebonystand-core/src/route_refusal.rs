use super::*;

/// Why no upstream gets a request; nothing of it has run.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub(crate) enum RouteRefusal {
    #[snafu(display("the deadline has passed"))]
    DeadlinePassed,
    #[snafu(display("no upstream that may serve {target} is up"))]
    NoneAvailable {
        /// When one of them gets requests again, if that is known.
        reopens_in: Option<Duration>,
        target: Target,
    },
    #[snafu(display("no upstream is predicted to answer in time"))]
    Overloaded {
        /// Predicted time beyond the limit.
        beyond: Duration,
    },
    #[snafu(display("no upstream serves {target}"))]
    UnknownTarget { target: Target },
}

impl RouteRefusal {
    /// Longest time that a caller is told to stay away.
    const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
    /// Shortest time that a caller is told to stay away.
    const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
    /// Time that a caller is told to stay away when nothing is known.
    const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

    fn code(&self) -> RefusalCode {
        match self {
            Self::DeadlinePassed => RefusalCode::Deadline,
            Self::NoneAvailable { .. } => RefusalCode::NoUpstream,
            Self::Overloaded { .. } => RefusalCode::Overloaded,
            Self::UnknownTarget { target } => match target {
                Target::Model(_) => RefusalCode::UnknownModel,
                Target::Service(_) => RefusalCode::NoUpstream,
            },
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        let delay = match self {
            Self::DeadlinePassed | Self::UnknownTarget { .. } => return None,
            Self::NoneAvailable { reopens_in, .. } => {
                reopens_in.unwrap_or(Self::DEFAULT_RETRY_AFTER)
            }
            Self::Overloaded { beyond } => *beyond,
        };
        Some(delay.clamp(Self::MIN_RETRY_AFTER, Self::MAX_RETRY_AFTER))
    }
}

impl From<RouteRefusal> for Refusal {
    fn from(reason: RouteRefusal) -> Self {
        Self {
            retry_after: reason.retry_after(),
            ..Self::not_run(reason.code(), reason.to_string())
        }
    }
}
