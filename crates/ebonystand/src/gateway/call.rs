use super::*;
use {
    attempt::Attempt,
    ebonystand_core::{
        AnswerPause, AnswerTime, AttemptEnd, CacheSource, CallKind, ChoiceQuery, ColdTerms, Prompt,
        SoftwareRule, SoftwareVersion, TargetChoice, UpstreamKey, Version,
    },
    may_have_run::MayHaveRun,
    node::Node,
    part_controller::PartQuery,
    path_watch::PathWatch,
    relay::{AnswerSource, Relay},
    request_content::RequestContent,
    room_queues::{RoomQueues, RoomTurn},
    slot_hold::SlotHold,
    std::collections::BTreeSet,
};

/// A request that can be sent to an upstream of this region or forwarded to a VM of another region.
pub(crate) struct Call {
    /// Time at which the request was admitted; its wait for room counts from here.
    pub(crate) admitted: Duration,
    /// Target for the time to the first byte.
    pub(crate) aim: Duration,
    /// Time at which the request arrived.
    pub(crate) arrived: Duration,
    pub(crate) body: Bytes,
    /// Time by which the whole answer is due.
    pub(crate) end: Duration,
    /// Upstreams that must not receive the request, because an attempt there has already ended.
    pub(crate) excluded: Vec<UpstreamId>,
    /// VMs that could not send the request on.
    pub(crate) excluded_vms: Vec<VmId>,
    /// Region of the VM that has forwarded the request; `None` if it came from its caller.
    pub(crate) forwarded_from: Option<RegionId>,
    /// Regions that refused the request or could not be reached.
    pub(crate) full_regions: BTreeSet<RegionId>,
    pub(crate) headers: HeaderMap,
    /// Regions that may serve the request; `None` if all may.
    pub(crate) homes: Option<BTreeSet<RegionId>>,
    pub(crate) kind: CallKind,
    /// Whether an upstream may have run the request, or may be running it.
    pub(crate) may_have_run: MayHaveRun,
    pub(crate) method: Method,
    /// Path and query of the request, unchanged.
    pub(crate) path: Box<str>,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) rank: u8,
    pub(crate) request: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) software: CallSoftware,
    /// Time that the caller has waited before the request arrived, by what it leaves of the route's time.
    pub(crate) waited: Duration,
    /// Whether the call no longer asks for slots, because no scheduler answered.
    pub(crate) unscheduled: bool,
    pub(crate) workspace: Option<WorkspaceId>,
}

/// Software versions of the service that may get a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CallSoftware {
    /// All versions.
    Any,
    /// Versions that all VMs know, for a stream that may be taken up again.
    Known,
    /// The version that began the stream.
    Only(SoftwareVersion),
}

impl CallSoftware {
    fn rule(&self) -> SoftwareRule<'_> {
        match self {
            Self::Any => SoftwareRule::Any,
            Self::Known => SoftwareRule::Known,
            Self::Only(software) => SoftwareRule::Only(software),
        }
    }
}

/// An upstream of this region that a call is sent to.
pub(crate) struct Destination {
    pub(crate) address: SocketAddr,
    /// Engine from which the upstream imports the parts of the prompt that are missing from its
    /// cache.
    pub(crate) import: Option<CacheSource>,
    pub(crate) instance: UpstreamId,
    pub(crate) software: SoftwareVersion,
    /// Prompt tokens that the upstream is expected to process because they are not cached.
    pub(crate) unread: Tokens,
}

/// Result of sending a call once.
pub(crate) enum Outcome {
    /// The upstream has begun an answer that can be passed to the caller.
    Answered(Box<Answered>),
    /// The attempt has ended without an answer that can be passed on directly.
    Ended {
        /// Error response of the upstream, which the caller gets if the request is not retried.
        answer: Option<Box<FailureAnswer>>,
        end: AttemptEnd,
        /// Delay after which the upstream or the other VM asks for a retry.
        retry_after: Option<Duration>,
    },
}

/// An answer whose head and first body bytes have arrived.
pub(crate) struct Answered {
    pub(crate) headers: HeaderMap,
    pub(crate) relay: Relay,
    /// Software version of the upstream; `None` if the VM next to it doesn't tell.
    pub(crate) software: Option<SoftwareVersion>,
    pub(crate) status: StatusCode,
}

