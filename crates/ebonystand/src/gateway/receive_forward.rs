//! Accepts requests that other VMs forward and sends them to upstreams of this region.

use super::*;
use {
    call::{Call, CallSoftware, Destination, Outcome},
    ebonystand_core::{AttemptEnd, Mechanism, TargetChoice},
    ebonystand_wire::{BoundForwarded, Forwarded},
    in_flight::InFlight,
    may_have_run::MayHaveRun,
    node::Node,
    relay::RequestResources,
    retry_permit::RetryPermit,
    room_queues::RoomTurn,
    slot_turn::SlotTurn,
    std::collections::BTreeSet,
};

/// Most upstreams that are tried again after a forwarded request found them gone.
const MAX_GONE: usize = 2;

/// Answers a request that another VM forwards.
pub(crate) async fn handle(node: Rc<Node>, mut req: Request) -> Response<BoxBody> {
    let mut payload = req.take_payload();
    let may_have_run = MayHaveRun::default();
    let outcome = tokio::select! {
        biased;
        outcome = serve(&node, &req, &mut payload, &may_have_run) => outcome,
        () = node.ended() => ended_outcome(&may_have_run),
    };
    let accepts_unframed = req.headers().contains_key(forward::ACCEPTS_UNFRAMED);
    let mut software = None;
    let (mut response, end, retry_after) = match outcome {
        Outcome::Answered(mut answered) => {
            software = answered.software.take();
            if !accepts_unframed {
                answered.relay.require_framing();
            }
            (answered.into_response(), forward::BY_UPSTREAM, None)
        }
        Outcome::Ended {
            answer,
            end,
            retry_after,
        } => {
            body::discard(&node, &mut payload).await;
            let name = forward::attempt_end_name(end, answer.is_some());
            let response = answer.map_or_else(
                || Response::new(status_without_answer(end)).map_into_boxed_body(),
                FailureAnswer::into_response,
            );
            (response, name, retry_after)
        }
    };
    headers::set(response.headers_mut(), forward::ATTEMPT_END, end);
    response.headers_mut().remove(forward::SOFTWARE);
    if let Some(software) = software {
        headers::set(response.headers_mut(), forward::SOFTWARE, &software);
    }
    if let Some(delay) = retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        headers::set(response.headers_mut(), "retry-after", &seconds);
    }
    response.headers_mut().remove(forward::UNFRAMED);
    if !response.head().chunked() {
        // With chunks, a VM that goes down is not taken for an upstream that closes.
        response.head_mut().no_chunking(false);
        headers::set(response.headers_mut(), forward::UNFRAMED, "1");
    }
    respond::close_if_leaving(&node, &mut response);
    response
}

/// Returns the status that tells the forwarding VM of an attempt without an answer that can be passed on. A VM of an earlier
/// build passes the status on to the caller.
fn status_without_answer(end: AttemptEnd) -> StatusCode {
    match end.is_known_not_run() {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::BAD_GATEWAY,
    }
}

/// Tells the forwarding VM that this one ends before the answer.
fn ended_outcome(may_have_run: &MayHaveRun) -> Outcome {
    Outcome::ended(match may_have_run.get() {
        true => AttemptEnd::TimedOut,
        false => AttemptEnd::Departing,
    })
}

