use super::*;
use {ebonystand_core::ListedUpstream, futures_util::future::LocalBoxFuture};

/// Where the upstreams that run are listed.
pub trait UpstreamSource {
    /// Reads the whole list once.
    fn list<'a>(
        &'a self,
        fetch: &'a Fetch,
    ) -> LocalBoxFuture<'a, Result<Vec<ListedUpstream>, FetchError>>;
}
