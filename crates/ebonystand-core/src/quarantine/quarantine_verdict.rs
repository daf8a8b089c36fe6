use super::*;

/// Whether a request may be sent to an upstream now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineVerdict {
    /// Ask the owner first, with [`Quarantine::ask`].
    Ask,
    /// It runs; end it with [`Quarantine::finished`].
    Runs,
    /// It is quarantined.
    Refused {
        /// Final answer to the caller.
        refusal: Refusal,
    },
}
