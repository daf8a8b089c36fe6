//! Chain of filters of a call to a plain service.

use super::*;
use {
    admitted_request::AdmittedRequest,
    allowance_controller::{AllowanceController, Reserved},
    attempt::Attempt,
    dispatch::{Answer, DispatchFailure, Outgoing},
    ebonystand_core::{CallKind, Priority, RunEnd, Target},
    may_have_run::MayHaveRun,
    node::Node,
    order_controller::OrderController,
    retry_permit::RetryPermit,
};

/// A call as the caller made it.
pub(crate) struct ServiceCall {
    pub(crate) content_type: Box<str>,
    pub(crate) method: Method,
    pub(crate) path: Box<str>,
    pub(crate) req: AdmittedRequest,
}

const ORDER_KEY: &str = "x-ebonystand-order-key";

/// A call that passed the filters.
struct Prepared {
    call: ServiceCall,
    order_key: Option<Box<str>>,
    reserved: Reserved,
    tokens: Tokens,
}

pub(crate) async fn handle(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
    id: &str,
    rest: &str,
    may_have_run: &MayHaveRun,
) -> Result<Response<BoxBody>, Refusal> {
    let prepared = prepare(node, req, payload, id, rest, may_have_run).await;
    let prepared = prepared.map_err(|refusal| before_journal(req, refusal))?;
    let Prepared {
        call,
        order_key,
        mut reserved,
        tokens,
    } = prepared;
    let answer = match order_key {
        Some(key) => OrderController::run(node, call, key).await,
        None => run(node, call).await,
    };
    let not_run = |refusal: &Refusal| refusal.run == RunState::NotRun;
    if !answer.as_ref().is_err_and(not_run) {
        reserved.use_up(tokens);
    }
    let answer = answer?;
    Ok(respond::whole(
        answer.status,
        &answer.content_type,
        answer.body,
    ))
}

/// Refusal of a request before the journal was asked about its order, if it has an order key.
///
/// This request has not run the order, but it may be the resend of one that has. Told `not_run`, a
/// caller who lost the first answer would order anew under another key, and the order would run
/// twice. Only the journal knows.
pub(crate) fn before_journal(req: &Request, refusal: Refusal) -> Refusal {
    if header(req, ORDER_KEY).is_none() {
        return refusal;
    }
    Refusal {
        run: RunState::Unknown,
        ..refusal
    }
}

async fn prepare(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
    id: &str,
    rest: &str,
    may_have_run: &MayHaveRun,
) -> Result<Prepared, Refusal> {
    let arrived = node.clock.now();
    let caller = authenticate::check(node, req)?;
    check_residency::check(node, &caller)?;
    let deadline = deadline::read(node, req)?;
    let (service_id, path) = rest.split_once('/').ok_or_else(unknown_path)?;
    let offer = find_call(node, service_id, req.method(), path)?;
    let order_key = header(req, ORDER_KEY);
    if offer.once && order_key.is_none() {
        let message = format!("the call must not run twice and needs the header {ORDER_KEY}");
        return Err(Refusal::not_run(RefusalCode::OrderKeyMissing, message));
    }
    let body = body::read(node, req.headers(), payload).await?;
    let target = Target::Service(service_id.into());
    node.count_request(&caller.workspace);
    let call = ServiceCall {
        content_type: header(req, "content-type").unwrap_or("application/octet-stream".into()),
        method: req.method().clone(),
        path: path_and_query(req, path),
        req: AdmittedRequest {
            arrived,
            fingerprint: AdmittedRequest::fingerprint(&caller, &target, &body),
            body,
            caller,
            deadline,
            excluded: Vec::new(),
            failure: None,
            id: id.into(),
            max_tokens: 1,
            may_have_run: may_have_run.clone(),
            permit: None,
            prefix: 0,
            prefix_tokens: 0,
            prompt_tokens: 0,
            silent: Vec::new(),
            target,
        },
    };
    let workspace = call.req.caller.workspace.clone();
    let reserved = AllowanceController::admit(node, &workspace, offer.tokens).await?;
    Ok(Prepared {
        call,
        order_key: order_key.filter(|_| offer.once),
        reserved,
        tokens: offer.tokens,
    })
}

/// A call as the service offers it.
struct Offer {
    once: bool,
    tokens: Tokens,
}

fn find_call(node: &Node, service: &str, method: &Method, path: &str) -> Result<Offer, Refusal> {
    let document = node.document();
    let service = document.services.get(service).ok_or_else(unknown_path)?;
    let call = service
        .find_call(method.as_str(), path)
        .ok_or_else(unknown_path)?;
    Ok(Offer {
        once: call.once,
        tokens: service.tokens_per_call.max(1),
    })
}

fn header(req: &Request, name: &str) -> Option<Box<str>> {
    let value = req.headers().get(name)?.to_str().ok()?;
    Some(value.into())
}

fn path_and_query(req: &Request, path: &str) -> Box<str> {
    match req.uri().query() {
        Some(query) => format!("/{path}?{query}").into(),
        None => format!("/{path}").into(),
    }
}

/// Runs an idempotent call on one upstream after another, until one answers or no more try is
/// allowed.
async fn run(node: &Rc<Node>, mut call: ServiceCall) -> Result<Answer, Refusal> {
    loop {
        let route = call
            .req
            .route(node)
            .map_err(|refusal| call.req.final_refusal(refusal))?;
        let limit = call.req.left(node);
        let run = node.quarantine.begin(node, call.req.fingerprint, limit);
        let run = run
            .await
            .map_err(|refusal| call.req.final_refusal(refusal))?;
        if !call.req.confirm(node, &route.upstream) {
            node.quarantine.finished(node, run, RunEnd::Clean);
            continue;
        }
        let expected = Some(route.predicted_end);
        let refusal = call
            .req
            .departure_refusal(node, CallKind::Idempotent, expected);
        if let Some(refusal) = refusal {
            node.quarantine.finished(node, run, RunEnd::Clean);
            return Err(call.req.final_refusal(refusal));
        }
        let attempt = Attempt::begin(node, &call.req, route, run);
        let upstream = attempt.upstream().clone();
        RetryPermit::begin_attempt(&mut call.req.permit);
        let failure = match call.send(node, &attempt, false).await {
            Ok(answer) => {
                attempt.answered(1);
                return Ok(answer);
            }
            Err(failure) => failure,
        };
        attempt.failed(&failure);
        call.req.retry(node, upstream, &failure)?;
    }
}

fn unknown_path() -> Refusal {
    Refusal::not_run(RefusalCode::UnknownPath, "no such path, service or call")
}

impl ServiceCall {
    /// Sends the call and reads the whole answer.
    pub(crate) async fn send(
        &self,
        node: &Node,
        attempt: &Attempt,
        once: bool,
    ) -> Result<Answer, DispatchFailure> {
        let first_byte = Duration::from_millis(node.document().preset().first_byte_ms);
        let left = self.req.left(node);
        let outgoing = Outgoing {
            address: attempt.address(),
            body: self.req.body.clone(),
            content_type: &self.content_type,
            method: self.method.clone(),
            fresh: once,
            path: &self.path,
            priority: Priority::default(),
            request_id: &self.req.id,
            timeout: if once { left } else { left.min(first_byte) },
            upstream: attempt.upstream(),
            workspace: &self.req.caller.workspace,
        };
        self.req.may_have_run.set(true);
        let response = dispatch::send(node, &outgoing).await?;
        dispatch::read_whole(node, response, self.req.left(node)).await
    }
}
