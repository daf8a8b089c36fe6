//! Sends one request to one upstream.

use super::*;
use {
    answer_buffers::AnswerTooLarge,
    awc::{
        ClientResponse,
        error::{ConnectError, SendRequestError},
    },
    ebonystand_core::{AnswerPause, OrderAnswer, Priority, StreamFault},
    node::Node,
};

/// What is sent.
#[derive(Debug)]
pub(crate) struct Outgoing<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) body: Bytes,
    pub(crate) content_type: &'a str,
    /// Whether the request gets a connection of its own. One that must not run twice does: on a
    /// pooled one that the upstream has just closed, nobody could tell whether it was read. So
    /// does one whose answer may take its whole time to begin: on a pooled one that has gone
    /// silent it would wait for its deadline.
    pub(crate) fresh: bool,
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) priority: Priority,
    pub(crate) request_id: &'a str,
    pub(crate) timeout: Duration,
    pub(crate) upstream: &'a UpstreamId,
    pub(crate) workspace: &'a str,
}

/// Why an upstream gave no whole answer.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(false)), visibility(pub(crate)))]
pub(crate) enum DispatchFailure {
    #[snafu(display("the upstream broke off: {message}"))]
    Broken { message: Box<str> },
    #[snafu(display("the upstream cannot be connected to"))]
    Connect,
    #[snafu(display("the upstream sent an interim answer with status {status}"))]
    Interim { status: u16 },
    #[snafu(display("{source}"))]
    Large { source: AnswerTooLarge },
    #[snafu(display("the upstream answered {status}"))]
    Status { status: u16 },
    #[snafu(display("the upstream was silent for too long"))]
    Timeout,
}

impl DispatchFailure {
    /// Failure that a fault of a stream amounts to.
    pub(crate) fn of(fault: StreamFault) -> Self {
        match fault {
            StreamFault::Cancelled | StreamFault::Truncated => Self::Broken {
                message: fault.to_string().into(),
            },
            StreamFault::BetweenTokens | StreamFault::Deadline | StreamFault::FirstByte => {
                Self::Timeout
            }
        }
    }

    /// Whether it is certain that nothing was sent.
    pub(crate) fn not_started(&self) -> bool {
        matches!(self, Self::Connect)
    }

    pub(crate) fn refusal(&self) -> Refusal {
        let message = self.to_string();
        let code = RefusalCode::UpstreamFailed;
        let refusal = if self.not_started() {
            Refusal::not_run(code, message)
        } else {
            Refusal::possibly_run(code, message)
        };
        refusal.with_retry_after(Self::RETRY_AFTER)
    }

    const RETRY_AFTER: Duration = Duration::from_secs(1);
}

impl From<SendRequestError> for DispatchFailure {
    fn from(error: SendRequestError) -> Self {
        match error {
            // Only these come up before a byte of the request is handed to the connection. The
            // client reports a connection that closes after the request was read as `Disconnected`;
            // taken for one that could not be opened, an order that ran would be sent again.
            SendRequestError::Connect(
                ConnectError::Io(_)
                | ConnectError::NoRecords
                | ConnectError::Resolver(_)
                | ConnectError::Timeout
                | ConnectError::Unresolved,
            )
            | SendRequestError::Url(_) => Self::Connect,
            SendRequestError::Timeout => Self::Timeout,
            error => Self::Broken {
                message: error.to_string().into(),
            },
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) body: Bytes,
    pub(crate) content_type: Box<str>,
    pub(crate) status: StatusCode,
}

impl Answer {
    /// Tokens that an engine says it has generated: none with an error, `most` if it does not say.
    pub(crate) fn generated_tokens(&self, most: Tokens) -> Tokens {
        #[derive(Deserialize)]
        struct Completion {
            usage: Usage,
        }

        #[derive(Deserialize)]
        struct Usage {
            completion_tokens: Tokens,
        }

        if !self.status.is_success() {
            return 0;
        }
        let completion = serde_json::from_slice::<Completion>(&self.body);
        completion.map_or(most, |completion| completion.usage.completion_tokens)
    }
}

impl From<Answer> for OrderAnswer {
    fn from(answer: Answer) -> Self {
        Self {
            body: answer.body,
            content_type: answer.content_type,
            status: answer.status.as_u16(),
        }
    }
}

impl TryFrom<OrderAnswer> for Answer {
    type Error = Refusal;

