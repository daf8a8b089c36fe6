//! Reads a request's body within its bounds.

use super::*;

/// Times the largest body that is read and thrown away after a refusal.
const DISCARDED: usize = 4;

/// Reads on after a refusal. A caller that is still sending when its connection is closed gets a
/// reset in place of the answer, and never learns why it was refused. When this VM ends, it gets no other chance.
pub(crate) async fn discard(node: &Node, payload: &mut Payload) {
    let limits = &node.settings.limits;
    let mut left = limits.body_bytes * DISCARDED;
    let rest = async {
        while let Some(Ok(chunk)) = payload.next().await {
            left = left.saturating_sub(chunk.len());
            if left == 0 {
                return;
            }
        }
    };
    // What is not read in time is not read at all; the connection is closed.
    tokio::select! {
        _ = actix_rt::time::timeout(limits.body_timeout, rest) => {}
        () = node.ended() => {}
    }
}

pub(crate) async fn read(
    node: &Node,
    headers: &HeaderMap,
    payload: &mut Payload,
) -> Result<Bytes, Refusal> {
    let limit = node.settings.limits.body_bytes;
    let announced = headers
        .get("content-length")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    if announced.is_some_and(|len| len > limit) {
        return Err(too_large(limit));
    }
    let whole = collect(payload, limit);
    match actix_rt::time::timeout(node.settings.limits.body_timeout, whole).await {
        Ok(body) => body,
        Err(_) => Err(Refusal::not_run(
            RefusalCode::BadBody,
            "the body did not arrive in time",
        )),
    }
}

async fn collect(payload: &mut Payload, limit: usize) -> Result<Bytes, Refusal> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            let message = format!("the body cannot be read: {error}");
            Refusal::not_run(RefusalCode::BadBody, message)
        })?;
        if buf.len() + chunk.len() > limit {
            return Err(too_large(limit));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

fn too_large(limit: usize) -> Refusal {
    let message = format!("the body is larger than {limit} bytes");
    Refusal::not_run(RefusalCode::BodyTooLarge, message)
}

use node::Node;
