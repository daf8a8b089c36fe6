use super::*;
use {ebonystand_core::ListedUpstream, futures_util::future::LocalBoxFuture};

/// Source of the list of running upstreams.
pub trait UpstreamSource {
    /// Reads the whole list once.
    ///
    /// # Errors
    /// [`FetchError`] if the list cannot be fetched or decoded.
    fn list<'a>(
        &'a self,
        fetch: &'a Fetch,
    ) -> LocalBoxFuture<'a, Result<Vec<ListedUpstream>, FetchError>>;
}
