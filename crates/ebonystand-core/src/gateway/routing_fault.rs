use super::*;

/// Reason why a [`Routing`] cannot be put in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum RoutingFault {
    /// Two workspaces have the same key, which would then not tell for whom a request runs.
    #[snafu(display("workspaces `{first}` and `{second}` share a key"))]
    SharedKey {
        /// One workspace.
        first: WorkspaceId,
        /// The other one.
        second: WorkspaceId,
    },
    /// Two routes take the same requests.
    #[snafu(display("routes `{first}` and `{second}` have the same host and prefix"))]
    SamePlace {
        /// One route.
        first: Box<str>,
        /// The other one.
        second: Box<str>,
    },
    /// A request of the route could not be answered in time.
    #[snafu(display("route `{route}`: the timeout must be above 0"))]
    Timeout {
        /// The route.
        route: Box<str>,
    },
    /// A route sends requests to a service that does not exist.
    #[snafu(display("route `{route}`: no service `{service}`"))]
    UnknownService {
        /// The route.
        route: Box<str>,
        /// What it names.
        service: ServiceId,
    },
    /// No service takes the requests of a route.
    #[snafu(display("route `{route}`: the weights add up to 0"))]
    Weight {
        /// The route.
        route: Box<str>,
    },
}
