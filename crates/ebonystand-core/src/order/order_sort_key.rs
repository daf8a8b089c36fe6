use super::*;

/// Place of an order in its journal, in the order in which records are forgotten.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct OrderSortKey {
    /// When the key was minted, in seconds since 1970; first, so that pruning splits off a range.
    pub(crate) minted: u64,
    /// The order.
    pub(crate) id: OrderId,
}

impl OrderSortKey {
    /// Least slot of a time.
    pub(crate) fn first(minted: u64) -> Self {
        Self {
            id: OrderId {
                key: Box::default(),
                workspace: Box::default(),
            },
            minted,
        }
    }

    /// Slot of an order.
    pub(crate) fn of(id: &OrderId) -> Result<Self, OrderKeyError> {
        Ok(Self {
            id: id.clone(),
            minted: OrderKeyParts::parse(&id.key)?.minted,
        })
    }
}
