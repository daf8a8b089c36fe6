use super::*;

/// Reason why a [`FencedRole`] permits no order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FencedRoleError {
    /// The lease on the role has expired.
    #[snafu(display("the lease on the role has run out"))]
    LeaseExpired,
    /// Another process holds the role, or nobody does.
    #[snafu(display("this VM does not hold the role"))]
    NotHolder,
    /// The upstream's state has not been read since the predecessor's last order took effect.
    #[snafu(display("the upstream's state must be read first"))]
    StateUnread,
    /// Orders of the predecessor may still take effect.
    #[snafu(display("orders of the last holder may still take effect"))]
    PredecessorActive,
}
