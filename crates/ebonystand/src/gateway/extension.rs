use super::*;
use futures_util::future::LocalBoxFuture;

/// Answers requests on a [`Surface`].
pub type Handler = Rc<dyn Fn(Gateway, Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// What a program that embeds the daemon adds to it.
#[derive(Default)]
pub struct Extension {
    /// Names on the wire for callers and upstreams; the gateway's own ones if there is none. With
    /// one, all that callers ask for is served by routes.
    pub dialect: Option<Rc<dyn Dialect>>,
    /// Reads the settings again; `None` if that fails.
    pub reload: Option<reload::Reload>,
    /// Where the list of upstreams is read; the configuration's upstreams if there is none.
    pub source: Option<Rc<dyn UpstreamSource>>,
    /// Further addresses to listen on.
    pub surfaces: Vec<Surface>,
}

/// An address that answers HTTP requests of its own.
pub struct Surface {
    /// Where to listen.
    pub address: SocketAddr,
    /// What answers.
    pub handler: Handler,
}
