use super::*;

/// An order as a caller asks a VM for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderRequest {
    /// Wall clock when it came, in seconds since 1970.
    pub received_at: u64,
    /// What it asks for.
    pub body_hash: BodyHash,
    /// Last moment to send its first byte to an upstream. Leave time before `reply_by` for the
    /// order to run, or for an abandonment to become durable.
    pub dispatch_by: Duration,
    /// The order.
    pub id: OrderId,
    /// Moment by which the caller is answered.
    pub reply_by: Duration,
}
