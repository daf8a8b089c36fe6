use super::*;

/// Names on the wire, towards callers and upstreams.
pub trait Dialect {
    /// Decodes what an upstream's answer says beside the answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMarks;

    /// Decodes the head of a request.
    ///
    /// # Errors
    /// A refusal if it is malformed.
    fn read(&self, req: &Request) -> Result<CallHead, Refusal>;

    /// Adds to the headers of a request what the gateway says to its upstream.
    fn write(&self, call: &OutgoingCall, headers: &mut HeaderMap);
}
