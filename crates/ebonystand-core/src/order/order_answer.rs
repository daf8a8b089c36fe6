use super::*;

/// Whole answer of an upstream to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderAnswer {
    /// Body, whole.
    pub body: Bytes,
    /// Media type of the body, as the upstream named it.
    pub content_type: Box<str>,
    /// HTTP status.
    pub status: u16,
}

impl OrderAnswer {
    /// Bytes that count against the limits on stored answers.
    #[must_use]
    pub fn size(&self) -> usize {
        self.body.len() + self.content_type.len()
    }
}
