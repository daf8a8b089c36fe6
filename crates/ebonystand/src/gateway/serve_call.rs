//! Chain of filters of a request that a route serves.

use super::*;
use {
    allowance_controller::{AllowanceController, Reserved},
    call::{Call, Outcome},
    ebonystand_core::{
        AttemptEnd, CallKind, Choice, GatewayRoute, GatewayWorkspace, NextStep, RouteTable,
    },
    in_flight::InFlight,
    node::Node,
    relay::Held,
    std::collections::BTreeSet,
};

/// Time in which a part of an allowance comes from another region: two round trips and some work. A
/// request waits no longer for it than a quarter of its aim, but for this.
const BORROWED_WITHIN: Duration = Duration::from_millis(250);
/// Time after which a caller is asked to come back to a VM that does not know the newest
/// configuration: several tries of it to learn it.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(500);
/// Time from the start of a VM until it serves when all VMs start together: an election, and the rest
/// of the leases that their former starts held.
const START_TAKES: Duration = Duration::from_millis(2_500);
/// Longest answer in tokens that a VM which is about to stop begins: under two seconds of generation
/// at 7 ms a token.
const SHORT_ANSWER: Tokens = 256;
/// Longest time that a caller whose workspace is over its quota is asked to wait.
const LONGEST_QUOTA_RETRY: Duration = Duration::from_secs(5);

/// A request that passed the filters.
struct Admitted {
    call: Call,
    in_flight: InFlight,
    key: Option<KeyHash>,
    /// No upstream can have run it so far.
    not_run: bool,
    reserved: Option<Reserved>,
    route: GatewayRoute,
    tokens: Tokens,
    tried: u32,
}

pub(crate) async fn handle(node: Rc<Node>, mut req: Request) -> Response<BoxBody> {
    let mut payload = req.take_payload();
    let served = serve(&node, &req, &mut payload).await;
    let mut response = match served {
        Ok(response) => response,
        Err(refusal) => {
            node.count_refusal(&refusal);
            body::discard(&node, &mut payload).await;
            refused(&refusal)
        }
    };
    if node.leaving() {
        let head = response.head_mut();
        head.set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

/// Path and query as they came.
pub(crate) fn path_and_query(req: &Request) -> Box<str> {
    let whole = req.uri().path_and_query();
    whole.map_or("/", |whole| whole.as_str()).into()
}

async fn serve(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
) -> Result<Response<BoxBody>, Refusal> {
    let head = node.gateway.dialect.read(req)?;
    let request = head.request.clone();
    let mut unanswered = Unanswered {
        node,
        request: &request,
        since: Some(node.clock.now()),
    };
    let served = match admit(node, req, payload, head).await {
        Ok(admitted) => admitted.run(node).await,
        Err(refusal) => Err(refusal),
    };
    unanswered.since = None;
    served.inspect_err(|refusal| {
        log::info!(
            request:% = request, code:% = refusal.code, run:% = refusal.run, reason:% = refusal.message,
            retry_after_ms = refusal.retry_after.unwrap_or_default().as_millis() as u64;
            "refused"
        );
    })
}

/// Tells of a caller that leaves before it is answered: its request then just ends.
struct Unanswered<'a> {
    node: &'a Node,
    request: &'a str,
    since: Option<Duration>,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if let Some(since) = self.since {
            let waited = self.node.clock.now().saturating_sub(since);
            log::info!(request:% = self.request, waited_ms = waited.as_millis() as u64; "caller left");
        }
    }
}

