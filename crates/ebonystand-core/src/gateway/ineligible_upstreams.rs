use super::*;

/// Number of a service's upstreams by the reason why they cannot get a request in this region.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display(
    "{listed} listed, {elsewhere} in other regions, {leaving} leaving, {evacuated} evacuated, {cold} cold, {limited} limited, {paused} paused, {other_software} of another software version, {excluded} tried, home here: {is_home}"
)]
pub struct IneligibleUpstreams {
    /// Upstreams that are cold and have used up their rate.
    pub cold: u32,
    /// Upstreams in other regions.
    pub elsewhere: u32,
    /// Upstreams in evacuated zones.
    pub evacuated: u32,
    /// Upstreams that were already tried for the request.
    pub excluded: u32,
    /// Whether the request may be served in this region at all.
    pub is_home: bool,
    /// Upstreams that are draining and take no new requests.
    pub leaving: u32,
    /// Upstreams that have a limit and to which other VMs send.
    pub limited: u32,
    /// Upstreams of the service on the list, in any region.
    pub listed: u32,
    /// Upstreams of software versions that must not get the request.
    pub other_software: u32,
    /// Upstreams that have asked this VM for a pause.
    pub paused: u32,
}
