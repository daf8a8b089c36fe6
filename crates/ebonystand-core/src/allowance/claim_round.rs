/// Set of holders that a waiting request's tokens have been claimed from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ClaimRound {
    /// Holder of the own region only.
    OwnHolder,
    /// Holders of all regions.
    AllHolders,
    /// Holders of all regions, for the second time.
    Repeated,
}