async fn serve(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
    may_have_run: &MayHaveRun,
) -> Outcome {
    let now = node.clock.now();
    let (forwarded, software) = match read_metadata(node, req.headers()) {
        Ok(metadata) => metadata,
        Err(error) => {
            node.metrics.peer_refused.inc();
            log::warn!(error:% = error; "forwarded request refused: its metadata header is invalid");
            return Outcome::ended(AttemptEnd::Unreachable);
        }
    };
    let limit = node.settings.limits.requests;
    let Some(in_flight) = InFlight::enter(&node.in_flight, limit) else {
        return Outcome::ended(AttemptEnd::Unreachable);
    };
    if forwarded.region != node.settings.region {
        let mut book = node.gateway.book.borrow_mut();
        book.record_arrival_from(now, &forwarded.region, &forwarded.service);
    }
    let is_cut = node.gateway.book.borrow().is_path_cut(&forwarded.service);
    if is_cut {
        log::info!(request:% = forwarded.request, service:% = forwarded.service; "forwarded request refused: no path to the upstreams");
    }
    if is_cut || !node.gateway.serves(node) {
        return Outcome::ended(AttemptEnd::Unreachable);
    }
    let body = match body::read(node, req.headers(), payload).await {
        Ok(body) => body,
        Err(refusal) => {
            log::warn!(request:% = forwarded.request, refusal:% = refusal; "body of a forwarded request could not be read");
            return Outcome::ended(AttemptEnd::Unreachable);
        }
    };
    let mut call = Call {
        admitted: now,
        aim: Duration::from_millis(forwarded.aim_ms),
        arrived: now,
        body,
        end: now + Duration::from_millis(forwarded.left_ms),
        excluded: Vec::new(),
        excluded_vms: Vec::new(),
        forwarded_from: Some(forwarded.region),
        full_regions: BTreeSet::new(),
        headers: headers::passed_on(
            req.headers(),
            &[
                forward::ACCEPTS_UNFRAMED,
                forward::BOUND,
                forward::FORWARDED,
                forward::KIND,
                forward::SOFTWARE,
            ],
        ),
        homes: forwarded.homes,
        kind: forward::parse_kind(req.headers()),
        may_have_run: may_have_run.clone(),
        method: req.method().clone(),
        path: serve_call::path_and_query(req),
        prompt: forwarded.prompt,
        rank: forwarded.rank,
        request: forwarded.request,
        service: forwarded.service,
        software,
        waited: Duration::ZERO,
        unscheduled: false,
        workspace: forwarded.workspace,
    };
    if call.would_be_cut_off(node) {
        log::info!(request:% = call.request, leaving_for_ms:? = node.leaving_for_ms(now); "forwarded request refused: this VM ends before its answer");
        return Outcome::ended(AttemptEnd::Departing);
    }
    // The request has not run, so another upstream of this region is tried before it travels between
    // regions again.
    let mut permit = None;
    let mut is_turned_away = false;
    loop {
        RetryPermit::begin_attempt(&mut permit);
        let (outcome, tried) = serve_here(node, &call).await;
        let Outcome::Ended { end, .. } = outcome else {
            return with_in_flight(outcome, in_flight);
        };
        RetryPermit::end_attempt(&mut permit, end.can_have_reached_upstream());
        may_have_run.set(!end.is_known_not_run());
        let is_gone = matches!(end, AttemptEnd::AddressReused | AttemptEnd::Unreachable);
        let gone = tried.filter(|_| is_gone && call.excluded.len() < MAX_GONE);
        is_turned_away |= end == AttemptEnd::AddressReused;
        let Some(instance) = gone else {
            let outcome = outcome.read_rest(node, &call).await;
            return with_earlier_attempts(outcome, is_turned_away);
        };
        let (grant, granted) = node.gateway.retries.try_retry(node, &call.service, end);
        if !grant.is_granted() {
            return with_earlier_attempts(outcome, is_turned_away);
        }
        permit = granted.or(permit);
        call.excluded.push(instance);
    }
}

/// Reads the metadata of a forwarded request, and the software versions that may get it.
fn read_metadata(
    node: &Node,
    headers: &HeaderMap,
) -> ebonystand_wire::Result<(Forwarded, CallSoftware)> {
    let secret = &node.peers.secret;
    if let Some(text) = headers::text(headers, forward::BOUND) {
        let bound = BoundForwarded::from_header(secret, text)?;
        return Ok((bound.forwarded, CallSoftware::Only(bound.software)));
    }
    let text = headers::text(headers, forward::FORWARDED).unwrap_or_default();
    let software = match headers::text(headers, forward::SOFTWARE) {
        Some(forward::KNOWN) => CallSoftware::Known,
        _ => CallSoftware::Any,
    };
    Ok((Forwarded::from_header(secret, text)?, software))
}