async fn admit(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
    head: CallHead,
) -> Result<Admitted, Refusal> {
    let arrived = node.clock.now();
    if node.draining() {
        return Err(unready(RefusalCode::Draining, "this VM is leaving"));
    }
    let limit = node.settings.limits.requests;
    let in_flight = InFlight::enter(&node.in_flight, limit)
        .ok_or_else(|| unready(RefusalCode::Overloaded, "this VM has too many requests"))?;
    if !node.gateway.has_routes(node) {
        let refusal = unready(RefusalCode::NotReady, "this VM has no configuration yet");
        let soon = START_TAKES.saturating_sub(arrived).max(UNCONFIRMED_RETRY);
        return Err(refusal.with_retry_after(soon));
    }
    let is_long = head
        .prompt
        .as_ref()
        .is_some_and(|p| p.output > SHORT_ANSWER);
    if node.lingered() && is_long {
        return Err(unready(
            RefusalCode::Draining,
            "this VM is leaving; the answer would be cut off",
        ));
    }
    let table = node.gateway.table();
    let (route, workspace) = find(node, &table, &head, req.path())?;
    let body = body::read(node, req.headers(), payload).await?;
    let longest = Duration::from_millis(route.timeout_ms);
    let tokens = workspace
        .as_ref()
        .map_or(0, |w| w.cost(head.prompt.as_ref()));
    let reserved = reserve(node, &route, workspace.as_ref(), tokens).await?;
    let shared = head
        .prompt
        .as_ref()
        .and_then(ebonystand_core::Prompt::shared);
    let hash = shared.unwrap_or_else(|| node.gateway.draw());
    let service = route.service(hash).cloned().unwrap_or_default();
    node.gateway.on_request(arrived, &service);
    let rank = workspace
        .as_ref()
        .and_then(|w| w.rank)
        .unwrap_or(route.rank);
    let call = Call {
        aim: Duration::from_millis(route.aim_ms),
        arrived,
        body,
        end: arrived + head.deadline.unwrap_or(longest).min(longest),
        excluded: Vec::new(),
        full_regions: BTreeSet::new(),
        headers: head.headers,
        homes: homes(&route, workspace.as_ref()),
        method: req.method().clone(),
        path: path_and_query(req),
        prompt: head.prompt,
        rank,
        request: head.request,
        service,
        workspace: workspace.map(|workspace| workspace.name),
    };
    Ok(Admitted {
        call,
        in_flight,
        key: head.key,
        not_run: true,
        reserved,
        route,
        tokens,
        tried: 0,
    })
}

/// The route and the workspace. A VM whose copy of the configuration is not confirmed to be the
/// newest says neither that a route or a key does not exist nor that a key is good.
fn find(
    node: &Node,
    table: &RouteTable,
    head: &CallHead,
    path: &str,
) -> Result<(GatewayRoute, Option<GatewayWorkspace>), Refusal> {
    let confirmed = node.gateway.confirmed(node.clock.now());
    let Some(route) = table.find(&head.host, path) else {
        return Err(match confirmed {
            true => Refusal::not_run(RefusalCode::UnknownPath, "no route serves this path"),
            false => unconfirmed(),
        });
    };
    if route.public {
        return Ok((route.clone(), None));
    }
    if !confirmed {
        return Err(unconfirmed());
    }
    let workspace = head.key.as_ref().and_then(|key| table.workspace(key));
    let workspace = workspace.ok_or_else(|| {
        Refusal::not_run(
            RefusalCode::Unauthorized,
            "no valid key came with the request",
        )
    })?;
    Ok((route.clone(), Some(workspace.clone())))
}

async fn reserve(
    node: &Rc<Node>,
    route: &GatewayRoute,
    workspace: Option<&GatewayWorkspace>,
    tokens: Tokens,
) -> Result<Option<Reserved>, Refusal> {
    let Some(workspace) = workspace.filter(|workspace| workspace.quota.is_some()) else {
        return Ok(None);
    };
    let patience = Duration::from_millis(route.aim_ms / 4).max(BORROWED_WITHIN);
    let admitted = AllowanceController::admit(node, &workspace.name, tokens);
    let admitted = actix_rt::time::timeout(patience, admitted).await;
    let late = || {
        let message = "the workspace has used its allowance, as far as it can be had in time";
        Refusal::not_run(RefusalCode::AllowanceExhausted, message)
    };
    let reserved = admitted.unwrap_or_else(|_| Err(late())).map_err(|mut refusal| {
        log::info!(
            workspace:% = workspace.name, tokens = tokens, rate = workspace.quota.map_or(0, |q| q.rate),
            burst = workspace.quota.map_or(0, |q| q.burst); "over its quota"
        );
        let delay = refusal.retry_after.unwrap_or(LONGEST_QUOTA_RETRY);
        refusal.retry_after = Some(delay.min(LONGEST_QUOTA_RETRY));
        refusal
    })?;
    Ok(Some(reserved))
}

/// Regions that may serve a request: where both the route and the workspace name some, those of
/// both.
fn homes(route: &GatewayRoute, workspace: Option<&GatewayWorkspace>) -> Option<BTreeSet<RegionId>> {
    let own = workspace.map(|workspace| &workspace.homes);
    match (&route.homes, own.filter(|homes| !homes.is_empty())) {
        (homes, None) if homes.is_empty() => None,
        (homes, None) => Some(homes.clone()),
        (homes, Some(own)) if homes.is_empty() => Some(own.clone()),
        (homes, Some(own)) => Some(homes.intersection(own).cloned().collect()),
    }
}

impl Admitted {
    /// Part of its aim, in permille, for which a request waits for room.
    const PATIENCE_PERMILLE: u32 = 250;

