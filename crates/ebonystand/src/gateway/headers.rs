//! Headers that concern one connection only.

use super::*;
use actix_http::header::{HeaderName, HeaderValue};

const OF_CONNECTION: [&str; 10] = [
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

/// The headers that go on past this connection, without those in `dropped`.
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
        let is_dropped = OF_CONNECTION.contains(&text)
            || dropped.contains(&text)
            || named.iter().any(|named| named == text);
        if !is_dropped {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// Sets a header whose value is made of visible characters; another one is left out and logged.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(error) => log::warn!(name = name, error:% = error; "header left out"),
    }
}

/// Text of a header.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
