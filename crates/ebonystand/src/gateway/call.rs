use super::*;
use {
    attempt::Attempt,
    ebonystand_core::{AttemptEnd, CacheSource, ChoiceQuery, ColdTerms, Prompt, TargetChoice},
    node::Node,
    relay::Relay,
    std::collections::BTreeSet,
    turns::Turns,
};

/// A request that may be sent: to an upstream of the own region, or to a VM of another one.
pub(crate) struct Call {
    /// When it had passed the filters; from then on it waits for room.
    pub(crate) admitted: Duration,
    /// Time to the first byte that is aimed at.
    pub(crate) aim: Duration,
    /// When it came.
    pub(crate) arrived: Duration,
    pub(crate) body: Bytes,
    /// When its final answer is due.
    pub(crate) end: Duration,
    /// Upstreams that must not get it.
    pub(crate) excluded: Vec<UpstreamId>,
    /// Regions that had no room for it.
    pub(crate) full_regions: BTreeSet<RegionId>,
    pub(crate) headers: HeaderMap,
    /// Regions that may serve it; `None` if all may.
    pub(crate) homes: Option<BTreeSet<RegionId>>,
    pub(crate) method: Method,
    /// Path and query, as they came.
    pub(crate) path: Box<str>,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) rank: u8,
    pub(crate) request: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) workspace: Option<WorkspaceId>,
}

/// An upstream of the own region that a call is sent to.
pub(crate) struct Destination {
    pub(crate) address: SocketAddr,
    /// Engine from which it imports what it lacks of the prompt.
    pub(crate) import: Option<CacheSource>,
    pub(crate) instance: UpstreamId,
    /// Prompt tokens that it is expected to read.
    pub(crate) unread: Tokens,
}

/// What became of sending a call once.
pub(crate) enum Outcome {
    /// An answer for the caller has begun.
    Answered(Box<Answered>),
    /// There is none.
    Ended {
        /// The upstream's own failure, for the caller if nobody else can serve it.
        answer: Option<Response<BoxBody>>,
        end: AttemptEnd,
        /// When the upstream or the VM says that coming back makes sense.
        retry_after: Option<Duration>,
    },
}

/// An answer whose head and first bytes have come.
pub(crate) struct Answered {
    pub(crate) headers: HeaderMap,
    pub(crate) relay: Relay,
    pub(crate) status: StatusCode,
}

impl Outcome {
    pub(crate) fn ended(end: AttemptEnd) -> Self {
        Self::Ended {
            answer: None,
            end,
            retry_after: None,
        }
    }
}

impl Call {
    /// Part of its aim, in permille, for which a request waits for room.
    const PATIENCE_PERMILLE: u32 = 250;
    /// Largest failure of an upstream that is kept for the caller, in bytes.
    const LARGEST_FAILURE: usize = 64 << 10;
    /// Longest time for the rest of an answer that is thrown away.
    const REST: Duration = Duration::from_millis(200);

    /// Waits until an upstream has room; whether one may have. A request that would begin too late
    /// for its aim is given up early, while its caller has time to come back.
    pub(crate) async fn wait_for_room(&self, node: &Rc<Node>) -> bool {
        let since = node.clock.now().saturating_sub(self.admitted);
        let patience = (self.aim * Self::PATIENCE_PERMILLE / 1_000).saturating_sub(since);
        if patience.is_zero() {
            return false;
        }
        let prompt = self.prompt.as_ref();
        let work = prompt.map_or(1, |prompt| prompt.input - prompt.shared_tokens());
        let (rank, service) = (self.rank, &self.service);
        Turns::wait(node, service, rank, prompt.is_some(), work, patience).await
    }

    pub(crate) fn left(&self, node: &Node) -> Duration {
        self.end.saturating_sub(node.clock.now())
    }

