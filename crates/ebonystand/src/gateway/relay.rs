use super::*;
use {
    actix_http::ResponseHead,
    allowance_controller::Reserved,
    answer_buffers::AnswerTooLarge,
    attempt::Attempt,
    call::{Answered, Call},
    ebonystand_core::{AttemptEnd, CallKind, EventBoundary},
    in_flight::InFlight,
    node::Node,
    tokio::sync::watch,
};

/// Passes an upstream's answer on to a caller, and holds the request's resources until the answer
/// ends or the caller disconnects.
pub(crate) struct Relay {
    address: SocketAddr,
    reader: Option<ResponseReader>,
    attempt: Option<Attempt>,
    /// Time by which the whole answer is due.
    end: Duration,
    /// Place in the stream of events; `None` for other answers.
    events: Option<EventBoundary>,
    first: Option<Bytes>,
    /// Resources of the request, released when the relay is dropped.
    _resources: RequestResources,
    instance: UpstreamId,
    /// Whether an engine generates the answer, as a stream of events.
    is_stream: bool,
    /// Whether the upstream has framed the body neither by a length nor by chunks.
    is_unframed: bool,
    kind: CallKind,
    /// Tells when this VM ends what still runs.
    ends: watch::Receiver<bool>,
    node: Rc<Node>,
    /// Longest answer that the prompt allows; `None` without a prompt.
    output: Option<Tokens>,
    request: Box<str>,
    requires_framing: bool,
    /// Time at which the request was sent.
    sent: Duration,
    service: ServiceId,
    started: Duration,
    /// Workspace whose latency metrics include this answer. `None` on public routes, and on a VM
    /// that serves the request for another region.
    workspace: Option<WorkspaceId>,
    bytes: u64,
}

/// Where an answer comes from.
pub(crate) struct AnswerSource<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) instance: &'a UpstreamId,
    /// Whether the body is framed neither by a length nor by chunks.
    pub(crate) is_unframed: bool,
    /// Time at which the request was sent.
    pub(crate) sent: Duration,
}

/// Resources that a request holds until its answer has ended. They are released by dropping this
/// value.
#[derive(Default)]
pub(crate) struct RequestResources {
    _in_flight: Option<InFlight>,
    _reserved: Option<Reserved>,
}

impl RequestResources {
    pub(crate) fn new(in_flight: InFlight, reserved: Option<Reserved>) -> Self {
        Self {
            _in_flight: Some(in_flight),
            _reserved: reserved,
        }
    }
}

/// Reason why an answer to a caller is cut off.
#[derive(Debug, Snafu)]
pub(crate) enum RelayFault {
    #[snafu(display("the deadline of the request has passed"))]
    Deadline,
    #[snafu(display("this VM has ended"))]
    Departure,
    #[snafu(display("the upstream closed the answer before its end"))]
    Upstream,
    #[snafu(display("the answer has ended with its connection and may be incomplete"))]
    Unframed,
}

impl Relay {
    /// Pause between the last bytes of an interrupted answer and the close of the caller's
    /// connection. The HTTP server discards unwritten data when a body ends in an error; without
    /// the pause, the caller would lose events or even the head that had already arrived.
    const FLUSH_DELAY: Duration = Duration::from_millis(20);

    /// Waits for the first bytes of the body. Once they have arrived, the request is not retried if
    /// the answer is streamed. A stream that ends without an event and without framing is no answer.
    pub(crate) async fn start(
        node: &Rc<Node>,
        call: &Call,
        mut reader: ResponseReader,
        source: AnswerSource<'_>,
        wait: Duration,
    ) -> Result<Self, AttemptEnd> {
        let AnswerSource {
            address,
            instance,
            is_unframed,
            sent,
        } = source;
        let events = is_event_stream(reader.head()).then(EventBoundary::default);
        let first = match actix_rt::time::timeout(wait, reader.next()).await {
            Ok(Ok(None)) if is_unframed && events.is_some() => {
                log::warn!(request:% = call.request, upstream:% = instance; "closed before its first event");
                return Err(AttemptEnd::Lost);
            }
            Ok(Ok(first)) => first,
            Ok(Err(fault)) => {
                log::warn!(request:% = call.request, upstream:% = instance, fault:% = fault; "broke off before its first byte");
                return Err(AttemptEnd::Lost);
            }
            Err(_) => {
                node.gateway.pool.close_idle(address);
                log::warn!(request:% = call.request, upstream:% = instance; "silent before its first byte");
                return Err(AttemptEnd::TimedOut);
            }
        };
        Ok(Self {
            address,
            reader: Some(reader),
            attempt: None,
            bytes: 0,
            end: call.end,
            ends: node.watch_end(),
            events,
            first,
            _resources: RequestResources::default(),
            instance: instance.clone(),
            is_stream: call.prompt.is_some(),
            is_unframed,
            kind: call.kind,
            node: Rc::clone(node),
            output: call.prompt.as_ref().map(|prompt| prompt.output),
            request: call.request.clone(),
            requires_framing: false,
            sent,
            service: call.service.clone(),
            started: call.arrived,
            workspace: None,
        })
    }

