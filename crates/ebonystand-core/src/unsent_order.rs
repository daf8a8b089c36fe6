use super::*;

/// Proof that the holder of a granted order hasn't sent it and will never send it.
#[derive(Debug)]
#[must_use = "an order that is not abandoned stays unknown for ever"]
pub struct UnsentOrder {
    pub(crate) holder: OrderHolder,
}