    async fn run(mut self, node: &Rc<Node>) -> Result<Response<BoxBody>, Refusal> {
        loop {
            let left = self.call.left(node);
            if left.is_zero() {
                return Err(self.refusal(RefusalCode::Deadline, "its time is over"));
            }
            self.check_key(node)?;
            let mut reachable = node.gateway.reachable(node);
            reachable.retain(|region| !self.call.full_regions.contains(region));
            let choice = self.call.choose(node, &reachable);
            let wait = self.wait(left);
            let (outcome, instance) = match choice {
                Choice::Nowhere {
                    because,
                    retry_after,
                } => {
                    let message = format!(
                        "no upstream of {} can serve it: {because}; regions to send to: {}",
                        self.call.service,
                        reachable.len()
                    );
                    let refusal = self.refusal(RefusalCode::NoUpstream, &message);
                    return Err(refusal.with_retry_after(retry_after));
                }
                Choice::Full { predicted } => {
                    if self.wait_for_room(node).await {
                        continue;
                    }
                    let refusal = self.refusal(
                        RefusalCode::Overloaded,
                        "all upstreams have as much as they can begin in time",
                    );
                    return Err(refusal.with_retry_after(self.come_back_after(node, predicted)));
                }
                Choice::Here {
                    address,
                    candidates,
                    instance,
                    is_sound,
                    predicted,
                    report_age,
                    unread,
                } => {
                    log::info!(
                        request:% = self.call.request, route:% = self.route.name,
                        workspace:? = self.call.workspace, upstream:% = instance,
                        candidates = candidates, sound = is_sound, unread = unread,
                        predicted_ms = predicted.as_millis() as u64,
                        report_age_ms:? = report_age.map(|age| age.as_millis() as u64),
                        left_ms = left.as_millis() as u64, tried = self.tried;
                        "sent"
                    );
                    self.count_use();
                    let outcome = self.call.send_here(node, address, &instance, unread, wait);
                    (outcome.await, Some(instance))
                }
                Choice::Away {
                    here,
                    predicted,
                    region,
                } => {
                    log::info!(
                        request:% = self.call.request, route:% = self.route.name,
                        workspace:? = self.call.workspace, region:% = region,
                        here_ms:? = here.map(|here| here.as_millis() as u64),
                        predicted_ms = predicted.as_millis() as u64,
                        left_ms = left.as_millis() as u64, tried = self.tried;
                        "sent away"
                    );
                    node.metrics.sent_away.inc();
                    self.count_use();
                    let outcome = forward::send(node, &self.call, &region, wait).await;
                    if matches!(
                        &outcome,
                        Outcome::Ended {
                            end: AttemptEnd::Unreachable,
                            ..
                        }
                    ) {
                        self.call.full_regions.insert(region);
                    }
                    (outcome, None)
                }
            };
            match outcome {
                Outcome::Answered(answered) => match self.answer(node, *answered).await {
                    Ok(response) => return Ok(response),
                    Err((end, admitted)) => {
                        self = *admitted;
                        self.next(node, end, None, None, instance)?;
                    }
                },
                Outcome::Ended {
                    answer,
                    end,
                    retry_after,
                } => {
                    if let Some(answer) = self.next(node, end, answer, retry_after, instance)? {
                        return Ok(answer);
                    }
                }
            }
        }
    }

    /// Makes the answer of what an upstream sends: a stream as it comes, anything else once it is
    /// whole, since an idempotent call whose answer breaks off can still be tried elsewhere.
    async fn answer(
        mut self,
        node: &Rc<Node>,
        answered: call::Answered,
    ) -> Result<Response<BoxBody>, (AttemptEnd, Box<Self>)> {
        let call::Answered {
            headers,
            mut relay,
            status,
        } = answered;
        if self.route.kind == CallKind::Stream {
            relay.hold(Held::new(self.in_flight, self.reserved.take()));
            let body = BodyStream::new(Box::pin(relay.into_stream()));
            let mut response = Response::new(status).set_body(body).map_into_boxed_body();
            *response.headers_mut() = headers;
            return Ok(response);
        }
        match relay.read_whole(node.settings.limits.body_bytes).await {
            Ok(body) => Ok(call::whole(status, &headers, body)),
            Err(end) => Err((end, Box::new(self))),
        }
    }

    /// Looks at the key again: it may have been taken away while the request waited.
    fn check_key(&self, node: &Node) -> Result<(), Refusal> {
        if self.route.public {
            return Ok(());
        }
        if !node.gateway.confirmed(node.clock.now()) {
            return Err(self.refused(unconfirmed()));
        }
        let table = node.gateway.table();
        let workspace = self.key.as_ref().and_then(|key| table.workspace(key));
        if workspace.map(|workspace| &workspace.name) == self.call.workspace.as_ref() {
            return Ok(());
        }
        Err(self.refusal(
            RefusalCode::Unauthorized,
            "the key was taken away while the request waited",
        ))
    }

