//! Admits a caller's request to a route step by step and runs it.

use super::*;
use {
    admitted::Admitted,
    allowance_controller::{AllowanceController, Reserved},
    call::{Call, CallSoftware},
    ebonystand_core::{
        GatewayRoute, GatewayWorkspace, KnownOrigin, Prompt, RouteTable, StreamKey, StreamOrigin,
        StreamResumption, VmReturns,
    },
    in_flight::InFlight,
    may_have_run::MayHaveRun,
    metrics::ResumptionLabel,
    node::Node,
    origin_controller::OriginController,
    request_content::RequestContent,
    std::collections::BTreeSet,
};

/// Minimum time that a request waits for its workspace's allowance. Borrowing allowance from
/// another region takes two round trips and some processing. Beyond this minimum, a request waits
/// for a quarter of its first-byte target at most.
const MIN_ALLOWANCE_WAIT: Duration = Duration::from_millis(250);
/// Retry delay for callers of a VM that can't confirm that its configuration is the newest, and for
/// other refusals without a delay of their own. The VM asks for a confirmation again in this time.
pub(crate) const UNCONFIRMED_RETRY: Duration = Duration::from_millis(500);
/// Time between two checks of whether a starting VM can serve.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest retry delay for a caller whose workspace is over its quota.
const MAX_QUOTA_RETRY: Duration = Duration::from_secs(5);

/// Answers a caller's request by its route.
pub(crate) async fn handle(node: Rc<Node>, mut req: Request) -> Response<BoxBody> {
    let mut payload = req.take_payload();
    let served = serve(&node, &req, &mut payload).await;
    let mut response = match served {
        Ok(response) => response,
        Err(refusal) => {
            node.count_refusal(&refusal);
            body::discard(&node, &mut payload).await;
            refusal_response(&node, &refusal)
        }
    };
    respond::close_if_leaving(&node, &mut response);
    response
}

/// Returns the path and query of a request, unchanged.
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
    let host = head.host.clone();
    let key = head.key;
    let mut disconnect_logger = DisconnectLogger {
        node,
        request: &request,
        since: Some(node.clock.now()),
    };
    let (arrived, deadline) = (node.clock.now(), head.deadline);
    let served = admit_and_run(node, req, payload, head).await;
    disconnect_logger.since = None;
    served.map_err(|refusal| {
        let table = node.gateway.table();
        let route = table.find_route(&host, req.path());
        let workspace = key.as_ref().and_then(|key| table.workspace(key));
        let refusal = match (refusal.code, route) {
            (RefusalCode::Draining, Some(route)) => {
                let longest = Duration::from_millis(route.timeout_ms);
                let end = arrived + deadline.unwrap_or(longest).min(longest);
                let delay = departure_retry(node, route, workspace, end);
                refusal.with_retry_after(delay)
            }
            _ => refusal,
        };
        let route = route.map_or("none", |route| &route.name);
        let workspace = workspace.map_or("none", |workspace| &workspace.name);
        log::info!(
            request:% = request, route:% = route, workspace:% = workspace, code:% = refusal.code, run:% = refusal.run, reason:% = refusal.message,
            retry_after_ms = refusal.retry_after.unwrap_or_default().as_millis() as u64;
            "refused"
        );
        refusal
    })
}

async fn admit_and_run(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
    head: CallHead,
) -> Result<Response<BoxBody>, Refusal> {
    let may_have_run = MayHaveRun::default();
    let admitted = admit(node, req, payload, head, &may_have_run);
    let admitted = until_end(node, &may_have_run, admitted).await?;
    let service = admitted.call.service.clone();
    let request = admitted.call.request.clone();
    let served = until_end(node, &may_have_run, admitted.run(node)).await;
    served.inspect_err(|refusal| {
        if refusal.run == RunState::NotRun {
            node.parts.return_trial(node, &service, &request);
        }
    })
}

/// Waits for a step of a request, and refuses the request if this VM ends before.
async fn until_end<T>(
    node: &Node,
    may_have_run: &MayHaveRun,
    step: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    let message = "this VM has ended before the answer came";
    tokio::select! {
        biased;
        done = step => done,
        () = node.ended() => Err(match may_have_run.get() {
            true => Refusal::possibly_run(RefusalCode::Deadline, message),
            false => not_ready_refusal(RefusalCode::Draining, message),
        }),
    }
}

/// Logs that the caller disconnected if it is dropped before the request is answered; the request's
/// future is then dropped without a result.
struct DisconnectLogger<'a> {
    node: &'a Node,
    request: &'a str,
    since: Option<Duration>,
}

