use super::*;

/// Why an [`OrderCommand`] changed nothing.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum OrderStaleReason {
    /// The holder has abandoned the order.
    #[display("abandoned")]
    Abandoned,
    /// Another one holds the order.
    #[display("held by another")]
    Holder,
    /// The journal has no such order.
    #[display("no record")]
    Missing,
}
