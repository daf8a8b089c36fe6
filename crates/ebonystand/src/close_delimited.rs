//! Bodies that end with their connection: those that an upstream has not framed, and streams to
//! callers of HTTP/1.0, which has no chunks.

use super::*;
use {
    actix_http::{
        ConnectionType, Version,
        body::{BodySize, MessageBody},
    },
    caller_connection::CloseMode,
    std::{
        error,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A body whose end is the orderly end of its connection.
struct CloseDelimited {
    body: BoxBody,
    close_mode: Option<CloseMode>,
}

/// Has the body of a response end with its connection if nothing else can tell its end.
pub(crate) fn wrap(
    mut response: Response<BoxBody>,
    version: Version,
    close_mode: Option<CloseMode>,
) -> Response<BoxBody> {
    let has_no_chunks = version < Version::HTTP_11 && response.body().size() == BodySize::Stream;
    if response.head().chunked() && !has_no_chunks {
        return response;
    }
    let head = response.head_mut();
    head.no_chunking(true);
    head.set_connection_type(ConnectionType::Close);
    if let Some(close_mode) = &close_mode {
        close_mode.set_resets(true);
    }
    response.map_body(|_, body| BoxBody::new(CloseDelimited { body, close_mode }))
}

impl MessageBody for CloseDelimited {
    type Error = Box<dyn error::Error>;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let next = Pin::new(&mut self.body).poll_next(cx);
        if matches!(next, Poll::Ready(None))
            && let Some(close_mode) = &self.close_mode
        {
            close_mode.set_resets(false);
        }
        next
    }
}
