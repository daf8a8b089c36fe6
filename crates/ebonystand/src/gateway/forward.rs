//! Forwards a request to another VM, which sends it to an upstream of its region. Upstreams accept
//! connections only from their own region, and a VM may have lost its path to those of its own.

use super::*;
use {
    call::{Call, CallSoftware, Outcome},
    ebonystand_core::{AttemptEnd, CallKind},
    ebonystand_wire::{BoundForwarded, Forwarded},
    node::Node,
    relay::{AnswerSource, Relay},
};

/// Header of a forwarded request that carries its [`Forwarded`] metadata.
pub(crate) const FORWARDED: &str = "x-ebonystand-forwarded";
/// Header of a forwarded request that takes a stream up again, in the place of [`FORWARDED`]; carries its
/// [`BoundForwarded`] metadata.
pub(crate) const BOUND: &str = "x-ebonystand-forwarded-bound";
/// Header of a forwarded request for a stream that may be taken up again, with the value [`KNOWN`], and of its answer,
/// with the software version of the upstream.
pub(crate) const SOFTWARE: &str = "x-ebonystand-software";
/// Header of a forwarded request with the [`CallKind`] of its route.
pub(crate) const KIND: &str = "x-ebonystand-kind";
/// Value of [`SOFTWARE`] that admits the software versions that all VMs know.
pub(crate) const KNOWN: &str = "known";
/// Header of a forwarded request that tells that its VM understands [`UNFRAMED`]. Other VMs would
/// take the last chunk of an unframed answer for its end.
pub(crate) const ACCEPTS_UNFRAMED: &str = "x-ebonystand-accepts-unframed";
/// Header of the answer to a forwarded request whose upstream has framed the body neither by a
/// length nor by chunks. The last chunk then only tells that the upstream closed its connection.
pub(crate) const UNFRAMED: &str = "x-ebonystand-unframed";
/// Header of the answer to a forwarded request that states how the attempt in the other region
/// ended.
pub(crate) const ATTEMPT_END: &str = "x-ebonystand-ended";
/// Value of [`ATTEMPT_END`] for an answer that comes from the upstream.
pub(crate) const BY_UPSTREAM: &str = "upstream";
const NOT_SENT: &str = "not_sent";
const SHED: &str = "shed";
const LOST: &str = "lost";
const TIMED_OUT: &str = "timed_out";
const FAILED: &str = "failed";
const QUARANTINED: &str = "quarantined";

/// Returns the value of [`ATTEMPT_END`] for the end of an attempt. [`FAILED`] stands only beside the answer of the
/// upstream.
pub(crate) fn attempt_end_name(end: AttemptEnd, has_answer: bool) -> &'static str {
    match end {
        AttemptEnd::Failed if !has_answer => LOST,
        AttemptEnd::Shed | AttemptEnd::AddressReused => SHED,
        AttemptEnd::Departing | AttemptEnd::Unreachable => NOT_SENT,
        AttemptEnd::TimedOut => TIMED_OUT,
        AttemptEnd::Failed => FAILED,
        AttemptEnd::Quarantined => QUARANTINED,
        AttemptEnd::Answered | AttemptEnd::Cancelled | AttemptEnd::Closed | AttemptEnd::Lost => {
            LOST
        }
    }
}

/// Parses the value of [`ATTEMPT_END`]; `None` if the answer comes from the upstream.
fn parse_attempt_end(name: &str) -> Option<AttemptEnd> {
    match name {
        BY_UPSTREAM => None,
        NOT_SENT => Some(AttemptEnd::Unreachable),
        SHED => Some(AttemptEnd::Shed),
        TIMED_OUT => Some(AttemptEnd::TimedOut),
        FAILED => Some(AttemptEnd::Failed),
        QUARANTINED => Some(AttemptEnd::Quarantined),
        _ => Some(AttemptEnd::Lost),
    }
}

/// Parses the value of [`KIND`]. A call of a VM that does not tell must not run twice.
pub(crate) fn parse_kind(headers: &HeaderMap) -> CallKind {
    let kinds = [CallKind::Idempotent, CallKind::Stream];
    let name = headers::text(headers, KIND).unwrap_or_default();
    let mut told = kinds.into_iter().filter(|kind| kind.to_string() == name);
    told.next().unwrap_or(CallKind::Once)
}

/// Whether the answer that a VM passes on has no framing of its upstream's.
fn is_unframed(reader: &ResponseReader) -> bool {
    reader.is_unframed() || reader.head().headers.contains_key(UNFRAMED)
}

/// Most VMs of a region that are asked to send a request on.
const MAX_FORWARDERS: usize = 3;