impl Drop for DisconnectLogger<'_> {
    fn drop(&mut self) {
        if let Some(since) = self.since {
            let waited = self.node.clock.now().saturating_sub(since);
            log::info!(request:% = self.request, waited_ms = waited.as_millis() as u64; "caller left");
        }
    }
}

/// Checks a request against this VM's state, the routes, its key and its quota.
async fn admit(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
    head: CallHead,
    may_have_run: &MayHaveRun,
) -> Result<Admitted, Refusal> {
    let arrived = node.clock.now();
    if node.draining() {
        return Err(not_ready_refusal(
            RefusalCode::Draining,
            "this VM is leaving",
        ));
    }
    let limit = node.settings.limits.requests;
    let in_flight = InFlight::enter(&node.in_flight, limit).ok_or_else(|| {
        not_ready_refusal(RefusalCode::Overloaded, "this VM has too many requests")
    })?;
    let body = wait_for_start(node, req, payload, head.deadline).await?;
    if !node.gateway.has_routes(node) {
        let refusal = not_ready_refusal(RefusalCode::NotReady, "this VM has no configuration yet");
        let soon = expected_start_end(node).saturating_sub(node.clock.now());
        return Err(refusal.with_retry_after(soon.max(UNCONFIRMED_RETRY)));
    }
    let table = node.gateway.table();
    let (route, workspace) = find_route_and_workspace(node, &table, &head, req.path())?;
    let body = match body {
        Some(body) => body,
        None => body::read(node, req.headers(), payload).await?,
    };
    let fingerprint = || {
        let content = RequestContent::Whole {
            body: body.clone(),
            path: path_and_query(req),
            workspace: workspace.as_ref().map(|workspace| workspace.name.clone()),
        };
        content.fingerprint()
    };
    if let Some(refusal) = node.quarantine.check(node, fingerprint).await {
        return Err(refusal);
    }
    let origin = match head
        .resumption
        .as_ref()
        .filter(|_| OriginController::is_resumable(&route))
    {
        Some(resumption) => {
            let name = workspace.as_ref().map(|workspace| &*workspace.name);
            Some(find_origin(node, &route, name, resumption, &head.request).await?)
        }
        None => None,
    };
    let longest = Duration::from_millis(route.timeout_ms);
    let tokens = workspace
        .as_ref()
        .map_or(0, |w| w.quota_cost(head.prompt.as_ref()));
    let reserved = reserve(node, &route, workspace.as_ref(), tokens, head.deadline).await?;
    let stream = stream_key(&route, workspace.as_ref(), &head);
    let (service, software) = match origin {
        Some(origin) => (origin.service, CallSoftware::Only(origin.software)),
        None => {
            let shared = head.prompt.as_ref().and_then(Prompt::placement_hash);
            let hash = shared.unwrap_or_else(|| node.gateway.draw());
            // The default is never used: a route in force always has a service with a weight.
            let service = route.select_service(hash).cloned().unwrap_or_default();
            let software = match OriginController::is_resumable(&route) {
                true => CallSoftware::Known,
                false => CallSoftware::Any,
            };
            (service, software)
        }
    };
    node.gateway.retries.record_request(arrived, &service);
    if let Some(workspace) = &workspace {
        let label = node.metrics.workspace(&workspace.name);
        node.metrics.requests.get_or_create(&label).inc();
    }
    let rank = workspace
        .as_ref()
        .and_then(|w| w.rank)
        .unwrap_or(route.rank);
    let call = Call {
        admitted: node.clock.now(),
        aim: Duration::from_millis(route.aim_ms),
        arrived,
        body,
        end: arrived + head.deadline.unwrap_or(longest).min(longest),
        excluded: Vec::new(),
        excluded_vms: Vec::new(),
        forwarded_from: None,
        full_regions: BTreeSet::new(),
        headers: head.headers,
        homes: allowed_regions(&route, workspace.as_ref()),
        kind: route.kind,
        may_have_run: may_have_run.clone(),
        method: req.method().clone(),
        path: path_and_query(req),
        prompt: head.prompt,
        rank,
        request: head.request,
        service,
        software,
        waited: waited_before(longest, head.deadline),
        unscheduled: false,
        workspace: workspace.map(|workspace| workspace.name),
    };
    Ok(Admitted {
        call,
        in_flight,
        key: head.key,
        not_run: true,
        permit: None,
        reserved,
        route,
        stream,
        stream_lifetime: head.deadline.unwrap_or(StreamOrigin::MAX_STREAM_AGE),
        tokens,
        tried: 0,
    })
}

