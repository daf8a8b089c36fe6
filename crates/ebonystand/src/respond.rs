//! Answers to callers and operators.

use super::*;
use {ebonystand_core::EntryList, node::Node};

#[derive(Serialize)]
struct ErrorBody<'a> {
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    entry: Option<&'a EntryList>,
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: RefusalCode,
    message: &'a str,
    retry_after_ms: Option<u64>,
    run: RunState,
}

/// Has the connection closed after the answer if this VM is about to stop, so that no later request crosses its end.
pub(crate) fn close_if_leaving(node: &Node, response: &mut Response<BoxBody>) {
    if node.leaving() {
        let head = response.head_mut();
        head.set_connection_type(actix_http::ConnectionType::Close);
    }
}

/// The refusal as JSON, with the VMs to turn to if there are any.
pub(crate) fn error_body(refusal: &Refusal, entry: Option<&EntryList>) -> Vec<u8> {
    let retry_after = refusal.retry_after.map(|delay| delay.as_millis() as u64);
    let body = ErrorBody {
        entry,
        error: ErrorFields {
            code: refusal.code,
            message: &refusal.message,
            retry_after_ms: retry_after,
            run: refusal.run,
        },
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// A JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<BoxBody> {
    whole(
        status,
        "application/json",
        serde_json::to_vec(value).unwrap_or_default().into(),
    )
}

/// The answer that tells the caller of a refusal.
pub(crate) fn refusal(refusal: &Refusal, entry: Option<&EntryList>) -> Response<BoxBody> {
    let status =
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "application/json"));
    if let Some(delay) = refusal.retry_after {
        // The header counts whole seconds; rounding down would bring the caller back too early.
        let seconds = delay.as_millis().div_ceil(1_000).max(1);
        builder.insert_header(("retry-after", seconds.to_string()));
    }
    builder
        .body(error_body(refusal, entry))
        .map_into_boxed_body()
}

/// An answer whose body is at hand.
pub(crate) fn whole(status: StatusCode, content_type: &str, body: Bytes) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", content_type))
        .body(body)
        .map_into_boxed_body()
}
