use super::*;
use futures_util::future::LocalBoxFuture;

/// Handles the requests that arrive on a [`Surface`].
pub type Handler = Rc<dyn Fn(Gateway, Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// Additions to the daemon by a program that embeds it.
#[derive(Default)]
pub struct Extension {
    /// Dialect of callers and upstreams; the native one if `None`. With a dialect, all requests of
    /// callers are served by routes.
    pub dialect: Option<Rc<dyn Dialect>>,
    /// Reads the settings again and returns `None` if that fails; the field is `None` if there is
    /// no such function.
    pub reload: Option<reload::Reload>,
    /// Source of the list of upstreams; the upstreams of the configuration if `None`.
    pub source: Option<Rc<dyn UpstreamSource>>,
    /// Additional addresses to listen on.
    pub surfaces: Vec<Surface>,
}

/// An additional listening address with its own request handler.
pub struct Surface {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Function that handles each request.
    pub handler: Handler,
}
