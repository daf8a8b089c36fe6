use {super::*, derive_more::Debug};

/// Reason why an [`OrderCommand`] was rejected as stale.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum OrderStaleReason {
    /// The holder, or a later attempt of the same process, has abandoned the order.
    #[display("abandoned")]
    Abandoned,
    /// Another attempt holds the order.
    #[display("held by another")]
    #[debug("Holder")]
    #[serde(rename = "Holder")]
    NotHolder,
    /// The journal has no record of the order.
    #[display("no record")]
    Missing,
}
