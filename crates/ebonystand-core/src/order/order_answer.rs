use super::*;

/// Complete response of an upstream to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderAnswer {
    /// Complete body of the response.
    pub body: Bytes,
    /// Value of the `Content-Type` header that the upstream sent.
    pub content_type: Box<str>,
    /// HTTP status code of the response.
    pub status: u16,
}

impl OrderAnswer {
    /// Returns the size in bytes that counts against the limits on stored answers.
    #[must_use]
    pub fn size(&self) -> usize {
        self.body.len() + self.content_type.len()
    }
}