/// Returns the time that a caller has waited before its request arrived, by what is left of the route's time. Callers whose
/// time is just a little shorter than the route's have not waited.
fn waited_before(longest: Duration, left: Option<Duration>) -> Duration {
    /// Share of the route's time, in permille, by which a caller's own time may be shorter.
    const PATIENCE_PERMILLE: u32 = 200;
    let spent = longest.saturating_sub(left.unwrap_or(longest));
    match spent > longest * PATIENCE_PERMILLE / 1_000 {
        true => spent,
        false => Duration::ZERO,
    }
}

/// Returns the key of the stream that a request begins or takes up again; `None` if it can't be taken up again.
fn stream_key(
    route: &GatewayRoute,
    workspace: Option<&GatewayWorkspace>,
    head: &CallHead,
) -> Option<StreamKey> {
    let first_attempt = match &head.resumption {
        Some(resumption) => resumption.first_attempt.as_ref()?,
        None => &head.request,
    };
    let workspace = workspace.map(|workspace| &*workspace.name);
    OriginController::is_resumable(route).then(|| StreamKey::new(workspace, first_attempt))
}

/// Finds out which service and software version must go on with a stream that a caller takes up again.
async fn find_origin(
    node: &Node,
    route: &GatewayRoute,
    workspace: Option<&str>,
    resumption: &StreamResumption,
    request: &str,
) -> Result<StreamOrigin, Refusal> {
    let asked = node.clock.now();
    let first_attempt = resumption.first_attempt.as_deref();
    let key = first_attempt.map(|attempt| StreamKey::new(workspace, attempt));
    let known = node.gateway.origins.find(node, route, key).await;
    let took = node.clock.now().saturating_sub(asked);
    let source = known.as_ref().map_or("none", KnownOrigin::source);
    let origin = known.map(KnownOrigin::into_origin);
    let is_routed = |origin: &StreamOrigin| route.services().contains(&origin.service);
    let outcome = match &origin {
        None => "unknown",
        Some(origin) if !is_routed(origin) => "not routed",
        Some(_) => "found",
    };
    log::info!(
        request:% = request, resumes:% = first_attempt.unwrap_or("not named"), route:% = route.name, source:% = source,
        service:% = origin.as_ref().map_or("", |origin| &origin.service),
        software:% = origin.as_ref().map_or("", |origin| &origin.software),
        outcome:% = outcome, took_ms = took.as_millis() as u64;
        "stream taken up again"
    );
    let label = ResumptionLabel {
        outcome: outcome.into(),
    };
    node.metrics.stream_resumptions.get_or_create(&label).inc();
    match origin {
        Some(origin) if is_routed(&origin) => Ok(origin),
        Some(_) => {
            let message = "the route no longer leads to the service that began the stream";
            Err(not_ready_refusal(RefusalCode::NoUpstream, message))
        }
        None => {
            let message = "the software version that began the stream is not known";
            Err(not_ready_refusal(RefusalCode::NoUpstream, message))
        }
    }
}

/// Waits until a VM that has just started can serve, and returns the body if it was read for that.
///
/// When all VMs start together, a region has no other VM that could answer during the two seconds
/// of the start. A start takes longer than the third of their time that callers may wait before a
/// retry, so a caller refused at once would be refused again. Holding the request gives the caller
/// a late answer instead of a refusal.
async fn wait_for_start(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
    deadline: Option<Duration>,
) -> Result<Option<Bytes>, Refusal> {
    let is_ready = || {
        let now = node.clock.now();
        node.gateway.has_routes(node) && node.gateway.confirmed(now)
    };
    let until = start_wait_end(node, deadline);
    if is_ready() || node.clock.now() >= until {
        return Ok(None);
    }
    // A caller considers the VM dead if its request is not read.
    let body = body::read(node, req.headers(), payload).await?;
    while !is_ready() && node.clock.now() < until && !node.draining() {
        actix_rt::time::sleep(START_POLL_INTERVAL).await;
    }
    Ok(Some(body))
}

/// Returns the time until which a request waits for the start of its VM: the expected end of the
/// start, or half of the request's own time if that is earlier.
fn start_wait_end(node: &Node, deadline: Option<Duration>) -> Duration {
    let half = deadline.map(|deadline| node.clock.now() + deadline / 2);
    half.map_or(expected_start_end(node), |half| {
        half.min(expected_start_end(node))
    })
}

fn expected_start_end(node: &Node) -> Duration {
    node.settings.gateway.start_takes
}

