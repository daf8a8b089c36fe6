use super::*;

/// Why an [`FencedRole`] gives no order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FencedRoleError {
    /// Its lease has run out.
    #[snafu(display("the lease on the role has run out"))]
    LeaseExpired,
    /// Another process holds the role, or none.
    #[snafu(display("this VM does not hold the role"))]
    NotHolder,
    /// The upstream's state was not read since the predecessor's last order took effect.
    #[snafu(display("the upstream's state must be read first"))]
    StateUnread,
    /// Orders of the predecessor may still take effect.
    #[snafu(display("orders of the last holder may still take effect"))]
    PredecessorActive,
}
