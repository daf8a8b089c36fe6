use super::*;

/// Part of all upstreams that the list of a region covers.
///
/// A VM sends requests to the upstreams of its own region only. Those of other regions tell which
/// region can serve a request and where a cached prefix can be imported from, which is worth their
/// place on the list while there are few of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListScope {
    /// The upstreams of all regions.
    #[default]
    AllRegions,
    /// The upstreams of the region in which the list is read.
    OwnRegion,
}

impl ListScope {
    /// Most upstreams of all regions on a list that covers all of them.
    pub const MAX_OF_ALL_REGIONS: usize = 1_000;
    /// Upstreams of the own region below which a list of all regions is tried again: the number of
    /// all regions may then have fallen below [`Self::MAX_OF_ALL_REGIONS`].
    const RETRY_BELOW: usize = Self::MAX_OF_ALL_REGIONS / 10;

    /// Returns the scope of the next read after a read of `len` upstreams with this scope.
    #[must_use]
    pub fn after_read(self, len: usize) -> Self {
        match self {
            Self::AllRegions if len > Self::MAX_OF_ALL_REGIONS => Self::OwnRegion,
            Self::OwnRegion if len < Self::RETRY_BELOW => Self::AllRegions,
            scope => scope,
        }
    }
}
