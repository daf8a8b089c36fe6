/// Which VMs know what a VM tells of engines' caches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheNews {
    /// A VM of another region: the own region is to be told.
    Away,
    /// A relay: the whole region is told.
    Relayed,
    /// A VM that reports to this one: other regions are to be told.
    Reported,
}
