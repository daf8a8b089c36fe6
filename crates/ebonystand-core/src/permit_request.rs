use super::*;

/// A run that a VM has asked its owner for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PermitRequest {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) is_granted: bool,
    /// A grant that is not used by then is void.
    pub(crate) start_deadline: Duration,
}
