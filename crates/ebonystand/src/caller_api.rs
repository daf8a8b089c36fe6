//! What callers ask for.

use super::*;
use {
    ebonystand_core::EntryList, gateway::serve_call, in_flight::InFlight, may_have_run::MayHaveRun,
    node::Node,
};

/// What paths of the gateway's own interface begin with; all others are for routes.
const OWN: &str = "/v1/";
const SERVICES: &str = "/v1/services/";

pub(crate) async fn handle(node: Rc<Node>, mut req: Request) -> Response<BoxBody> {
    if !req.path().starts_with(OWN) && node.gateway.has_routes(&node) {
        return serve_call::handle(node, req).await;
    }
    let id = node.request_id();
    let mut payload = req.take_payload();
    let may_have_run = MayHaveRun::default();
    let served = tokio::select! {
        biased;
        served = route(&node, &req, &mut payload, &id, &may_have_run) => served,
        () = node.ended() => Err(call_service::before_journal(&req, ended(&may_have_run))),
    };
    let mut response = match served {
        Ok(response) => response,
        Err(refusal) => {
            log::info!(request = &*id, code:% = refusal.code, run:% = refusal.run, reason:% = refusal.message; "refused");
            node.count_refusal(&refusal);
            body::discard(&node, &mut payload).await;
            let entry = elsewhere(&node, &req, &refusal);
            respond::refusal(&refusal, entry.as_ref())
        }
    };
    if let Ok(value) = actix_http::header::HeaderValue::from_str(&id) {
        let name = actix_http::header::HeaderName::from_static("x-ebonystand-request");
        response.headers_mut().insert(name, value);
    }
    respond::close_if_leaving(&node, &mut response);
    response
}

/// Refusal of a request that still runs when this VM ends.
fn ended(may_have_run: &MayHaveRun) -> Refusal {
    let message = "this VM has ended before the answer came";
    match may_have_run.get() {
        true => Refusal::possibly_run(RefusalCode::Deadline, message),
        false => Refusal::not_run(RefusalCode::Draining, message),
    }
}

async fn route(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
    id: &str,
    may_have_run: &MayHaveRun,
) -> Result<Response<BoxBody>, Refusal> {
    loop_guard::check(req)?;
    let path: Box<str> = req.path().into();
    match (req.method(), &*path) {
        (&Method::GET, "/v1/health") => return Ok(health(node)),
        (&Method::GET, "/v1/entry") => return entry(node, req),
        _ => {}
    }
    let in_flight = admit(node).map_err(|refusal| call_service::before_journal(req, refusal))?;
    if let Some(rest) = path.strip_prefix(SERVICES) {
        let _in_flight = in_flight;
        return call_service::handle(node, req, payload, id, rest, may_have_run).await;
    }
    match (req.method(), &*path) {
        (&Method::POST, "/v1/chat/completions") => {
            complete::handle(node, req, payload, id, in_flight, may_have_run).await
        }
        _ => Err(Refusal::not_run(
            RefusalCode::UnknownPath,
            "no such path, service or call",
        )),
    }
}

/// VMs to turn to, for a caller that came to one that does not serve it.
fn elsewhere(node: &Node, req: &Request, refusal: &Refusal) -> Option<EntryList> {
    match refusal.code {
        RefusalCode::Draining | RefusalCode::NotReady | RefusalCode::Residency => {
            let caller = authenticate::check(node, req).ok()?;
            Some(node.entry_list(&caller))
        }
        _ => None,
    }
}

fn entry(node: &Node, req: &Request) -> Result<Response<BoxBody>, Refusal> {
    // Without a configuration no key is known: a valid one would be told to be invalid.
    if !node.state.ready() {
        return Err(not_ready());
    }
    let caller = authenticate::check(node, req)?;
    Ok(respond::json(StatusCode::OK, &node.entry_list(&caller)))
}

/// A place among the requests of this VM, if it takes any now.
fn admit(node: &Node) -> Result<InFlight, Refusal> {
    if node.draining() {
        return Err(Refusal::not_run(
            RefusalCode::Draining,
            "this VM is leaving; see the entry list of another",
        ));
    }
    if !node.ready() {
        return Err(not_ready());
    }
    let limit = node.settings.limits.requests;
    InFlight::enter(&node.in_flight, limit).ok_or_else(|| {
        Refusal::not_run(RefusalCode::Overloaded, "this VM has too many requests")
            .with_retry_after(Duration::from_secs(1))
    })
}

fn health(node: &Node) -> Response<BoxBody> {
    let ready = node.ready() && !node.leaving();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    respond::json(status, &serde_json::json!({ "ready": ready }))
}

fn not_ready() -> Refusal {
    Refusal::not_run(RefusalCode::NotReady, "this VM has just started")
        .with_retry_after(Duration::from_secs(1))
}
