use super::*;

/// Reason to refuse a [`Routing`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum RoutingFault {
    /// Two workspaces have the same key, so a request could not be attributed to one of them.
    #[snafu(display("workspaces `{first}` and `{second}` share a key"))]
    SharedKey {
        /// Workspace that has the key first.
        first: WorkspaceId,
        /// Workspace that has the same key again.
        second: WorkspaceId,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("routes `{first}` and `{second}` have the same host and prefix"))]
    SamePlace {
        /// Route that comes first in the list.
        first: Box<str>,
        /// Route that repeats its host and prefix.
        second: Box<str>,
    },
    /// The timeout of a route is 0, so none of its requests could be answered.
    #[snafu(display("route `{route}`: the timeout must be above 0"))]
    Timeout {
        /// Name of the route without a timeout.
        route: Box<str>,
    },
    /// A route names a service that is not defined.
    #[snafu(display("route `{route}`: no service `{service}`"))]
    UnknownService {
        /// Name of the route that refers to the service.
        route: Box<str>,
        /// Service that is not defined.
        service: ServiceId,
    },
    /// The weights of a route add up to 0, so no service gets its requests.
    #[snafu(display("route `{route}`: the weights add up to 0"))]
    Weight {
        /// Name of the route without any weight.
        route: Box<str>,
    },
}