impl Answered {
    /// Builds the response that passes the answer on as it arrives.
    pub(crate) fn into_response(self) -> Response<BoxBody> {
        let is_empty = matches!(
            self.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        if is_empty {
            // The last chunk of a stream would be read as the begin of the next answer.
            self.relay.finish_empty();
            let mut response = Response::new(self.status).map_into_boxed_body();
            *response.headers_mut() = self.headers;
            return response;
        }
        let is_unframed = self.relay.is_unframed();
        let body = BodyStream::new(Box::pin(self.relay.into_stream()));
        let mut response = Response::new(self.status)
            .set_body(body)
            .map_into_boxed_body();
        *response.headers_mut() = self.headers;
        response.head_mut().no_chunking(is_unframed);
        response
    }
}

impl Outcome {
    /// Builds the outcome of an attempt that left no answer and no retry delay.
    pub(crate) fn ended(end: AttemptEnd) -> Self {
        Self::Ended {
            answer: None,
            end,
            retry_after: None,
        }
    }

    /// Reads what is left of an upstream's error response.
    pub(crate) async fn read_rest(self, node: &Node, call: &Call) -> Self {
        match self {
            Self::Ended {
                answer: Some(answer),
                end,
                retry_after,
            } => Self::Ended {
                answer: answer.read_rest(node, call).await,
                end,
                retry_after,
            },
            outcome => outcome,
        }
    }
}

impl Call {
    /// Share of the first-byte target, in permille, for which a request waits for room.
    const ROOM_WAIT_PERMILLE: u32 = 250;

    /// Waits until an upstream may have room. A request that would start too late for its
    /// first-byte target is refused early, while its caller still has time to retry: at once if its
    /// turn would come too late.
    pub(crate) async fn wait_for_room(&self, node: &Rc<Node>) -> RoomTurn {
        let now = node.clock.now();
        let since = now.saturating_sub(self.admitted);
        let max_wait = (self.aim * Self::ROOM_WAIT_PERMILLE / 1_000).saturating_sub(since);
        if max_wait.is_zero() {
            return RoomTurn::Over;
        }
        let hold = {
            let document = node.document();
            let none = BTreeSet::new();
            let work = self.prompt.as_ref().map_or(0, Prompt::own_tokens);
            let book = node.gateway.book.borrow();
            book.expected_hold(now, &self.query(node, &document, &none), work)
        };
        RoomQueues::wait(node, self, hold, max_wait).await
    }

    /// Waits while the call or a part of its prompt is held back, and returns its refusal if it is quarantined.
    pub(crate) async fn check_quarantine(&self, node: &Node) -> Result<(), Refusal> {
        let fingerprint = || self.content().fingerprint();
        if let Some(refusal) = node.quarantine.check(node, fingerprint).await {
            return Err(refusal);
        }
        match self.part_query(node) {
            Some(query) => node.parts.admit(node, &query).await,
            None => Ok(()),
        }
    }

    /// Builds the query for the quarantine of parts; `None` without a prompt, or while no upstream goes down.
    fn part_query(&self, node: &Node) -> Option<PartQuery<'_>> {
        let prompt = self.prompt.as_ref()?;
        let is_watched = node.parts.is_watching(&self.service);
        is_watched.then(|| PartQuery {
            content: self.content(),
            prompt,
            request: &self.request,
            service: &self.service,
            remaining_time: self.remaining_time(node),
        })
    }

    pub(crate) fn content(&self) -> RequestContent {
        RequestContent::Whole {
            body: self.body.clone(),
            path: self.path.clone(),
            workspace: self.workspace.clone(),
        }
    }

    /// Whether this VM, if it is about to stop, ends before the answer can have come.
    pub(crate) fn would_be_cut_off(&self, node: &Node) -> bool {
        let Some(departure) = node.departure() else {
            return false;
        };
        let now = node.clock.now();
        let expected = {
            let document = node.document();
            let none = BTreeSet::new();
            let book = node.gateway.book.borrow();
            book.expected_answer_time(&self.query(node, &document, &none), self.kind)
        };
        let answer = AnswerTime::new(self.kind, self.end, expected);
        let has_other_way = self.forwarded_from.as_ref().is_some_and(|region| {
            let gateway = &node.gateway;
            gateway.has_other_way(node, region, self.homes.as_ref())
        });
        let is_admitted = match has_other_way {
            true => departure.is_certain(now, &answer),
            false => departure.admits(now, &answer),
        };
        !is_admitted
    }

