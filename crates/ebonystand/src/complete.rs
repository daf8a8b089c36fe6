//! Chain of filters of a chat completion.

use super::*;
use {
    admitted_request::AdmittedRequest,
    allowance_controller::{AllowanceController, Reserved},
    attempt::Attempt,
    chat_request::ChatRequest,
    dispatch::{DispatchFailure, Outgoing},
    ebonystand_core::{CallKind, RunEnd, StreamFraming, StreamGuard, Target},
    in_flight::InFlight,
    may_have_run::MayHaveRun,
    node::Node,
    queue_controller::{QueueController, Slot},
    relay::Relay,
    retry_permit::RetryPermit,
};

/// Answer of an upstream as far as it has come.
enum Begun {
    Stream(Box<BegunStream>),
    Whole(dispatch::Answer),
}

/// What a request holds until its answer has ended.
pub(crate) struct Held {
    pub(crate) _in_flight: InFlight,
    pub(crate) reserved: Reserved,
    pub(crate) _slot: Slot,
}

/// A stream whose first bytes have come.
struct BegunStream {
    attempt: Attempt,
    first: Bytes,
    guard: StreamGuard,
    response: awc::ClientResponse,
}

pub(crate) async fn handle(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
    id: &str,
    in_flight: InFlight,
    may_have_run: &MayHaveRun,
) -> Result<Response<BoxBody>, Refusal> {
    let arrived = node.clock.now();
    let caller = authenticate::check(node, req)?;
    check_residency::check(node, &caller)?;
    let deadline = deadline::read(node, req)?;
    let body = body::read(node, req.headers(), payload).await?;
    let chat = ChatRequest::parse(&body)?;
    let target = Target::Model(chat.model.clone());
    let fingerprint = AdmittedRequest::fingerprint(&caller, &target, &body);
    if let Some(refusal) = node.quarantine.refusal(node.clock.now(), fingerprint) {
        return Err(refusal);
    }
    node.count_request(&caller.workspace);
    let mut req = AdmittedRequest {
        arrived,
        body,
        caller,
        deadline,
        excluded: Vec::new(),
        failure: None,
        fingerprint,
        id: id.into(),
        max_tokens: chat.max_tokens,
        may_have_run: may_have_run.clone(),
        permit: None,
        prefix: chat.prefix,
        prefix_tokens: chat.prefix_tokens,
        prompt_tokens: chat.prompt_tokens,
        silent: Vec::new(),
        target,
    };
    let work = chat.tokens();
    let mut reserved =
        AllowanceController::admit(node, &req.caller.workspace, chat.tokens()).await?;
    let slot = QueueController::enter(node, &req.caller.workspace, work, deadline).await?;
    let begun = run(node, &mut req, chat.stream).await;
    match &begun {
        Ok(Begun::Whole(answer)) => {
            reserved.use_up(chat.prompt_tokens + answer.generated_tokens(chat.max_tokens));
        }
        Ok(Begun::Stream(_)) => reserved.use_up(chat.prompt_tokens),
        Err(refusal) if refusal.run == RunState::NotRun => {}
        // What an engine made of a request that broke is not known.
        Err(_) => reserved.use_up(chat.tokens()),
    }
    let begun = begun?;
    let held = Held {
        _in_flight: in_flight,
        _slot: slot,
        reserved,
    };
    Ok(respond(node, req, begun, held))
}

/// Runs the request on one upstream after another, until one answers or no more try is allowed.
async fn run(node: &Rc<Node>, req: &mut AdmittedRequest, stream: bool) -> Result<Begun, Refusal> {
    let kind = match stream {
        true => CallKind::Stream,
        false => CallKind::Idempotent,
    };
    loop {
        let route = req
            .route(node)
            .map_err(|refusal| req.final_refusal(refusal))?;
        let limit = req.left(node);
        let run = node.quarantine.begin(node, req.fingerprint, limit).await;
        let run = run.map_err(|refusal| req.final_refusal(refusal))?;
        if !req.confirm(node, &route.upstream) {
            node.quarantine.finished(node, run, RunEnd::Clean);
            continue;
        }
        if let Some(refusal) = req.departure_refusal(node, kind, Some(route.predicted_end)) {
            node.quarantine.finished(node, run, RunEnd::Clean);
            return Err(req.final_refusal(refusal));
        }
        let attempt = Attempt::begin(node, req, route, run);
        let upstream = attempt.upstream().clone();
        RetryPermit::begin_attempt(&mut req.permit);
        let failure = match send(node, req, attempt, stream).await {
            Ok(begun) => return Ok(begun),
            Err(failure) => failure,
        };
        req.retry(node, upstream, &failure)?;
    }
}

