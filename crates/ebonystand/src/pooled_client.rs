/// Client of one generation of a pool.
#[derive(Clone)]
pub(crate) struct PooledClient {
    pub(crate) client: awc::Client,
    pub(crate) generation: u64,
}
