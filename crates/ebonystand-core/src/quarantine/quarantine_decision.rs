use super::*;

/// Whether a request may be sent to an upstream now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineDecision {
    /// Ask the owner first, with [`Quarantine::ask`].
    PermitRequired,
    /// It runs; end it with [`Quarantine::finished`].
    Started,
    /// It is quarantined.
    Refused {
        /// Final answer to the caller.
        refusal: Refusal,
    },
}
