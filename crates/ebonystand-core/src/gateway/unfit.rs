use super::*;

/// Why none of a service's upstreams in this region may be sent a request, by numbers of upstreams.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display(
    "{listed} listed, {elsewhere} in other regions, {leaving} leaving, {evacuated} evacuated, {cold} cold, {excluded} tried, home here: {is_home}"
)]
pub struct Unfit {
    /// Cold, and sent as much as they bear.
    pub cold: u32,
    /// In other regions.
    pub elsewhere: u32,
    /// In a zone that is evacuated.
    pub evacuated: u32,
    /// Tried before.
    pub excluded: u32,
    /// Whether the request may be served in this region.
    pub is_home: bool,
    /// Finishing what they have.
    pub leaving: u32,
    /// On the list.
    pub listed: u32,
}