/// Sends a forwarded call to an upstream of this region. Returns how the attempt ended, and the
/// upstream unless nothing was sent to any.
async fn serve_here(node: &Rc<Node>, call: &Call) -> (Outcome, Option<UpstreamId>) {
    let none = BTreeSet::new();
    if let Err(refusal) = call.check_quarantine(node).await {
        return (quarantined_outcome(call, &refusal), None);
    }
    let mut choice = call.choose(node, &none);
    let mut slot = None;
    match SlotTurn::wait(node, call, &choice).await {
        SlotTurn::Granted { engine, hold } => {
            if let Err(refusal) = call.check_quarantine(node).await {
                return (quarantined_outcome(call, &refusal), None);
            }
            match call.granted_target(node, engine) {
                Some(granted) => (choice, slot) = (granted, Some(hold)),
                // The engine has changed meanwhile.
                None => choice = call.choose(node, &none),
            }
        }
        SlotTurn::Refused { retry_after } => return (no_room_outcome(retry_after), None),
        SlotTurn::Unscheduled => choice = call.choose(node, &none),
        SlotTurn::NotAsked => {}
    }
    let waits = node
        .gateway
        .book
        .borrow()
        .is_enabled(Mechanism::ForwardedWait);
    while waits
        && matches!(choice, TargetChoice::NoRoom { .. })
        && call.wait_for_room(node).await == RoomTurn::Come
    {
        if let Err(refusal) = call.check_quarantine(node).await {
            return (quarantined_outcome(call, &refusal), None);
        }
        choice = call.choose(node, &none);
    }
    match choice {
        TargetChoice::Upstream {
            address,
            import,
            instance,
            predicted,
            software,
            unread,
            ..
        } => {
            log::info!(
                request:% = call.request, upstream:% = instance, software:% = software, unread = unread,
                import_from:? = import.as_ref().map(|source| &source.instance),
                import_tokens = import.as_ref().map_or(0, |source| source.tokens),
                predicted_ms = predicted.as_millis() as u64, leaving_for_ms:? = node.leaving_for_ms(node.clock.now());
                "forwarded request sent"
            );
            let wait = call.remaining_time(node);
            let to = Destination {
                address,
                import,
                instance,
                software,
                unread,
            };
            let outcome = call.send_here(node, &to, slot, wait).await;
            (outcome, Some(to.instance))
        }
        // Nothing was sent to an upstream, so the forwarding VM may try another region.
        TargetChoice::NoRoom { predicted } => (no_room_outcome(predicted), None),
        TargetChoice::Unavailable { retry_after, .. } => (no_room_outcome(retry_after), None),
        TargetChoice::Forward { .. } => (Outcome::ended(AttemptEnd::Unreachable), None),
    }
}

/// Reports a request that an upstream has turned away as such, even if nothing was sent in the
/// attempts that followed. The forwarding VM would otherwise not count its next attempt as a retry.
fn with_earlier_attempts(mut outcome: Outcome, is_turned_away: bool) -> Outcome {
    if let Outcome::Ended { end, .. } = &mut outcome
        && is_turned_away
        && matches!(end, AttemptEnd::Departing | AttemptEnd::Unreachable)
    {
        *end = AttemptEnd::AddressReused;
    }
    outcome
}

/// Tells the forwarding VM that this one refuses the request because it crashes upstreams.
fn quarantined_outcome(call: &Call, refusal: &Refusal) -> Outcome {
    log::info!(request:% = call.request, reason:% = refusal.message; "forwarded request refused");
    match refusal.code {
        RefusalCode::Quarantined => Outcome::ended(AttemptEnd::Quarantined),
        // The region may have room for other prompts.
        _ => Outcome::ended(AttemptEnd::Unreachable),
    }
}

/// Tells the forwarding VM that this region has no room, and when to retry.
fn no_room_outcome(retry_after: Duration) -> Outcome {
    Outcome::Ended {
        answer: None,
        end: AttemptEnd::Unreachable,
        retry_after: Some(retry_after),
    }
}

/// Keeps the request counted as in flight until its answer has ended.
fn with_in_flight(mut outcome: Outcome, in_flight: InFlight) -> Outcome {
    if let Outcome::Answered(answered) = &mut outcome {
        answered
            .relay
            .set_resources(RequestResources::new(in_flight, None));
    }
    outcome
}