    /// Chooses where it goes.
    pub(crate) fn choose(&self, node: &Node, reachable: &BTreeSet<RegionId>) -> TargetChoice {
        let now = node.clock.now();
        let document = node.document();
        let book = node.gateway.book.borrow();
        book.choose_target(now, &self.query(node, &document, reachable))
    }

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
            remaining_time: self.left(node),
            prompt: self.prompt.as_ref(),
            reachable,
            service: &self.service,
        }
    }

    /// Regions that may serve it, for a log line; none where those of its route and of its workspace have
    /// none in common.
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

    /// Sends it to an upstream of the own region and waits `wait` for the first bytes.
    pub(crate) async fn send_here(
        &self,
        node: &Rc<Node>,
        to: &Destination,
        wait: Duration,
    ) -> Outcome {
        let Destination {
            address,
            ref import,
            ref instance,
            unread,
        } = *to;
        let mut attempt = {
            let document = node.document();
            let none = BTreeSet::new();
            let query = self.query(node, &document, &none);
            Attempt::begin(node, &query, instance, unread)
        };
        let mut headers = self.headers.clone();
        let outgoing = OutgoingCall {
            has_prompt: self.prompt.is_some(),
            import_from: import.as_ref().map(|source| source.address),
            instance,
            left: self.left(node),
            rank: self.rank,
            request: &self.request,
            workspace: self.workspace.as_deref(),
        };
        node.gateway.dialect.write(&outgoing, &mut headers);
        let until = node.clock.now() + wait;
        let sent = self.exchange(node, address, instance, headers, wait).await;
        let answering = match sent {
            Ok(answering) => answering,
            Err(end) => {
                attempt.end(end);
                return Outcome::ended(end);
            }
        };
        let head = answering.head();
        let marks = node.gateway.dialect.answer(head.status, &head.headers);
        if let Some(slots) = marks.slots {
            let mut book = node.gateway.book.borrow_mut();
            book.record_reported_slots(node.clock.now(), instance, slots);
        }
        if let Some(end) = self.judge(head, &marks) {
            attempt.end(end);
            return self.failed(node, address, instance, answering, end).await;
        }
        let wait = until.saturating_sub(node.clock.now());
        let relay = Relay::start(node, self, answering, address, instance, wait);
        let relay = match relay.await {
            Ok(relay) => relay,
            Err(end) => {
                attempt.end(end);
                return Outcome::ended(end);
            }
        };
        attempt.begun();
        Outcome::Answered(Box::new(relay.answered(Some(attempt))))
    }

    /// Sends a request over a connection and waits `wait` for the head of its answer.
    pub(crate) async fn exchange(
        &self,
        node: &Rc<Node>,
        address: SocketAddr,
        instance: &str,
        headers: HeaderMap,
        wait: Duration,
    ) -> Result<Answering, AttemptEnd> {
        let pool = &node.gateway.pool;
        let connection = match pool.take(node.clock.now(), address, instance).await {
            Ok(connection) => connection,
            Err(fault) => {
                log::warn!(request:% = self.request, upstream:% = instance, address:% = address, fault:% = fault; "not connected");
                return Err(AttemptEnd::Unreachable);
            }
        };
        let head = connection::head(self.method.clone(), &self.path, headers);
        let answering = connection.request(head, self.body.clone());
        match actix_rt::time::timeout(wait, answering).await {
            Ok(Ok(answering)) => Ok(answering),
            Ok(Err(fault)) => {
                log::warn!(request:% = self.request, upstream:% = instance, address:% = address, fault:% = fault; "no answer");
                Err(AttemptEnd::Lost)
            }
            Err(_) => {
                pool.give_up(address);
                log::warn!(request:% = self.request, upstream:% = instance, address:% = address, waited_ms = wait.as_millis() as u64; "silent");
                Err(AttemptEnd::TimedOut)
            }
        }
    }

    /// Reads what an upstream says of a failure, so that it can be passed on.
    async fn failed(
        &self,
        node: &Rc<Node>,
        address: SocketAddr,
        instance: &str,
        mut answering: Answering,
        end: AttemptEnd,
    ) -> Outcome {
        let status = answering.head().status;
        log::warn!(request:% = self.request, upstream:% = instance, status = status.as_u16(), end:? = end; "failed");
        let headers = answering.head().headers.clone();
        let retry_after = retry_after(&headers);
        let body = answering.read_whole(Self::LARGEST_FAILURE);
        let body = actix_rt::time::timeout(Self::REST, body).await;
        let Ok(Ok(body)) = body else {
            return Outcome::Ended {
                answer: None,
                end,
                retry_after,
            };
        };
        node.gateway
            .pool
            .put(node.clock.now(), address, instance, answering);
        let answer = (end == AttemptEnd::Failed).then(|| whole(status, &headers, body));
        Outcome::Ended {
            answer,
            end,
            retry_after,
        }
    }

    /// How the attempt ends by the head of its answer; `None` if this is one for the caller.
    fn judge(&self, head: &actix_http::ResponseHead, marks: &AnswerMarks) -> Option<AttemptEnd> {
        let is_other = marks
            .request
            .as_ref()
            .is_some_and(|request| *request != self.request);
        // A late or second answer to an earlier request, or one that was spoiled on its way.
        if is_other || head.headers.contains_key("content-encoding") {
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
        head.status.is_server_error().then_some(AttemptEnd::Failed)
    }
}

/// An answer whose body is at hand, with the upstream's headers.
pub(crate) fn whole(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Response<BoxBody> {
    let mut response = Response::new(status).set_body(body).map_into_boxed_body();
    *response.headers_mut() = headers::passed_on(headers, &[]);
    response
}

/// When an answer says that coming back makes sense.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers::text(headers, "retry-after")?;
    let seconds = text.parse::<f64>().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