    /// Returns the time left until the whole answer is due.
    pub(crate) fn remaining_time(&self, node: &Node) -> Duration {
        self.end.saturating_sub(node.clock.now())
    }

    /// Chooses the upstream or the region that the call is sent to.
    pub(crate) fn choose(&self, node: &Node, reachable: &BTreeSet<RegionId>) -> TargetChoice {
        let now = node.clock.now();
        let document = node.document();
        let book = node.gateway.book.borrow();
        book.choose_target(now, &self.query(node, &document, reachable))
    }

    /// Builds the query for the choice of an upstream or region.
    pub(crate) fn query<'a>(
        &'a self,
        node: &Node,
        document: &'a Document,
        reachable: &'a BTreeSet<RegionId>,
    ) -> ChoiceQuery<'a> {
        let table = node.gateway.table();
        let service = table.service(&self.service);
        ChoiceQuery {
            first_byte_target: self.aim,
            cold: service.map_or_else(ColdTerms::default, |service| service.cold),
            engine: service.and_then(|service| service.engine),
            evacuated: &document.evacuated,
            excluded: &self.excluded,
            homes: self.homes.as_ref(),
            remaining_time: self.remaining_time(node),
            prompt: self.prompt.as_ref(),
            reachable,
            service: &self.service,
            software: self.software.rule(),
        }
    }

    /// Formats the regions that may serve the call, for messages. The list is empty ("no region")
    /// if the route's regions and the workspace's have none in common.
    pub(crate) fn homes_text(&self) -> Box<str> {
        let Some(homes) = &self.homes else {
            return "any region".into();
        };
        let names = homes.iter().map(|home| &**home).collect::<Vec<_>>();
        match names.is_empty() {
            true => "no region".into(),
            false => names.join(" ").into(),
        }
    }

    /// Chooses another region for the call, of those with room.
    pub(crate) fn choose_away(
        &self,
        node: &Node,
        reachable: &BTreeSet<RegionId>,
    ) -> Option<TargetChoice> {
        let now = node.clock.now();
        let document = node.document();
        let book = node.gateway.book.borrow();
        book.choose_away(now, &self.query(node, &document, reachable))
    }

    /// Returns whether the caller has waited so long, in earlier attempts too, that the answer can't begin within
    /// its target.
    pub(crate) fn is_overdue(&self, now: Duration) -> bool {
        self.waited + now.saturating_sub(self.arrived) > self.aim
    }

    /// Returns the choice to send the call to the engine that a scheduler has granted; `None` if the engine may
    /// not get it any more.
    pub(crate) fn granted_target(&self, node: &Node, engine: UpstreamKey) -> Option<TargetChoice> {
        let now = node.clock.now();
        let document = node.document();
        let none = BTreeSet::new();
        let book = node.gateway.book.borrow();
        book.granted_target(now, &self.query(node, &document, &none), engine)
    }

    /// Sends the call to an upstream of this region and waits up to `wait` for the first bytes of
    /// the answer.
    pub(crate) async fn send_here(
        &self,
        node: &Rc<Node>,
        to: &Destination,
        slot: Option<SlotHold>,
        wait: Duration,
    ) -> Outcome {
        let Destination {
            address,
            ref import,
            ref instance,
            ..
        } = *to;
        let (chosen_at, chosen_by) = (node.clock.now(), node.document().version);
        let mut attempt = {
            let document = node.document();
            let none = BTreeSet::new();
            let query = self.query(node, &document, &none);
            Attempt::begin(node, self, &query, to, slot)
        };
        let headers = || {
            self.log_if_evacuated(node, instance, chosen_at, chosen_by);
            let outgoing = OutgoingCall {
                has_prompt: self.prompt.is_some(),
                import_from: import.as_ref().map(|source| source.address),
                instance,
                left: self.remaining_time(node),
                rank: self.rank,
                request: &self.request,
                workspace: self.workspace.as_deref(),
            };
            let mut headers = self.headers.clone();
            node.gateway.dialect.write(&outgoing, &mut headers);
            headers
        };
        let sent = node.clock.now();
        let until = sent + wait;
        let connect_time = self.upstream_connect_time();
        let exchanged = self
            .exchange(node, address, instance, headers, connect_time, wait)
            .await;
        let reader = match exchanged {
            Ok(reader) => reader,
            Err(end) => {
                if end.may_lack_path() {
                    PathWatch::suspect(node, &self.service);
                }
                attempt.end(end);
                return Outcome::ended(end);
            }
        };
        let head = reader.head();
        let marks = node.gateway.dialect.answer(head.status, &head.headers);
        if let Some(slots) = marks.slots {
            let now = node.clock.now();
            let mut book = node.gateway.book.borrow_mut();
            if book.record_reported_slots(now, instance, slots) {
                log::warn!(upstream:% = instance; "figure of an upstream's speed ignored");
            }
        }
        if marks.request.as_ref() == Some(&self.request) && !marks.is_stranger {
            attempt.record_limit(&marks.limit);
        }
        if !marks.is_stranger {
            attempt.record_notices(marks.is_leaving, &requested_pause(head));
            attempt.record_shed_tolerance(marks.shed_tolerance);
        }
        if let Some(end) = self.end_by_head(head, &marks) {
            if end == AttemptEnd::Shed {
                attempt.record_shed();
            }
            attempt.end(end);
            return self
                .read_failure(node, address, instance, reader, end)
                .await;
        }
        let wait = until.saturating_sub(node.clock.now());
        let source = AnswerSource {
            address,
            instance,
            is_unframed: reader.is_unframed(),
            sent,
        };
        let relay = Relay::start(node, self, reader, source, wait);
        let relay = match relay.await {
            Ok(relay) => relay,
            Err(end) => {
                attempt.end(end);
                return Outcome::ended(end);
            }
        };
        attempt.record_first_byte();
        let mut answered = relay.into_answered(Some(attempt));
        answered.software = Some(to.software.clone());
        Outcome::Answered(Box::new(answered))
    }

    /// Longest time to open a connection to an upstream of this region. An upstream that has not
    /// accepted one by then is down, and the answer of another one can still begin in time.
    fn upstream_connect_time(&self) -> Duration {
        const MIN_CONNECT_TIME: Duration = Duration::from_millis(250);
        (self.aim / 2).clamp(MIN_CONNECT_TIME, Connection::MAX_CONNECT_TIME)
    }

    /// Sends the call over a connection, which is opened within `connect_time`, and waits up to
    /// `wait` for the head of the answer. The headers are built once the connection is open, so that
    /// the time they state is the time left then.
    pub(crate) async fn exchange(
        &self,
        node: &Rc<Node>,
        address: SocketAddr,
        instance: &str,
        headers: impl FnOnce() -> HeaderMap,
        connect_time: Duration,
        wait: Duration,
    ) -> Result<ResponseReader, AttemptEnd> {
        let pool = &node.gateway.pool;
        let now = node.clock.now();
        let connection = match pool.take(now, address, instance, connect_time).await {
            Ok(connection) => connection,
            Err(fault) => {
                log::warn!(request:% = self.request, upstream:% = instance, address:% = address, fault:% = fault; "not connected");
                return Err(AttemptEnd::Unreachable);
            }
        };
        // The part may have been quarantined while the connection was opened.
        if self
            .part_query(node)
            .is_some_and(|query| node.parts.is_refused(node, &query))
        {
            return Err(AttemptEnd::Quarantined);
        }
        if self.would_be_cut_off(node) {
            let leaving_for_ms = node.leaving_for_ms(node.clock.now());
            log::info!(request:% = self.request, upstream:% = instance, leaving_for_ms:? = leaving_for_ms; "not sent: this VM ends before its answer");
            return Err(AttemptEnd::Departing);
        }
        self.may_have_run.set(true);
        let head = connection::head(self.method.clone(), &self.path, headers());
        let response = connection.request(head, self.body.clone());
        match actix_rt::time::timeout(wait, response).await {
            Ok(Ok(reader)) => Ok(reader),
            Ok(Err(fault)) => {
                log::warn!(request:% = self.request, upstream:% = instance, address:% = address, fault:% = fault; "no answer");
                Err(AttemptEnd::Lost)
            }
            Err(_) => {
                pool.close_idle(address);
                log::warn!(request:% = self.request, upstream:% = instance, address:% = address, waited_ms = wait.as_millis() as u64; "silent");
                Err(AttemptEnd::TimedOut)
            }
        }
    }

    /// Logs that the evacuation of an upstream's zone has come into force between the choice of the
    /// upstream and the moment at which the call is sent.
    fn log_if_evacuated(
        &self,
        node: &Node,
        instance: &str,
        chosen_at: Duration,
        chosen_by: Version,
    ) {
        let document = node.document();
        if document.evacuated.is_empty() {
            return;
        }
        let book = node.gateway.book.borrow();
        let Some(zone) = book
            .zone(instance)
            .filter(|zone| document.evacuated.contains(*zone))
        else {
            return;
        };
        node.metrics.sent_to_evacuated.inc();
        let waited = node.clock.now().saturating_sub(chosen_at);
        log::warn!(
            request:% = self.request, upstream:% = instance, zone:% = zone, chosen_by = chosen_by,
            version = document.version, waited_ms = waited.as_millis() as u64;
            "request sent to an evacuated zone"
        );
    }

    /// Reads an upstream's error response so that it can be passed on to the caller.
    async fn read_failure(
        &self,
        node: &Rc<Node>,
        address: SocketAddr,
        instance: &UpstreamId,
        reader: ResponseReader,
        end: AttemptEnd,
    ) -> Outcome {
        let status = reader.head().status;
        log::warn!(request:% = self.request, upstream:% = instance, status = status.as_u16(), end:? = end; "failed");
        let headers = reader.head().headers.clone();
        let is_unframed = reader.is_unframed();
        let retry_after = retry_after(&headers);
        let answer =
            FailureAnswer::begin(node, self, reader, address, instance, headers, is_unframed);
        let answer = answer.await;
        Outcome::Ended {
            answer: answer.filter(|_| end == AttemptEnd::Failed),
            end,
            retry_after,
        }
    }

    /// Determines from the head of an answer how the attempt ends; `None` if the answer is for the
    /// caller.
    fn end_by_head(
        &self,
        head: &actix_http::ResponseHead,
        marks: &AnswerMarks,
    ) -> Option<AttemptEnd> {
        let is_for_other_request = marks
            .request
            .as_ref()
            .is_some_and(|request| *request != self.request);
        // This is a late or repeated answer to an earlier request, or one that was altered on the
        // way.
        if is_for_other_request || head.headers.contains_key("content-encoding") {
            return Some(AttemptEnd::Lost);
        }
        if marks.is_stranger {
            return Some(AttemptEnd::AddressReused);
        }
        if marks.not_run {
            return Some(AttemptEnd::Shed);
        }
        if head.status.is_success() && marks.request.is_none() {
            return Some(AttemptEnd::Lost);
        }
        let is_failure =
            head.status.is_server_error() || !RunState::Unknown.allows(head.status.as_u16());
        is_failure.then_some(AttemptEnd::Failed)
    }
}

/// Builds a response from a buffered body and the upstream's end-to-end headers. An unframed body
/// stays unframed, since a length would state that it is whole.
pub(crate) fn buffered_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
    is_unframed: bool,
) -> Response<BoxBody> {
    let mut response = Response::new(status).set_body(body).map_into_boxed_body();
    *response.headers_mut() = headers::passed_on(headers, &[]);
    response.head_mut().no_chunking(is_unframed);
    response
}

/// Parses the delay of a `retry-after` header, in seconds and fractions of a second.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    parse_retry_after(headers).requested()
}

/// Returns the pause that an answer asks for. Of other answers than a 503, `retry-after` concerns
/// the request and not the upstream.
fn requested_pause(head: &actix_http::ResponseHead) -> AnswerPause {
    match head.status {
        StatusCode::SERVICE_UNAVAILABLE => parse_retry_after(&head.headers),
        _ => AnswerPause::Absent,
    }
}

fn parse_retry_after(headers: &HeaderMap) -> AnswerPause {
    let values = headers.get_all("retry-after");
    AnswerPause::parse(values.map(|value| value.to_str().unwrap_or_default()))
}