    /// Attaches the attempt and returns the head of the answer with the relay of its body.
    pub(crate) fn into_answered(mut self, attempt: Option<Attempt>) -> Answered {
        self.attempt = attempt;
        let head = self.reader.as_ref().map(ResponseReader::head);
        let (status, headers) = match head {
            Some(head) => (head.status, headers::passed_on(&head.headers, &[])),
            None => (StatusCode::BAD_GATEWAY, HeaderMap::new()),
        };
        Answered {
            headers,
            relay: self,
            software: None,
            status,
        }
    }

    /// Whether nothing tells the end of the answer but that its connection ends.
    pub(crate) fn is_unframed(&self) -> bool {
        self.is_unframed
    }

    /// Records the time to the first token in a workspace's metrics, and has the total time
    /// recorded when the answer ends.
    pub(crate) fn record_latencies_for(&mut self, workspace: Option<WorkspaceId>) {
        let Some(id) = &workspace else { return };
        let waited = self.node.clock.now().saturating_sub(self.started);
        let label = self.node.metrics.workspace(id);
        let first = self.node.metrics.first_token.get_or_create(&label);
        first.observe(waited.as_secs_f64());
        self.workspace = workspace;
    }

    /// Has the answer cut off at its end if it is unframed, for a VM that does not understand
    /// [`forward::UNFRAMED`].
    pub(crate) fn require_framing(&mut self) {
        self.requires_framing = true;
    }

    pub(crate) fn set_resources(&mut self, resources: RequestResources) {
        self._resources = resources;
    }

