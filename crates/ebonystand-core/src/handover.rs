use super::*;

/// Transition of a part that the configuration moves from one VM to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Handover {
    /// Part usable until the transition ends: what both the old and the new configuration give this
    /// VM.
    pub(crate) interim_part: AllowancePart,
    /// Time at which no VM can act on the old configuration any more.
    pub(crate) ends_at: Duration,
}
