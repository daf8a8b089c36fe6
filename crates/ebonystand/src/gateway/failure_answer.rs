use super::*;
use {
    answer_buffers::{AnswerBuffer, AnswerTooLarge},
    call::Call,
    node::Node,
};

/// Answer of an upstream that reports a failure, for the caller if the request is not retried.
///
/// What comes at once is read before the decision about a retry, so that the connection can be used again. The rest
/// is read only for the caller.
pub(crate) struct FailureAnswer {
    address: SocketAddr,
    body: Bytes,
    headers: HeaderMap,
    instance: UpstreamId,
    is_unframed: bool,
    /// Connection with the rest of the body; `None` once the body is whole.
    rest: Option<ResponseReader>,
    status: StatusCode,
}

/// Reason why the rest of a failure's body is not read.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(false)))]
enum BodyFault {
    #[snafu(display("{source}"))]
    Connection { source: ConnectionFault },
    #[snafu(display("{source}"))]
    Large { source: AnswerTooLarge },
}

impl FailureAnswer {
    /// Most bytes of the body that are read before the decision about a retry.
    const MAX_FIRST_BYTES: usize = 64 << 10;
    /// Longest time to read the body before the decision about a retry.
    const MAX_FIRST_TIME: Duration = Duration::from_millis(200);
    /// Longest time to read the rest, so that a caller hears of the failure while it can still do something about it.
    const MAX_REST_TIME: Duration = Duration::from_secs(2);

    /// Reads the begin of the body, and the whole body if it comes at once. Returns `None` if the answer can't be passed on:
    /// its body breaks off, or its status promises callers that the request has not run.
    pub(crate) async fn begin(
        node: &Node,
        call: &Call,
        mut reader: ResponseReader,
        address: SocketAddr,
        instance: &UpstreamId,
        headers: HeaderMap,
        is_unframed: bool,
    ) -> Option<Box<Self>> {
        let status = reader.head().status;
        let mut body = BytesMut::new();
        let read = async {
            while body.len() <= Self::MAX_FIRST_BYTES {
                match reader.next().await? {
                    Some(bytes) => body.extend_from_slice(&bytes),
                    None => return Ok(true),
                }
            }
            Ok::<_, ConnectionFault>(false)
        };
        let is_whole = match actix_rt::time::timeout(Self::MAX_FIRST_TIME, read).await {
            Ok(Err(fault)) => {
                log::warn!(request:% = call.request, upstream:% = instance, status = status.as_u16(), fault:% = fault; "failure broke off");
                return None;
            }
            Ok(Ok(is_whole)) => is_whole,
            Err(_) => false,
        };
        let rest = match is_whole {
            true => {
                let now = node.clock.now();
                node.gateway.pool.put(now, address, instance, reader);
                None
            }
            false => Some(reader),
        };
        let answer = Self {
            address,
            body: body.freeze(),
            headers,
            instance: instance.clone(),
            is_unframed,
            rest,
            status,
        };
        let is_allowed = RunState::Unknown.allows(status.as_u16());
        is_allowed.then(|| Box::new(answer))
    }

    /// Reads the rest of the body. Returns `None` if it does not come.
    pub(crate) async fn read_rest(
        mut self: Box<Self>,
        node: &Node,
        call: &Call,
    ) -> Option<Box<Self>> {
        let Some(mut reader) = self.rest.take() else {
            return Some(self);
        };
        let mut whole = node.answer_buffers.open(node.settings.limits.body_bytes);
        let longest = call.remaining_time(node).min(Self::MAX_REST_TIME);
        let read = Self::fill(&mut whole, &self.body, &mut reader);
        let status = self.status.as_u16();
        match actix_rt::time::timeout(longest, read).await {
            Ok(Ok(())) => {}
            Ok(Err(fault)) => {
                log::warn!(request:% = call.request, upstream:% = self.instance, status = status, fault:% = fault; "failure broke off");
                return None;
            }
            Err(_) => {
                log::warn!(request:% = call.request, upstream:% = self.instance, status = status, waited_ms = longest.as_millis() as u64; "failure given up: its body does not end");
                return None;
            }
        }
        self.body = whole.finish();
        let now = node.clock.now();
        let pool = &node.gateway.pool;
        pool.put(now, self.address, &self.instance, reader);
        Some(self)
    }

    async fn fill(
        whole: &mut AnswerBuffer,
        first: &[u8],
        reader: &mut ResponseReader,
    ) -> Result<(), BodyFault> {
        whole.push(first).context(Large)?;
        while let Some(bytes) = whole
            .wait(reader.next())
            .await
            .context(Large)?
            .context(Connection)?
        {
            whole.push(&bytes).context(Large)?;
        }
        Ok(())
    }

    /// Builds the response from a body that is whole.
    pub(crate) fn into_response(self: Box<Self>) -> Response<BoxBody> {
        call::buffered_response(self.status, &self.headers, self.body, self.is_unframed)
    }
}