    /// Streams the answer as it arrives. An interrupted answer ends in an error, which closes the
    /// caller's connection; otherwise a partial answer would look complete.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, RelayFault>> {
        stream::unfold(self, |mut relay| async move {
            let item = relay.next().await.transpose()?;
            if item.is_err() {
                actix_rt::time::sleep(Self::FLUSH_DELAY).await;
            }
            Some((item, relay))
        })
    }

    /// Reads the whole answer, up to `limit` bytes.
    pub(crate) async fn read_whole(mut self, limit: usize) -> Result<Bytes, AttemptEnd> {
        let mut whole = self.node.answer_buffers.open(limit);
        loop {
            let next = whole.wait(self.next()).await;
            match next.map_err(|error| self.give_up(&error))? {
                Ok(Some(bytes)) => {
                    let pushed = whole.push(&bytes);
                    pushed.map_err(|error| self.give_up(&error))?;
                }
                Err(RelayFault::Upstream | RelayFault::Unframed) => return Err(AttemptEnd::Lost),
                Ok(None) => return Ok(whole.finish()),
                Err(RelayFault::Deadline | RelayFault::Departure) => {
                    return Err(AttemptEnd::TimedOut);
                }
            }
        }
    }

    /// Ends the attempt because its answer is too large to be read whole.
    fn give_up(&mut self, error: &AnswerTooLarge) -> AttemptEnd {
        log::warn!(request:% = self.request, upstream:% = self.instance, error:% = error; "given up");
        self.abandon(AttemptEnd::Lost);
        AttemptEnd::Lost
    }

    async fn next(&mut self) -> Result<Option<Bytes>, RelayFault> {
        if let Some(first) = self.first.take() {
            self.record_bytes(&first);
            return Ok(Some(first));
        }
        let Some(reader) = &mut self.reader else {
            return Ok(None);
        };
        let left = self.end.saturating_sub(self.node.clock.now());
        // A timeout alone would let bytes through that are there already, and with an upstream that
        // sends them without end there always are some.
        let next = match left.is_zero() || self.node.has_ended() {
            true => None,
            false => tokio::select! {
                biased;
                next = actix_rt::time::timeout(left, reader.next()) => next.ok(),
                _ = self.ends.wait_for(|ends| *ends) => None,
            },
        };
        match next {
            Some(Ok(Some(bytes))) => {
                self.record_bytes(&bytes);
                Ok(Some(bytes))
            }
            Some(Ok(None))
                if self
                    .events
                    .as_ref()
                    .is_some_and(EventBoundary::is_inside_event) =>
            {
                log::warn!(request:% = self.request, upstream:% = self.instance, framing:% = self.framing(), bytes = self.bytes; "ended inside an event");
                self.abandon(AttemptEnd::Lost);
                Err(RelayFault::Upstream)
            }
            Some(Ok(None)) => {
                self.finish();
                match self.is_unframed && self.requires_framing {
                    true => Err(RelayFault::Unframed),
                    false => Ok(None),
                }
            }
            Some(Err(fault)) => {
                log::warn!(request:% = self.request, upstream:% = self.instance, framing:% = self.framing(), fault:% = fault, bytes = self.bytes; "broke off midway");
                self.abandon(AttemptEnd::Lost);
                Err(RelayFault::Upstream)
            }
            None if self.node.has_ended() => {
                log::warn!(request:% = self.request, upstream:% = self.instance, bytes = self.bytes; "cut off: this VM ends");
                self.abandon(AttemptEnd::Cancelled);
                Err(RelayFault::Departure)
            }
            None => {
                log::warn!(request:% = self.request, upstream:% = self.instance, bytes = self.bytes; "cut off: its time is over");
                self.abandon(AttemptEnd::TimedOut);
                Err(RelayFault::Deadline)
            }
        }
    }

    /// Name of the framing, for log lines.
    fn framing(&self) -> &'static str {
        match self.is_unframed {
            true => "none",
            false => "length or chunks",
        }
    }

    fn record_bytes(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len() as u64;
        if let Some(events) = &mut self.events {
            events.scan(bytes);
        }
        if let Some(attempt) = self.attempt.as_mut().filter(|_| self.is_stream) {
            attempt.record_event();
        }
    }

    /// Records how long the answer took. A failure tells nothing of how long answers take.
    fn record_answer_time(&self) {
        let head = self.reader.as_ref().map(ResponseReader::head);
        if head.is_some_and(|head| head.status.is_success()) {
            let took = self.node.clock.now().saturating_sub(self.sent);
            let mut book = self.node.gateway.book.borrow_mut();
            book.record_answer_time(&self.service, self.kind, self.output, took);
        }
    }

    /// Ends the attempt without a whole answer and closes the connection.
    fn abandon(&mut self, end: AttemptEnd) {
        // The answer would have taken at least as long.
        if end == AttemptEnd::TimedOut {
            self.record_answer_time();
        }
        self.reader = None;
        if let Some(attempt) = self.attempt.take() {
            attempt.end(end);
        }
    }

    /// Ends an answer whose status allows no body.
    pub(crate) fn finish_empty(mut self) {
        match self.first {
            None => self.finish(),
            Some(_) => self.abandon(AttemptEnd::Lost),
        }
    }

    /// Records the end of the answer and returns the connection to the pool.
    fn finish(&mut self) {
        let now = self.node.clock.now();
        self.record_answer_time();
        if let Some(id) = &self.workspace {
            let label = self.node.metrics.workspace(id);
            let whole = now.saturating_sub(self.started);
            let metrics = self.node.metrics.whole.get_or_create(&label);
            metrics.observe(whole.as_secs_f64());
        }
        if self.is_unframed {
            self.node.metrics.unframed_answers.inc();
        }
        let first_byte = self.attempt.as_ref().and_then(Attempt::first_byte);
        log::info!(
            request:% = self.request, upstream:% = self.instance, framing:% = self.framing(), bytes = self.bytes,
            first_byte_ms = first_byte.unwrap_or_default().as_millis() as u64,
            whole_ms = now.saturating_sub(self.started).as_millis() as u64;
            "answered"
        );
        if let Some(attempt) = self.attempt.take() {
            attempt.end(match self.is_unframed {
                true => AttemptEnd::Closed,
                false => AttemptEnd::Answered,
            });
        }
        if let Some(reader) = self.reader.take() {
            let pool = &self.node.gateway.pool;
            pool.put(now, self.address, &self.instance, reader);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.reader.is_some() {
            log::info!(request:% = self.request, upstream:% = self.instance, bytes = self.bytes; "caller left");
        }
    }
}

/// Whether the body of an answer is a stream of events.
fn is_event_stream(head: &ResponseHead) -> bool {
    let media_type = headers::text(&head.headers, "content-type").unwrap_or_default();
    let media_type = media_type.split(';').next().unwrap_or_default().trim();
    head.status.is_success() && media_type.eq_ignore_ascii_case("text/event-stream")
}
