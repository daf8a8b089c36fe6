//! What operators ask for.

use super::*;
use {
    ebonystand_core::{
        Command, CommandOutcome, DrainStatus, FeedInput, Fingerprint, OPERATOR_CHANGES,
        OPERATOR_DOCUMENT, OPERATOR_DRAIN, OPERATOR_QUARANTINE_CLEAR,
        OPERATOR_QUARANTINE_CLEAR_PART, OPERATOR_STATUS, OPERATOR_WITHDRAW, OperatorError,
        PartClearStatus, PromptPartId, QuarantineClearStatus, WithdrawalStatus,
    },
    group_controller::GroupController,
    node::Node,
    state_controller::StateController,
};

type Answer = Result<Response<BoxBody>, OperatorError>;

/// Time for which an operator's next request to the same VM waits for the version that the
/// last one made; it would meet a conflict under the version before.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(1);
/// Largest change in bytes as it is encoded, half of the largest frame.
const LARGEST_CHANGE: usize = FrameReader::MAX_PAYLOAD / 2;
const METRICS: &str = "/metrics";
/// Time after which an operator is told that a key is withdrawn here, but not in the log yet.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(2);

pub(crate) async fn handle(node: Rc<Node>, mut req: Request) -> Response<BoxBody> {
    let path: Box<str> = req.path().into();
    if (req.method(), &*path) == (&Method::GET, METRICS) {
        let text = node.metrics.encode();
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        return respond::whole(StatusCode::OK, content_type, text.into());
    }
    let answer = match authorize(&node, &req) {
        Ok(()) => route(&node, &mut req, &path).await,
        Err(error) => Err(error),
    };
    answer.unwrap_or_else(|error| {
        log::warn!(path:% = path, error:% = error; "operator refused");
        respond::json(status(error.status()), &error)
    })
}

fn authorize(node: &Node, req: &Request) -> Result<(), OperatorError> {
    let same = authenticate::bearer(req.headers())
        .is_some_and(|token| authenticate::same(&KeyHash::from_secret(token), &node.operator));
    if same {
        Ok(())
    } else {
        Err(OperatorError::Unauthorized)
    }
}

async fn route(node: &Rc<Node>, req: &mut Request, path: &str) -> Answer {
    match (req.method(), path) {
        (&Method::POST, OPERATOR_CHANGES) => change(node, req).await,
        (&Method::GET, OPERATOR_DOCUMENT) => Ok(respond::json(StatusCode::OK, &*node.document())),
        (&Method::POST, OPERATOR_DRAIN) => drain(node, req).await,
        (&Method::GET, OPERATOR_STATUS) => {
            Ok(respond::json(StatusCode::OK, &operator_status::of(node)))
        }
        (&Method::POST, path) => {
            if let Some(key) = path.strip_prefix(OPERATOR_WITHDRAW) {
                withdraw(node, key).await
            } else if let Some(part) = path.strip_prefix(OPERATOR_QUARANTINE_CLEAR_PART) {
                clear_part(node, req, part).await
            } else if let Some(fingerprint) = path.strip_prefix(OPERATOR_QUARANTINE_CLEAR) {
                clear_quarantine(node, req, fingerprint).await
            } else {
                Err(OperatorError::UnknownPath)
            }
        }
        _ => Err(OperatorError::UnknownPath),
    }
}

async fn change(node: &Rc<Node>, req: &mut Request) -> Answer {
    let mut payload = req.take_payload();
    let body = body::read(node, req.headers(), &mut payload).await;
    let body = body.map_err(|refusal| OperatorError::BadBody {
        reason: refusal.message,
    })?;
    let req: ChangeRequest =
        serde_json::from_slice(&body).map_err(|error| OperatorError::BadBody {
            reason: error.to_string().into(),
        })?;
    check_size(&req)?;
    let outcome = match req.expected_version {
        None if !req.change.commutes() => ChangeOutcome::Conflict {
            version: node.document().version,
        },
        _ => propose(node, req).await?,
    };
    if let ChangeOutcome::Accepted { version } = outcome {
        wait_until_in_force(node, version).await;
    }
    log::info!(outcome:? = outcome; "change asked for by an operator");
    let status = match &outcome {
        ChangeOutcome::Accepted { .. } => StatusCode::OK,
        ChangeOutcome::Conflict { .. } => StatusCode::CONFLICT,
        ChangeOutcome::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
    };
    Ok(respond::json(status, &outcome))
}

