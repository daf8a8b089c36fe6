use super::*;
use {
    serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor},
    xxhash_rust::xxh3::Xxh3,
};

/// What the gateway needs to know of a chat completion. Its body is passed on as it came.
///
/// The visitor is written by hand: it runs for each request and must neither build a tree of the
/// conversation nor copy its text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ChatRequest {
    pub(crate) max_tokens: Tokens,
    pub(crate) model: Box<str>,
    /// Hash of all messages but the last, which an engine may have cached.
    pub(crate) prefix: u64,
    /// Tokens of those messages.
    pub(crate) prefix_tokens: Tokens,
    pub(crate) prompt_tokens: Tokens,
    pub(crate) stream: bool,
}

impl ChatRequest {
    /// Bytes of text that a token is reckoned at.
    const BYTES_PER_TOKEN: u64 = 4;
    /// Output reserved for a request that names no maximum.
    const DEFAULT_MAX_TOKENS: Tokens = 1_024;
    /// Largest output a request may ask for.
    const LIMIT: Tokens = 1 << 20;

    pub(crate) fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let refuse = |message: Box<str>| Refusal::not_run(RefusalCode::BadBody, message);
        let req: Self = serde_json::from_slice(body)
            .map_err(|error| refuse(format!("not a chat completion: {error}").into()))?;
        if req.max_tokens == 0 || req.max_tokens > Self::LIMIT {
            let message = format!("max_tokens must be between 1 and {}", Self::LIMIT);
            return Err(refuse(message.into()));
        }
        Ok(req)
    }

    /// Tokens reserved for the request.
    pub(crate) fn tokens(&self) -> Tokens {
        self.max_tokens + self.prompt_tokens
    }
}

impl<'de> Deserialize<'de> for ChatRequest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChatVisitor)
    }
}

struct ChatVisitor;

impl<'de> Visitor<'de> for ChatVisitor {
    type Value = ChatRequest;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an object with `model` and `messages`")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ChatRequest, A::Error> {
        let mut max_tokens = None;
        let mut messages: Option<Messages> = None;
        let mut model = None;
        let mut stream = None;
        while let Some(name) = map.next_key::<std::borrow::Cow<str>>()? {
            match &*name {
                "max_completion_tokens" | "max_tokens" => max_tokens = map.next_value()?,
                "messages" => messages = Some(map.next_value()?),
                "model" => model = Some(map.next_value()?),
                "stream" => stream = map.next_value()?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        let messages = messages.ok_or_else(|| serde::de::Error::missing_field("messages"))?;
        if messages.count == 0 {
            return Err(serde::de::Error::custom("`messages` is empty"));
        }
        Ok(ChatRequest {
            max_tokens: max_tokens.unwrap_or(ChatRequest::DEFAULT_MAX_TOKENS),
            model: model.ok_or_else(|| serde::de::Error::missing_field("model"))?,
            prefix: messages.prefix,
            prefix_tokens: messages.prefix_bytes / ChatRequest::BYTES_PER_TOKEN,
            prompt_tokens: messages.bytes.div_ceil(ChatRequest::BYTES_PER_TOKEN),
            stream: stream.unwrap_or(false),
        })
    }
}

struct Messages {
    bytes: u64,
    count: usize,
    prefix: u64,
    prefix_bytes: u64,
}

impl<'de> Deserialize<'de> for Messages {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(MessagesVisitor)
    }
}

struct MessagesVisitor;

impl<'de> Visitor<'de> for MessagesVisitor {
    type Value = Messages;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Messages, A::Error> {
        let mut hasher = Xxh3::new();
        let mut messages = Messages {
            bytes: 0,
            count: 0,
            prefix: 0,
            prefix_bytes: 0,
        };
        while let Some(message) = seq.next_element::<&serde_json::value::RawValue>()? {
            let text = message.get().as_bytes();
            if messages.count > 0 {
                messages.prefix = hasher.digest();
                messages.prefix_bytes = messages.bytes;
            }
            hasher.update(text);
            messages.bytes += text.len() as u64;
            messages.count += 1;
        }
        Ok(messages)
    }
}
