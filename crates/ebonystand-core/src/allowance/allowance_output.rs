use super::*;

/// Effect that an [`Allowance`] asks its caller to carry out.
#[derive(Debug, Eq, PartialEq)]
pub enum AllowanceOutput {
    /// Admits a request that returned [`Admission::Waiting`].
    Admitted {
        /// Tokens reserved for the request.
        reservation: Reservation,
        /// Ticket of the waiting request.
        ticket: TicketId,
    },
    /// Refuses a request that returned [`Admission::Waiting`].
    Refused {
        /// Time until a retry is worthwhile, as in [`Admission::Refused`].
        retry_after: Duration,
        /// Ticket of the waiting request.
        ticket: TicketId,
    },
    /// Refuses a request that returned [`Admission::Waiting`], because no holder has answered its
    /// claims in time. Whether the allowance is used up is not known.
    Unanswered {
        /// Ticket of the waiting request.
        ticket: TicketId,
    },
    /// Sends a message to another VM. It may be lost, duplicated or delayed without harm.
    Send {
        /// Message to send.
        message: AllowanceMessage,
        /// Receiving VM.
        to: VmId,
    },
}

impl AllowanceOutput {
    /// Ticket of the request that this output answers; `None` for a message.
    pub(crate) fn ticket(&self) -> Option<TicketId> {
        match self {
            Self::Admitted { ticket, .. }
            | Self::Refused { ticket, .. }
            | Self::Unanswered { ticket } => Some(*ticket),
            Self::Send { .. } => None,
        }
    }
}
