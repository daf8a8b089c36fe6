use super::*;
use ebonystand_core::RoutingFault;

/// Why an order about routes was not carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplaceError {
    /// It can never be put in force.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")))]
    Faulty {
        /// Every fault.
        faults: Vec<RoutingFault>,
    },
    /// No leader answered. What was asked for may still come into force.
    #[snafu(display("no leader answered; what was asked for may still come into force"))]
    NoLeader,
    /// This VM has no log; its copy of the configuration lacks the operator's text.
    #[snafu(display("this VM has no log; ask one that has"))]
    NoLog,
    /// This VM has just started, and does not know yet who else there is.
    #[snafu(display("this VM has just started"))]
    TooEarly,
}
