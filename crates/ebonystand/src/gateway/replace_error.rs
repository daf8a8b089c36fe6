use super::*;
use ebonystand_core::{EvacuationError, RoutingFault};

/// Reason why a change to the routing or to a zone's evacuation, or a read of the routing, failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplaceError {
    /// The routing is invalid and can never be put in force.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")))]
    Faulty {
        /// All faults found in the routing.
        faults: Vec<RoutingFault>,
    },
    /// No leader accepted the request. A requested change may still be put in force.
    #[snafu(display("no leader answered; what was asked for may still come into force"))]
    NoLeader,
    /// This VM has no log, and its copy of the configuration lacks the operator's text.
    #[snafu(display("this VM has no log; ask one that has"))]
    NoLog,
    /// The caller may have given up on the request and sent it to another VM.
    #[snafu(display("{source}; send it again if it still stands"))]
    Stale {
        /// Why the request is taken for given up.
        source: EvacuationError,
    },
    /// This VM has just started and has not discovered the other VMs yet.
    #[snafu(display("this VM has just started"))]
    TooEarly,
}
