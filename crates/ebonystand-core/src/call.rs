use super::*;

/// Call that a plain service offers, identified by method and path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method in upper case.
    pub method: Box<str>,
    /// Whether the call must not run twice. Such a call needs an order key and is recorded in the
    /// journal before it is sent.
    pub once: bool,
    /// Path below the service, without the leading slash; a `*` at the end matches any rest.
    pub path: Box<str>,
}

impl Call {
    /// Returns whether a request with this method and path matches the call.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        if &*self.method != method {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => &*self.path == path,
        }
    }
}
