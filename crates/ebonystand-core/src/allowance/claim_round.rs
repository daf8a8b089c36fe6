/// Whom a request has been claimed from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ClaimRound {
    /// The holder of the own region.
    Own,
    /// All holders.
    All,
}