    fn try_from(answer: OrderAnswer) -> Result<Self, Refusal> {
        let status = StatusCode::from_u16(answer.status).map_err(|_| Refusal {
            code: RefusalCode::UpstreamFailed,
            message: "the order ran; its answer has no HTTP status".into(),
            retry_after: None,
            run: RunState::Ran,
        })?;
        Ok(Self {
            body: answer.body,
            content_type: answer.content_type,
            status,
        })
    }
}

/// Sends the request and waits for the head of the answer.
pub(crate) async fn send(
    node: &Node,
    outgoing: &Outgoing<'_>,
) -> Result<ClientResponse, DispatchFailure> {
    let url = format!("http://{}{}", outgoing.address, outgoing.path);
    let pooled = node.clients.current();
    let client = if outgoing.fresh {
        &node.fresh_client
    } else {
        &pooled.client
    };
    let mut req = client
        .request(outgoing.method.clone(), url)
        .no_decompress()
        .timeout(outgoing.timeout)
        .insert_header(("content-type", outgoing.content_type))
        .insert_header(("via", loop_guard::VIA))
        .insert_header(("x-ebonystand-priority", outgoing.priority.to_string()))
        .insert_header(("x-ebonystand-request", outgoing.request_id))
        .insert_header(("x-ebonystand-workspace", outgoing.workspace));
    if outgoing.fresh {
        req = req.force_close();
    }
    let sent = req.send_body(outgoing.body.clone()).await;
    if let (Err(SendRequestError::Timeout), false) = (&sent, outgoing.fresh) {
        node.clients.give_up(&pooled);
    }
    let response = sent?;
    let status = response.status();
    if status.is_informational() {
        // The client takes the connection for idle, and the answer that follows on it for that to the next request.
        if !outgoing.fresh {
            node.clients.give_up(&pooled);
        }
        return Err(DispatchFailure::Interim {
            status: status.as_u16(),
        });
    }
    if !gateway::is_final(status) {
        return Err(DispatchFailure::Status {
            status: status.as_u16(),
        });
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let values = response.headers().get_all("retry-after");
        let pause = AnswerPause::parse(values.map(|value| value.to_str().unwrap_or_default()));
        node.routes
            .record_pause(node.clock.now(), outgoing.upstream, &pause);
    }
    Ok(response)
}

/// Reads the rest of an answer whose head has come.
pub(crate) async fn read_whole(
    node: &Node,
    mut response: ClientResponse,
    timeout: Duration,
) -> Result<Answer, DispatchFailure> {
    let limit = node.settings.limits.body_bytes;
    let status = response.status();
    if !is_framed(&response) {
        return Err(DispatchFailure::Broken {
            message: "the answer has neither a length nor chunks".into(),
        });
    }
    let content_type = content_type(&response);
    let collect = async {
        let mut buf = node.answer_buffers.open(limit);
        let too_large = |source| DispatchFailure::Large { source };
        while let Some(chunk) = buf.wait(response.next()).await.map_err(too_large)? {
            let chunk = chunk.map_err(|error| DispatchFailure::Broken {
                message: error.to_string().into(),
            })?;
            buf.push(&chunk).map_err(too_large)?;
        }
        Ok::<_, DispatchFailure>(buf.finish())
    };
    let body = actix_rt::time::timeout(timeout, collect)
        .await
        .map_err(|_| DispatchFailure::Timeout)??;
    Ok(Answer {
        body,
        content_type,
        status,
    })
}

/// Whether an answer states where its body ends. The HTTP client takes any other answer for one
/// without a body.
fn is_framed(response: &ClientResponse) -> bool {
    let has_no_body = matches!(
        response.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let headers = response.headers();
    has_no_body
        || headers.contains_key("content-length")
        || headers.contains_key("transfer-encoding")
}

/// Content type of an answer.
pub(crate) fn content_type(response: &ClientResponse) -> Box<str> {
    let value = response.headers().get("content-type");
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or("application/octet-stream").into()
}
