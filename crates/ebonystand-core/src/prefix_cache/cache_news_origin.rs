/// Sender of a report on cached prefixes, which determines the VMs that still need it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheNewsOrigin {
    /// A VM of another region; the own region still needs the report.
    OtherRegion,
    /// A relay, which informs the whole region itself.
    Relay,
    /// A VM that reports to this one; other regions still need the report.
    Reporter,
}
