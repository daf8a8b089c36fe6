//! Accepts HTTP connections and hands their requests to a handler.

use super::*;
use {
    actix_http::Extensions,
    caller_connection::{CallerConnection, CloseMode},
    ebonystand_core::HeldAnswers,
    in_flight::InFlight,
    listeners::Listeners,
    slow_readers::{ConnectionAccount, SlowReaders},
    std::pin::pin,
};

/// Idle time after which a caller's connection is closed; longer than callers keep theirs.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Bounds of one listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HttpBounds {
    pub(crate) connections: usize,
    pub(crate) head_timeout: Duration,
}

/// Serves HTTP on `listener` until `listeners` are closed; connections outlive it.
pub(crate) async fn serve<F, R>(
    listener: TcpListener,
    bounds: HttpBounds,
    readers: Rc<SlowReaders>,
    listeners: Rc<Listeners>,
    handler: F,
) where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let signals = Rc::clone(&listeners);
    let factory = HttpService::build()
        .h1_write_buffer_size(HeldAnswers::CONNECTION_BYTES)
        .client_request_timeout(bounds.head_timeout)
        .keep_alive(KEEP_ALIVE)
        // A caller that closes its end has left: what runs for it is ended, upstream too.
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || signals.closed())
        .on_connect_ext(
            |connection: &CallerConnection, extensions: &mut Extensions| {
                extensions.insert(connection.account());
                extensions.insert(connection.close_mode());
                extensions.insert(connection.presence());
            },
        )
        .h1(move |req: Request| {
            let account = req.conn_data::<ConnectionAccount>().cloned();
            let close_mode = req.conn_data::<CloseMode>().cloned();
            let version = req.version();
            let answer = handler(req);
            async move {
                let response = close_delimited::wrap(answer.await, version, close_mode);
                Ok::<_, Infallible>(match account {
                    Some(account) => account.count_body(response),
                    None => response,
                })
            }
        });
    let Ok(service) = factory.new_service(()).await else {
        log::error!("the HTTP service cannot be made");
        return;
    };
    let service = Rc::new(service);
    let connections = Rc::new(Cell::new(0));
    let lingering = Rc::new(Cell::new(0));
    let mut closed = pin!(listeners.closed());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closed => return,
        };
        let io = match accepted {
            Ok((io, _)) => io,
            Err(error) => {
                // Out of file descriptors: accepting again at once would spin.
                log::warn!(error:% = error; "cannot accept a connection");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Some(connection) = InFlight::enter(&connections, bounds.connections) else {
            log::warn!(limit = bounds.connections; "connection refused: too many are open");
            continue;
        };
        // A delayed small write would add the peer's delayed acknowledgement to each token.
        let _ = io.set_nodelay(true);
        let service = Rc::clone(&service);
        let account = ConnectionAccount::open(&readers);
        let lingering = Rc::clone(&lingering);
        let open = listeners.enter_connection();
        actix_rt::spawn(async move {
            let (_connection, _open) = (connection, open);
            let address = io.peer_addr().ok();
            let connection = CallerConnection::new(io, account, &lingering);
            if let Err(error) = service.call((connection, address)).await {
                log::debug!(error:% = error; "connection ended");
            }
        });
    }
}
