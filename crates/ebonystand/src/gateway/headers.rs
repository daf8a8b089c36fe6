//! Access to HTTP headers and removal of hop-by-hop headers, which concern only one connection.

use super::*;
use {
    actix_http::header::{HeaderName, HeaderValue},
    ebonystand_core::StreamResumption,
};

/// Headers that are not passed on to the other side of the gateway.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "http2-settings",
];

/// Copies the end-to-end headers: all but hop-by-hop headers, headers named by `connection`, and
/// those in `dropped`, which are lower-case names.
pub fn passed_on(headers: &HeaderMap, dropped: &[&str]) -> HeaderMap {
    let named = headers.get_all("connection");
    let named = named
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase());
    let named = named.collect::<Vec<_>>();
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_dropped = HOP_BY_HOP.contains(&text)
            || dropped.contains(&text)
            || named.iter().any(|named| named == text);
        if !is_dropped {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// Sets a header. A value with characters that a header can't carry is logged and the header left
/// unset.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(error) => {
            log::warn!(name = name, error:% = error; "header not set: its value has invalid characters")
        }
    }
}

/// Returns the value of a header if it is present and made of visible ASCII characters.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns which stream a request takes up again, by the header with the last event and the one that names the
/// attempt that brought the first event; `None` if it takes up none.
pub fn resumption(
    headers: &HeaderMap,
    last_event: &str,
    first_attempt: &str,
) -> Option<StreamResumption> {
    let is_resumption = headers.contains_key(last_event) || headers.contains_key(first_attempt);
    let first_attempt = text(headers, first_attempt).map(str::trim);
    let first_attempt = first_attempt.filter(|attempt| !attempt.is_empty());
    is_resumption.then(|| StreamResumption {
        first_attempt: first_attempt.map(Into::into),
    })
}
