use super::*;

/// Serves HTTP/1 on `listener` with `handler` until the task is dropped or accepting fails.
pub async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let factory = HttpService::build()
        .h1(move |req: Request| {
            let answer = handler(req);
            async move { Ok::<_, Infallible>(answer.await) }
        })
        .tcp();
    let service = match factory.new_service(()).await {
        Ok(service) => Rc::new(service),
        Err(()) => return,
    };
    while let Ok((io, _)) = listener.accept().await {
        let _ = io.set_nodelay(true);
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            let _ = service.call(io).await;
        });
    }
}

/// Reads the body of a request to its end, or up to the point where the caller disconnects.
pub(crate) async fn read_body(mut payload: Payload) -> Bytes {
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk): Result<Bytes, PayloadError> = chunk else {
            break;
        };
        buf.extend_from_slice(&chunk);
    }
    buf.freeze()
}

/// Returns a response with `value` as its JSON body.
pub(crate) fn respond<T: Serialize>(status: StatusCode, value: &T) -> Response<BoxBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(text)
        .map_into_boxed_body()
}

/// Returns the load report of an upstream with `running` requests and an empty queue.
pub(crate) fn report_load(running: u64) -> Response<BoxBody> {
    #[derive(Serialize)]
    struct Load {
        queued_tokens: u64,
        running: u64,
    }
    let load = Load {
        queued_tokens: 0,
        running,
    };
    respond(StatusCode::OK, &load)
}
