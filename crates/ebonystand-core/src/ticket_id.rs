use super::*;

/// Identifier of a request that waits for tokens, unique within one start of the VM.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId(pub(crate) u64);
