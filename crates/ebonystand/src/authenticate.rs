//! Filter: finds the workspace whose key came with the request.

use super::*;
use {caller::Caller, node::Node, subtle::ConstantTimeEq as _};

pub(crate) fn check(node: &Node, req: &Request) -> Result<Caller, Refusal> {
    let secret = bearer(req.headers()).ok_or_else(unauthorized)?;
    node.caller(&KeyHash::from_secret(secret))
        .ok_or_else(unauthorized)
}

/// The bearer token of these headers.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Whether two digests are equal, in a time that does not tell where they differ.
pub(crate) fn same(a: &KeyHash, b: &KeyHash) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

fn unauthorized() -> Refusal {
    Refusal::not_run(
        RefusalCode::Unauthorized,
        "no valid key came with the request",
    )
}
