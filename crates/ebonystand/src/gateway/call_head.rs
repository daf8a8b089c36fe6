use super::*;
use ebonystand_core::{Prompt, StreamResumption};

/// Decoded head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Time that the caller is willing to wait for the whole answer, if the request states one.
    pub deadline: Option<Duration>,
    /// Headers to send to the upstream, without hop-by-hop headers, the API key and the headers
    /// that the gateway sets itself.
    pub headers: HeaderMap,
    /// Host that the request names.
    pub host: Box<str>,
    /// Hash of the secret of the API key, if the request has one.
    pub key: Option<KeyHash>,
    /// Description of the prompt, if the request has one.
    pub prompt: Option<Prompt>,
    /// Identifier of the request.
    pub request: Box<str>,
    /// Stream that the caller takes up again, if it does.
    pub resumption: Option<StreamResumption>,
}
