use super::*;
use ebonystand_core::{AnswerLimit, Prompt};

/// Built-in dialect, which uses `x-ebonystand-*` headers towards callers and upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NativeDialect;

/// Header with the address of the engine from which the upstream imports cached parts of the
/// prompt.
const IMPORT_FROM: &str = "x-ebonystand-import-from";
const INSTANCE: &str = "x-ebonystand-instance";
const DEADLINE: &str = "x-ebonystand-deadline-ms";
/// Header of an answer, with the value 1, by which an upstream says that it leaves.
const LEAVING: &str = "x-ebonystand-leaving";
/// Header of an answer with the requests per second that the upstream takes from all VMs together.
const LIMIT: &str = "x-ebonystand-limit";
/// Header of an answer with the requests that the upstream may turn away in a second, over all VMs,
/// before it goes down.
const SHED_TOLERANCE: &str = "x-ebonystand-shed-tolerance";
/// Header with the last event that a caller has of a stream that it takes up again.
const LAST_EVENT_ID: &str = "last-event-id";
/// Header with the request that brought the first event of that stream.
const RESUMES: &str = "x-ebonystand-resumes";
const RUN_STATE: &str = "x-ebonystand-run";
const PROMPT: &str = "x-ebonystand-prompt";
const RANK: &str = "x-ebonystand-rank";
const REQUEST: &str = "x-ebonystand-request";
const WORKSPACE: &str = "x-ebonystand-workspace";
const REMOVED_HEADERS: [&str; 7] = [
    "authorization",
    IMPORT_FROM,
    INSTANCE,
    DEADLINE,
    RANK,
    REQUEST,
    WORKSPACE,
];

impl Dialect for NativeDialect {
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMarks {
        let limits = headers.get_all(LIMIT);
        AnswerMarks {
            limit: AnswerLimit::parse(limits.map(|value| value.to_str().unwrap_or_default())),
            is_leaving: headers::text(headers, LEAVING) == Some("1"),
            is_stranger: status == StatusCode::MISDIRECTED_REQUEST,
            not_run: headers::text(headers, RUN_STATE) == Some("not_run"),
            request: headers::text(headers, REQUEST).map(Into::into),
            shed_tolerance: headers::text(headers, SHED_TOLERANCE)
                .and_then(|text| text.trim().parse().ok()),
            slots: None,
        }
    }

    fn read(&self, req: &Request) -> Result<CallHead, Refusal> {
        let incoming = req.headers();
        let deadline = match headers::text(incoming, DEADLINE) {
            Some(text) => Some(
                text.parse()
                    .map(Duration::from_millis)
                    .map_err(|_| unreadable_header(DEADLINE))?,
            ),
            None => None,
        };
        let prompt = match headers::text(incoming, PROMPT) {
            Some(text) => {
                Some(serde_json::from_str::<Prompt>(text).map_err(|_| unreadable_header(PROMPT))?)
            }
            None => None,
        };
        Ok(CallHead {
            deadline,
            headers: headers::passed_on(incoming, &REMOVED_HEADERS),
            host: headers::text(incoming, "host").unwrap_or_default().into(),
            key: authenticate::bearer(incoming).map(KeyHash::from_secret),
            prompt,
            request: headers::text(incoming, REQUEST).unwrap_or_default().into(),
            resumption: headers::resumption(incoming, LAST_EVENT_ID, RESUMES),
        })
    }

    fn write(&self, call: &OutgoingCall, headers: &mut HeaderMap) {
        headers::set(headers, INSTANCE, call.instance);
        headers::set(headers, DEADLINE, &call.left.as_millis().to_string());
        headers::set(headers, RANK, &call.rank.to_string());
        headers::set(headers, REQUEST, call.request);
        if let Some(address) = call.import_from {
            headers::set(headers, IMPORT_FROM, &address.to_string());
        }
        if let Some(workspace) = call.workspace {
            headers::set(headers, WORKSPACE, workspace);
        }
    }
}

/// Builds the refusal of a request with a malformed header.
fn unreadable_header(name: &str) -> Refusal {
    let message = format!("the header {name} cannot be read");
    Refusal::not_run(RefusalCode::BadHeader, message)
}
