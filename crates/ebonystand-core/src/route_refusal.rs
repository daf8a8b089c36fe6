use super::*;

/// Reason why no upstream gets a request. The request has not run.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub(crate) enum RouteRefusal {
    #[snafu(display("the deadline has passed"))]
    DeadlinePassed,
    #[snafu(display("no upstream that may serve {target} is up"))]
    NoneAvailable {
        /// Time until an upstream accepts requests again, if known.
        reopens_in: Option<Duration>,
        target: Target,
    },
    #[snafu(display("no upstream is predicted to answer in time"))]
    Overloaded {
        /// Time by which the best prediction exceeds the limit.
        beyond: Duration,
    },
    #[snafu(display("no upstream serves {target}"))]
    UnknownTarget { target: Target },
}

impl RouteRefusal {
    /// Upper bound of the time to retry after.
    const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
    /// Lower bound of the time to retry after.
    const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
    /// Time to retry after when it is not known when an upstream will be available.
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
