use super::*;

/// What an [`Allowance`] wants done.
#[derive(Debug, Eq, PartialEq)]
pub enum AllowanceOutput {
    /// A request that waited has its tokens.
    Admitted {
        /// What it took.
        reservation: Reservation,
        /// Which request.
        ticket: TicketId,
    },
    /// A request that waited is refused.
    Refused {
        /// As in [`Admission::Refused`].
        retry_after: Duration,
        /// Which request.
        ticket: TicketId,
    },
    /// A message for another VM; it may be lost, doubled or late.
    Send {
        /// What to send.
        message: AllowanceMessage,
        /// Where to.
        to: VmId,
    },
}

impl AllowanceOutput {
    /// The waiting request that this answers.
    pub(crate) fn ticket(&self) -> Option<TicketId> {
        match self {
            Self::Admitted { ticket, .. } | Self::Refused { ticket, .. } => Some(*ticket),
            Self::Send { .. } => None,
        }
    }
}
