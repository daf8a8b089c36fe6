use super::*;

/// What becomes of a request that a VM has asked a slot for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotDecision {
    /// Send the request to this engine.
    Granted {
        /// Short name of the engine.
        engine: UpstreamKey,
    },
    /// Refuse the request, because no slot comes free in time.
    Refused {
        /// Time after which a retry is useful.
        retry_after: Duration,
    },
    /// No scheduler answers: the VM decides by itself.
    Unscheduled,
}
