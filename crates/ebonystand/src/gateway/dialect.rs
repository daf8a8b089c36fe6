use super::*;

/// Encoding of the gateway's metadata in the HTTP messages of callers and upstreams.
pub trait Dialect {
    /// Decodes the metadata in the head of an upstream's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMarks;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// A refusal if the head is malformed.
    fn read(&self, req: &Request) -> Result<CallHead, Refusal>;

    /// Returns the status that tells callers of a refusal; `None` if it is the code's own.
    fn refusal_status(&self, _code: RefusalCode) -> Option<StatusCode> {
        None
    }

    /// Adds the gateway's metadata to the headers of a request to an upstream.
    fn write(&self, call: &OutgoingCall, headers: &mut HeaderMap);
}