/// Finds the route and the workspace of a request. Without confirmation that its configuration is
/// the newest, a VM neither denies that a route or key exists nor accepts a key.
fn find_route_and_workspace(
    node: &Node,
    table: &RouteTable,
    head: &CallHead,
    path: &str,
) -> Result<(GatewayRoute, Option<GatewayWorkspace>), Refusal> {
    let confirmed = node.gateway.confirmed(node.clock.now());
    let Some(route) = table.find_route(&head.host, path) else {
        return Err(match confirmed {
            true => Refusal::not_run(RefusalCode::UnknownPath, "no route serves this path"),
            false => unconfirmed_refusal(),
        });
    };
    if route.public {
        return Ok((route.clone(), None));
    }
    if !confirmed {
        return Err(unconfirmed_refusal());
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

/// Takes the request's tokens from the allowance of a workspace that has a quota.
async fn reserve(
    node: &Rc<Node>,
    route: &GatewayRoute,
    workspace: Option<&GatewayWorkspace>,
    tokens: Tokens,
    deadline: Option<Duration>,
) -> Result<Option<Reserved>, Refusal> {
    let Some(workspace) = workspace.filter(|workspace| workspace.quota.is_some()) else {
        return Ok(None);
    };
    let max_wait = Duration::from_millis(route.aim_ms / 4).max(MIN_ALLOWANCE_WAIT);
    while node.clock.now() < start_wait_end(node, deadline) {
        match AllowanceController::admit(node, &workspace.name, tokens).await {
            Ok(reserved) => return Ok(Some(reserved)),
            // The allowance shares of the holders can't be used until the leases from before their
            // restart have expired.
            Err(_) => actix_rt::time::sleep(START_POLL_INTERVAL).await,
        }
    }
    let admitted = AllowanceController::admit_within(node, &workspace.name, tokens, max_wait);
    let reserved = admitted.await.map_err(|mut refusal| {
        let (rate, burst) = workspace.quota.map_or((0, 0), |quota| (quota.rate, quota.burst));
        match refusal.code {
            RefusalCode::AllowanceExhausted => {
                log::info!(workspace:% = workspace.name, tokens = tokens, rate = rate, burst = burst; "over its quota");
            }
            _ => {
                log::warn!(workspace:% = workspace.name, tokens = tokens, reason:% = refusal.message; "allowance not known");
            }
        }
        let delay = refusal.retry_after.unwrap_or(MAX_QUOTA_RETRY);
        refusal.retry_after = Some(delay.min(MAX_QUOTA_RETRY));
        refusal
    })?;
    Ok(Some(reserved))
}

/// Returns the regions that may serve a request: those of the route or of the workspace, or those
/// in both if both name some. `None` means all regions.
fn allowed_regions(
    route: &GatewayRoute,
    workspace: Option<&GatewayWorkspace>,
) -> Option<BTreeSet<RegionId>> {
    let own = workspace.map(|workspace| &workspace.homes);
    match (&route.homes, own.filter(|homes| !homes.is_empty())) {
        (homes, None) if homes.is_empty() => None,
        (homes, None) => Some(homes.clone()),
        (homes, Some(own)) if homes.is_empty() => Some(own.clone()),
        (homes, Some(own)) => Some(homes.intersection(own).cloned().collect()),
    }
}

/// Builds the refusal of a VM that can't confirm that its configuration is the newest.
pub(crate) fn unconfirmed_refusal() -> Refusal {
    let message = "this VM has not heard lately whether its configuration is the newest";
    not_ready_refusal(RefusalCode::NotReady, message)
}

/// Returns the delay after which the caller of a VM that is leaving is likely to find another one that takes its request,
/// which is due at `end`.
fn departure_retry(
    node: &Node,
    route: &GatewayRoute,
    workspace: Option<&GatewayWorkspace>,
    end: Duration,
) -> Duration {
    let homes = allowed_regions(route, workspace);
    match node.gateway.time_to_return(node, homes.as_ref()) {
        Duration::ZERO => UNCONFIRMED_RETRY,
        wait => {
            let left = end.saturating_sub(node.clock.now());
            let aim = Duration::from_millis(route.aim_ms);
            VmReturns::retry_delay(wait, aim, left, node.gateway.draw())
        }
    }
}

/// Builds a refusal with the default retry delay, for a request that has not run.
fn not_ready_refusal(code: RefusalCode, message: &str) -> Refusal {
    Refusal::not_run(code, message).with_retry_after(UNCONFIRMED_RETRY)
}

/// Builds the response for a refusal. Its `retry-after` has fractions of a second, because a whole
/// second is most of the time that some requests have.
fn refusal_response(node: &Node, refusal: &Refusal) -> Response<BoxBody> {
    let mut response = respond::refusal(refusal, None);
    if !refusal.run.allows(response.status().as_u16()) {
        response.head_mut().status = StatusCode::BAD_GATEWAY;
    }
    if let Some(status) = node.gateway.dialect.refusal_status(refusal.code) {
        response.head_mut().status = status;
    }
    if let Some(delay) = refusal.retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        headers::set(response.headers_mut(), "retry-after", &seconds);
    }
    response
}
