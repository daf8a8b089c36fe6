use super::*;

/// Proof that a granted order was not sent and never will be by its holder.
#[derive(Debug)]
#[must_use = "an order that is not abandoned stays unknown for ever"]
pub struct UnsentOrder {
    pub(crate) holder: OrderHolder,
}