/// Forwards a call to a VM of `region` and waits up to `wait` for the first bytes of the answer. The
/// call keeps which VM or region could not send it on.
pub(crate) async fn send(
    node: &Rc<Node>,
    call: &mut Call,
    region: &RegionId,
    wait: Duration,
) -> Outcome {
    let Some((vm, address)) = node.gateway.forwarder(node, region, &call.excluded_vms) else {
        call.full_regions.insert(region.clone());
        return Outcome::ended(AttemptEnd::Unreachable);
    };
    let (outcome, is_answered) = send_to(node, call, &vm, address, wait).await;
    let Outcome::Ended {
        end: AttemptEnd::Unreachable,
        retry_after,
        ..
    } = &outcome
    else {
        return outcome;
    };
    // Other software versions of the service may have room.
    if retry_after.is_some() && !matches!(call.software, CallSoftware::Only(_)) {
        let now = node.clock.now();
        let mut book = node.gateway.book.borrow_mut();
        book.record_region_refusal(now, region, &call.service);
    }
    call.excluded_vms.push(vm);
    // A VM that has no room speaks for its region, and so does one that is out of reach. One that
    // cannot send the request on speaks for itself.
    let speaks_for_region = !is_answered || retry_after.is_some();
    if speaks_for_region || call.excluded_vms.len() >= MAX_FORWARDERS {
        call.full_regions.insert(region.clone());
    }
    outcome
}

/// Forwards a call to a VM. Returns whether the VM has answered, besides the outcome.
async fn send_to(
    node: &Rc<Node>,
    call: &Call,
    vm: &VmId,
    address: SocketAddr,
    wait: Duration,
) -> (Outcome, bool) {
    let headers = || forwarded_headers(node, call);
    let sent = node.clock.now();
    let until = sent + wait;
    let connect_time = Connection::MAX_CONNECT_TIME;
    let exchanged = call
        .exchange(node, address, vm, headers, connect_time, wait)
        .await;
    let reader = match exchanged {
        Ok(reader) => reader,
        Err(end) => {
            if matches!(end, AttemptEnd::Unreachable | AttemptEnd::TimedOut) {
                node.gateway.suspect(node.clock.now(), vm);
            }
            return (Outcome::ended(end), false);
        }
    };
    let headers = &reader.head().headers;
    let ended = headers::text(headers, ATTEMPT_END).unwrap_or_default();
    // A VM of an earlier build passes on an upstream's own promise that the request has not run as an answer like others.
    let unfounded = !RunState::Unknown.allows(reader.head().status.as_u16());
    let end = parse_attempt_end(ended).or(unfounded.then_some(AttemptEnd::Failed));
    if let Some(end) = end {
        return (
            read_failure(node, call, reader, address, vm, end).await,
            true,
        );
    }
    let wait = until.saturating_sub(node.clock.now());
    let source = AnswerSource {
        address,
        instance: vm,
        is_unframed: is_unframed(&reader),
        sent,
    };
    let relay = Relay::start(node, call, reader, source, wait).await;
    let outcome = match relay {
        Ok(relay) => {
            let mut answered = relay.into_answered(None);
            answered.software = headers::text(&answered.headers, SOFTWARE).map(Into::into);
            answered.headers.remove(ATTEMPT_END);
            answered.headers.remove(SOFTWARE);
            answered.headers.remove(UNFRAMED);
            Outcome::Answered(Box::new(answered))
        }
        Err(end) => Outcome::ended(end),
    };
    (outcome, true)
}

/// Builds the headers of a forwarded request. Without its metadata the other VM declines it.
fn forwarded_headers(node: &Node, call: &Call) -> HeaderMap {
    let forwarded = Forwarded {
        aim_ms: call.aim.as_millis() as u64,
        homes: call.homes.clone(),
        left_ms: call.remaining_time(node).as_millis() as u64,
        prompt: call.prompt.clone(),
        rank: call.rank,
        region: node.settings.region.clone(),
        request: call.request.clone(),
        service: call.service.clone(),
        workspace: call.workspace.clone(),
    };
    let mut headers = call.headers.clone();
    // A caller may have sent headers of these names.
    headers.remove(BOUND);
    headers.remove(SOFTWARE);
    headers::set(&mut headers, KIND, &call.kind.to_string());
    let secret = &node.peers.secret;
    let (name, text) = match &call.software {
        CallSoftware::Any => (FORWARDED, forwarded.to_header(secret)),
        CallSoftware::Known => {
            headers::set(&mut headers, SOFTWARE, KNOWN);
            (FORWARDED, forwarded.to_header(secret))
        }
        CallSoftware::Only(software) => {
            let software = software.clone();
            let bound = BoundForwarded {
                forwarded,
                software,
            };
            (BOUND, bound.to_header(secret))
        }
    };
    match text {
        Ok(text) => headers::set(&mut headers, name, &text),
        Err(error) => {
            log::error!(request:% = call.request, error:% = error; "metadata of a forwarded request not encoded");
        }
    }
    headers::set(&mut headers, ACCEPTS_UNFRAMED, "1");
    headers
}

/// Reads the other VM's report of why it has no answer from an upstream.
async fn read_failure(
    node: &Rc<Node>,
    call: &Call,
    reader: ResponseReader,
    address: SocketAddr,
    vm: &VmId,
    end: AttemptEnd,
) -> Outcome {
    let status = reader.head().status;
    let mut headers = reader.head().headers.clone();
    headers.remove(ATTEMPT_END);
    headers.remove(UNFRAMED);
    let is_unframed = is_unframed(&reader);
    log::warn!(request:% = call.request, vm:% = vm, end:? = end, status = status.as_u16(); "other VM has no answer to the forwarded request");
    let retry_after = call::retry_after(&headers);
    let answer = FailureAnswer::begin(node, call, reader, address, vm, headers, is_unframed);
    let answer = answer.await;
    Outcome::Ended {
        answer: answer.filter(|_| end == AttemptEnd::Failed),
        end,
        retry_after,
    }
}