async fn send(
    node: &Rc<Node>,
    req: &AdmittedRequest,
    attempt: Attempt,
    stream: bool,
) -> Result<Begun, DispatchFailure> {
    let first_byte = Duration::from_millis(node.document().preset().first_byte_ms);
    let left = req.left(node);
    let outgoing = Outgoing {
        address: attempt.address(),
        body: req.body.clone(),
        content_type: "application/json",
        method: Method::POST,
        fresh: !stream,
        path: "/v1/chat/completions",
        priority: node.queue.priority(&req.caller.workspace),
        request_id: &req.id,
        timeout: if stream { left.min(first_byte) } else { left },
        upstream: attempt.upstream(),
        workspace: &req.caller.workspace,
    };
    req.may_have_run.set(true);
    let answered = dispatch::send(node, &outgoing).await;
    let result = match answered {
        Ok(response) if is_engines_fault(response.status()) => {
            let status = response.status().as_u16();
            Err(DispatchFailure::Status { status })
        }
        Ok(response) if stream && response.status().is_success() => {
            return begin_stream(node, req, attempt, response).await;
        }
        Ok(response) => dispatch::read_whole(node, response, req.left(node)).await,
        Err(failure) => Err(failure),
    };
    match result {
        Ok(answer) => {
            attempt.answered(answer.generated_tokens(req.max_tokens));
            Ok(Begun::Whole(answer))
        }
        Err(failure) => {
            attempt.failed(&failure);
            Err(failure)
        }
    }
}

/// Whether another engine may answer better. Other errors are the request's own, such as a prompt
/// that is too long: each engine would answer the same, and the caller needs to read why.
fn is_engines_fault(status: StatusCode) -> bool {
    match status {
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => true,
        _ => !status.is_success() && !status.is_client_error(),
    }
}

/// Waits for the first bytes of a stream: until then another upstream can still be tried.
async fn begin_stream(
    node: &Rc<Node>,
    req: &AdmittedRequest,
    mut attempt: Attempt,
    mut response: awc::ClientResponse,
) -> Result<Begun, DispatchFailure> {
    let now = node.clock.now();
    let guard = {
        let document = node.document();
        let preset = document.preset();
        StreamGuard::new(now, StreamFraming::Events, req.deadline, false, preset)
    };
    let wait = guard.next_tick().saturating_sub(now);
    let failure = match actix_rt::time::timeout(wait, response.next()).await {
        Ok(Some(Ok(first))) => {
            attempt.first_byte();
            return Ok(Begun::Stream(Box::new(BegunStream {
                attempt,
                first,
                guard,
                response,
            })));
        }
        Ok(_) => DispatchFailure::Broken {
            message: "the stream ended before its first token".into(),
        },
        Err(_) => DispatchFailure::Timeout,
    };
    drop(response);
    attempt.failed(&failure);
    Err(failure)
}

fn respond(node: &Rc<Node>, req: AdmittedRequest, begun: Begun, held: Held) -> Response<BoxBody> {
    match begun {
        Begun::Whole(answer) => respond::whole(answer.status, &answer.content_type, answer.body),
        Begun::Stream(begun) => {
            let relay = Relay {
                attempt: Some(begun.attempt),
                first: Some(begun.first),
                guard: begun.guard,
                key: req.caller.key,
                node: Rc::clone(node),
                response: Some(begun.response),
                held,
                prompt_tokens: req.prompt_tokens,
            };
            Response::build(StatusCode::OK)
                .insert_header(("cache-control", "no-store"))
                .insert_header(("content-type", "text/event-stream"))
                .body(BodyStream::new(relay.into_stream()))
                .map_into_boxed_body()
        }
    }
}
