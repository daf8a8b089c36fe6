use super::*;

/// A permit that this VM has requested from the owner of a suspect.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PermitRequest {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) is_granted: bool,
    /// Time at which an unused grant becomes void.
    pub(crate) start_deadline: Duration,
}
