use super::*;

/// Whether a request may be sent to an upstream now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineDecision {
    /// The request is a suspect and needs a permit from [`Quarantine::request_permit`] first.
    PermitRequired,
    /// The run is recorded as started and must be ended with [`Quarantine::finish_run`].
    Started,
    /// The request is quarantined.
    Refused {
        /// Final answer to the caller.
        refusal: Refusal,
    },
}
