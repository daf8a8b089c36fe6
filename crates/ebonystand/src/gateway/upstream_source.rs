use super::*;
use {ebonystand_core::ListedUpstream, futures_util::future::LocalBoxFuture};

/// Source of the list of running upstreams.
pub trait UpstreamSource {
    /// Reads the list of one availability zone, or of all zones if `zone` is `None`, once. A read
    /// that has found more than `max` upstreams may stop before the end of the list.
    ///
    /// # Errors
    /// [`FetchError`] if the list cannot be fetched or decoded.
    fn list<'a>(
        &'a self,
        fetch: &'a Fetch,
        zone: Option<&'a str>,
        max: usize,
    ) -> LocalBoxFuture<'a, Result<UpstreamRead, FetchError>>;
}

/// What a read of the list of running upstreams found.
#[derive(Clone, Debug)]
pub struct UpstreamRead {
    /// Where the read ended.
    pub end: ReadEnd,
    /// Number of malformed entries, which name no upstream.
    pub ignored: usize,
    /// Upstreams found.
    pub upstreams: Vec<ListedUpstream>,
}

/// Where a read of the list of running upstreams ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadEnd {
    /// At the end of the list.
    Complete,
    /// Beyond the number of upstreams that were asked for.
    Limit,
    /// Before the end of the list, the rest of which is malformed.
    Unreadable,
}
