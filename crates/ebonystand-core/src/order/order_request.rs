use super::*;

/// Request of a caller for an order, as received by a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderRequest {
    /// Wall clock when the request arrived, in seconds since 1970.
    pub received_at: u64,
    /// Hash of the request's method, path and body.
    pub body_hash: BodyHash,
    /// Deadline for sending the first byte to an upstream. The time between it and `reply_by` must
    /// suffice for the order to run, or for an abandonment to become durable.
    pub dispatch_by: Duration,
    /// Workspace and key of the order.
    pub id: OrderId,
    /// Deadline for the reply to the caller.
    pub reply_by: Duration,
}
