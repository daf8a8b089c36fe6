/// Load of a region's engines of one service, as far as a VM knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotPressure {
    /// Requests in flight at the usable engines.
    pub in_flight: u32,
    /// Slots of the usable engines.
    pub slots: u32,
}
