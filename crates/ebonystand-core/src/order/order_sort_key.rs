use super::*;

/// Sort key of an order in a journal: records with older keys are deleted first.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct OrderSortKey {
    /// Mint time of the order key, in seconds since 1970. Must be the first field, so that pruning
    /// can split off a range.
    pub(crate) minted: u64,
    /// Workspace and key of the order. It tells orders with the same mint time apart.
    pub(crate) id: OrderId,
}

impl OrderSortKey {
    /// Returns the lowest sort key of a mint time.
    pub(crate) fn first_at(minted: u64) -> Self {
        Self {
            id: OrderId {
                key: Box::default(),
                workspace: Box::default(),
            },
            minted,
        }
    }

    /// Returns the sort key of an order.
    pub(crate) fn for_order(id: &OrderId) -> Result<Self, OrderKeyError> {
        Ok(Self {
            id: id.clone(),
            minted: OrderKeyParts::parse(&id.key)?.minted,
        })
    }
}