    /// Waits until an upstream has room; whether one may have. A request that would begin too late
    /// for its aim is given up early, while its caller has time to come back.
    async fn wait_for_room(&self, node: &Rc<Node>) -> bool {
        let since = node.clock.now().saturating_sub(self.call.arrived);
        let patience = (self.call.aim * Self::PATIENCE_PERMILLE / 1_000).saturating_sub(since);
        if patience.is_zero() {
            return false;
        }
        let prompt = self.call.prompt.as_ref();
        let work = prompt.map_or(1, |prompt| prompt.input - prompt.shared_tokens());
        let (rank, service) = (self.call.rank, &self.call.service);
        turns::Turns::wait(node, service, rank, prompt.is_some(), work, patience).await
    }

    /// When a caller for whom there is no room is asked to come back: once what is ahead of it is
    /// done, and not all at once.
    fn come_back_after(&self, node: &Node, predicted: Duration) -> Duration {
        let spread = node.gateway.draw() % 1_000;
        let spread = self.call.aim * u32::try_from(spread).unwrap_or_default() / 1_000;
        predicted.min(self.call.aim) + spread
    }

    fn count_use(&mut self) {
        if let Some(reserved) = &mut self.reserved {
            reserved.use_up(self.tokens);
        }
    }

    /// Decides what follows an attempt that gave the caller nothing; `Ok(None)` for another try.
    fn next(
        &mut self,
        node: &Node,
        end: AttemptEnd,
        answer: Option<Response<BoxBody>>,
        retry_after: Option<Duration>,
        instance: Option<UpstreamId>,
    ) -> Result<Option<Response<BoxBody>>, Refusal> {
        let now = node.clock.now();
        self.tried += u32::from(end.is_attempt());
        self.not_run &= end.not_run();
        if self.not_run
            && let Some(reserved) = &mut self.reserved
        {
            reserved.use_up(0);
        }
        self.call.excluded.extend(instance);
        let budget = || node.gateway.may_retry(now, &self.call.service, end);
        let step = NextStep::after(&self.route, end, self.tried, self.not_run, budget);
        log::info!(
            request:% = self.call.request, end:? = end, tried = self.tried,
            attempts = self.route.attempts, not_run = self.not_run, step:? = step;
            "attempt ended"
        );
        if step == NextStep::Retry {
            node.metrics.retries.inc();
            return Ok(None);
        }
        if answer.is_some() {
            return Ok(answer);
        }
        let refusal = match end {
            AttemptEnd::TimedOut => self.refusal(RefusalCode::Deadline, "no answer came in time"),
            _ if self.not_run => self.refusal(RefusalCode::Overloaded, "the upstream is full"),
            _ => self.refusal(RefusalCode::UpstreamFailed, "the upstream broke off"),
        };
        let delay = retry_after.unwrap_or(UNCONFIRMED_RETRY);
        Err(refusal.with_retry_after(delay))
    }

    /// A refusal that says whether the request can have run.
    fn refusal(&self, code: RefusalCode, message: &str) -> Refusal {
        self.refused(Refusal::not_run(code, message))
    }

    fn refused(&self, mut refusal: Refusal) -> Refusal {
        if !self.not_run {
            refusal.run = RunState::Unknown;
            if refusal.code != RefusalCode::Deadline {
                refusal.code = RefusalCode::UpstreamFailed;
            }
        }
        refusal
    }

    /// Time to wait for the first bytes. Where the request can be tried once more, half of what is
    /// left: a silent upstream then costs half of the time and not the answer.
    fn wait(&self, left: Duration) -> Duration {
        let has_tries = self.route.repeatable() && self.tried + 1 < self.route.attempts;
        match has_tries {
            true => (left / 2).max(self.call.aim).min(left),
            false => left,
        }
    }
}

fn unconfirmed() -> Refusal {
    let message = "this VM has not heard lately whether its configuration is the newest";
    unready(RefusalCode::NotReady, message)
}

fn unready(code: RefusalCode, message: &str) -> Refusal {
    Refusal::not_run(code, message).with_retry_after(UNCONFIRMED_RETRY)
}

/// The answer that tells a caller of a refusal. Its time to come back is in fractions of a second:
/// a whole second is most of the time that some requests have.
fn refused(refusal: &Refusal) -> Response<BoxBody> {
    let mut response = respond::refusal(refusal, None);
    if let Some(delay) = refusal.retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        headers::set(response.headers_mut(), "retry-after", &seconds);
    }
    response
}