/// Refuses a change that does not fit a frame between VMs: appended to the leader's log it could
/// never reach the other members, and would stop all that comes after it.
fn check_size(req: &ChangeRequest) -> Result<(), OperatorError> {
    let bytes = postcard::to_stdvec(req).map_or(usize::MAX, |bytes| bytes.len());
    if bytes <= LARGEST_CHANGE {
        return Ok(());
    }
    let reason =
        format!("the change takes {bytes} bytes, {LARGEST_CHANGE} at most; apply it in parts");
    Err(OperatorError::BadBody {
        reason: reason.into(),
    })
}

/// Refuses a request whose caller may have given up on it. What it asks for may have been undone
/// since.
async fn require_caller(node: &Node, req: &Request) -> Result<(), OperatorError> {
    if node.stalls.may_have_waited(node) {
        return Err(OperatorError::AfterStall);
    }
    match CallerPresence::of(req).is_connected_after_settling().await {
        true => Ok(()),
        false => Err(OperatorError::CallerLeft),
    }
}

async fn drain(node: &Rc<Node>, req: &Request) -> Answer {
    require_caller(node, req).await?;
    node.stop.notify_one();
    let status = DrainStatus {
        in_flight: node.in_flight.get() as u64,
        vm: node.settings.vm.clone(),
    };
    Ok(respond::json(StatusCode::ACCEPTED, &status))
}

async fn propose(node: &Rc<Node>, req: ChangeRequest) -> Result<ChangeOutcome, OperatorError> {
    let outcome = GroupController::propose(node, Command::Change(req)).await;
    match outcome {
        Ok(CommandOutcome::Change(outcome)) => Ok(outcome),
        Ok(_) | Err(_) => Err(OperatorError::NoLeader {
            may_have_been_applied: true,
        }),
    }
}

/// Withdraws a key on this VM and its peers at once, and has the log make it permanent, which
/// may take until a partition heals.
async fn withdraw(node: &Rc<Node>, key: &str) -> Answer {
    let key: KeyId = percent_decoded(key);
    let known = node.document().keys.contains_key(&key);
    if !known {
        return Err(OperatorError::UnknownKey { key });
    }
    StateController::step(node, FeedInput::Withdraw { key: key.clone() });
    let req = ChangeRequest::withdrawal(key.clone());
    let outcome = actix_rt::time::timeout(WITHDRAWN_WITHIN, propose(node, req)).await;
    let version = match outcome {
        Ok(Ok(ChangeOutcome::Accepted { version })) => Some(version),
        _ => None,
    };
    let status = WithdrawalStatus { key, version };
    Ok(respond::json(StatusCode::OK, &status))
}

/// Serves prompts again with a part that is quarantined or suspected, on all VMs.
async fn clear_part(node: &Node, req: &Request, part: &str) -> Answer {
    require_caller(node, req).await?;
    let number = PromptPartId::from_str_radix(part, 16).ok();
    if !number.is_some_and(|number| node.parts.clear(node, number)) {
        return Err(OperatorError::UnknownPart { part: part.into() });
    }
    log::info!(part:% = part; "part of prompts cleared by an operator");
    let status = PartClearStatus { part: part.into() };
    Ok(respond::json(StatusCode::OK, &status))
}

/// Serves a request again that is quarantined or suspected, on all VMs.
async fn clear_quarantine(node: &Node, req: &Request, fingerprint: &str) -> Answer {
    require_caller(node, req).await?;
    let number = Fingerprint::from_str_radix(fingerprint, 16).ok();
    if !number.is_some_and(|number| node.quarantine.clear(node, number)) {
        let fingerprint = fingerprint.into();
        return Err(OperatorError::UnknownSuspect { fingerprint });
    }
    log::info!(fingerprint:% = fingerprint; "request cleared by an operator");
    let fingerprint = fingerprint.into();
    let status = QuarantineClearStatus { fingerprint };
    Ok(respond::json(StatusCode::OK, &status))
}

async fn wait_until_in_force(node: &Node, version: Version) {
    const LOOK: Duration = Duration::from_millis(5);
    let end = node.clock.now() + IN_FORCE_WITHIN;
    while node.document().version < version && node.clock.now() < end {
        actix_rt::time::sleep(LOOK).await;
    }
}

fn percent_decoded(text: &str) -> Box<str> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let mut code = [0];
        match after.get(..2) {
            Some(digits) if byte == b'%' && hex::decode_to_slice(digits, &mut code).is_ok() => {
                bytes.push(code[0]);
                rest = &after[2..];
            }
            _ => {
                bytes.push(byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into()
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
