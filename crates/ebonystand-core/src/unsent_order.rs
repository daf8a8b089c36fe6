use super::*;

/// Token of a granted order that its holder hasn't sent and will never send.
#[derive(Debug)]
#[must_use = "an order that is not abandoned stays unknown for ever"]
pub struct UnsentOrder {
    pub(crate) holder: OrderHolder,
}
