/// Sender of a report on cached prefixes, which determines the VMs that still need it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheNewsOrigin {
    /// A VM of another region; the own region still needs the report.
    OtherRegion,
    /// A relay, which informs the other relays and the other regions itself; the VMs that report to
    /// this one still need the report.
    Relay,
    /// A VM that reports to this one; the other relays, the other VMs that report to this one and
    /// the other regions still need the report.
    Reporter,
}
