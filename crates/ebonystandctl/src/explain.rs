use super::*;
use serde_json::{Map, Value};

/// Arguments of `explain`, which determines the outcome of a request from the log files of VMs.
#[derive(Clone, Debug)]
pub(crate) struct Explain {
    files: Vec<PathBuf>,
    request: Box<str>,
}

/// Log lines of one request in causal order, and the cause of its outcome.
#[derive(Debug, Serialize)]
pub(crate) struct Explanation {
    /// Cause of the request's outcome as a sentence.
    cause: Box<str>,
    /// Number of log lines that the VMs report as dropped; lines of this request may be among them.
    dropped: u64,
    lines: Vec<Map<String, Value>>,
    request: Box<str>,
}

impl Explain {
    const FILES: &str = "FILES";
    const REQUEST: &str = "REQUEST-ID";

    pub(crate) fn command() -> Command {
        Command::new("explain")
            .about("Tell from log files what became of a request; asks no VM")
            .after_help(
                "Reads standard input where no file is named. Lines may have words before their JSON.\n\
                 Example:\n  ebonystandctl explain 9c41d07be2a35f68 vm-1.log vm-2.log",
            )
            .arg(Arg::new(Self::REQUEST).required(true).help("Name of the request"))
            .arg(
                Arg::new(Self::FILES)
                    .num_args(0..)
                    .value_parser(value_parser!(PathBuf))
                    .help("Log files of VMs"),
            )
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let files = matches.get_many::<PathBuf>(Self::FILES);
        Self {
            files: files.into_iter().flatten().cloned().collect(),
            request: config::required_string(matches, Self::REQUEST),
        }
    }

    pub(crate) fn run(&self, cx: &Context) -> Result {
        let mut lines = Vec::new();
        for path in &self.files {
            let text = fs::read_to_string(path).context(error::ReadSnafu { path })?;
            lines.extend(text.lines().filter_map(parse_line));
        }
        if self.files.is_empty() {
            let path = Path::new("-");
            let text = std::io::read_to_string(std::io::stdin());
            let text = text.context(error::ReadSnafu { path })?;
            lines.extend(text.lines().filter_map(parse_line));
        }
        let explanation = Explanation::new(&self.request, lines);
        cx.print(&explanation, || explanation.to_text())
    }
}

impl Explanation {
    pub(crate) fn new(request: &str, lines: Vec<Map<String, Value>>) -> Self {
        let dropped = lines.iter().filter_map(|line| line.get("dropped"));
        let dropped = dropped.filter_map(Value::as_u64).sum();
        let of_request = lines
            .into_iter()
            .filter(|line| string_field(line, "request") == request);
        let lines = order_causally(of_request.collect());
        Self {
            cause: describe_cause(&lines).into(),
            dropped,
            lines,
            request: request.into(),
        }
    }

    fn to_text(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            let fields = line
                .iter()
                .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
            let fields = fields.map(|(name, value)| format!("{name}={}", format_plain(value)));
            text.push_str(&format!(
                "{} {} {}: {}\n",
                string_field(line, "time"),
                string_field(line, "at"),
                string_field(line, "message"),
                fields.collect::<Vec<_>>().join(" ")
            ));
        }
        if self.dropped > 0 {
            let dropped = self.dropped;
            text.push_str(&format!(
                "{dropped} lines were dropped; some may be of this request\n"
            ));
        }
        text + &format!("cause: {}", self.cause)
    }
}

/// Fields left out of a line's `name=value` list: `at`, `message` and `time` start the line, and the
/// others are normally equal in all lines of a request.
const OMITTED_FIELDS: [&str; 6] = ["at", "level", "message", "request", "start", "time"];

fn parse_line(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn string_field<'a>(line: &'a Map<String, Value>, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}

fn format_plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Orders the lines of a request causally rather than by time, because the clocks of VMs differ.
///
/// The lines of the VM that received the request from the caller keep their order. Each line that
/// forwards the request to another region is followed by the lines of the VM that took it there.
fn order_causally(lines: Vec<Map<String, Value>>) -> Vec<Map<String, Value>> {
    let is_from_caller =
        |line: &Map<String, Value>| !string_field(line, "message").starts_with("forwarded");
    let first_line = lines.iter().find(|line| {
        let at = string_field(line, "at");
        let mut own = lines.iter().filter(|other| string_field(other, "at") == at);
        own.next().is_some_and(is_from_caller)
    });
    let Some(entry_vm) = first_line.map(|line| string_field(line, "at").to_owned()) else {
        return lines;
    };
    let (own, others): (Vec<_>, Vec<_>) = lines
        .into_iter()
        .partition(|l| string_field(l, "at") == entry_vm);
    let mut forwarded = group_by_forwarding(others).into_iter();
    let mut ordered = Vec::new();
    for line in own {
        let is_forwarded = string_field(&line, "message") == "sent away";
        ordered.push(line);
        if is_forwarded {
            ordered.extend(forwarded.next().into_iter().flatten());
        }
    }
    ordered.extend(forwarded.flatten());
    ordered
}

/// Splits the lines of VMs that took a forwarded request into one group per forwarding, sorted by
/// the time of each group's first line.
fn group_by_forwarding(lines: Vec<Map<String, Value>>) -> Vec<Vec<Map<String, Value>>> {
    let mut groups: Vec<Vec<Map<String, Value>>> = Vec::new();
    for line in lines {
        let starts_group = string_field(&line, "message") == "forwarded request sent";
        match groups.last_mut() {
            Some(group) if !starts_group => group.push(line),
            _ => groups.push(vec![line]),
        }
    }
    groups.sort_by(|a, b| string_field(&a[0], "time").cmp(string_field(&b[0], "time")));
    groups
}

fn describe_cause(lines: &[Map<String, Value>]) -> String {
    let Some(last) = lines.last() else {
        return "no line tells of this request".into();
    };
    let find = |messages: &[&str]| {
        let mut lines = lines.iter().rev();
        lines.find(|line| messages.contains(&string_field(line, "message")))
    };
    let definite_failures = [
        "broke off midway",
        "cut off: its time is over",
        "not connected",
        "no answer",
    ];
    let missing_first_bytes = [
        "silent",
        "silent before its first byte",
        "broke off before its first byte",
    ];
    let failure = find(&definite_failures)
        .or_else(|| find(&missing_first_bytes))
        .or_else(|| find(&["failed"]));
    let upstream_failure = failure.map(|line| {
        let fault = line.get("fault").or(line.get("status")).map(format_plain);
        let fault = fault.unwrap_or_else(|| "its time was over".into());
        format!(
            "upstream {} ({}: {fault})",
            string_field(line, "upstream"),
            string_field(line, "message")
        )
    });
    let refused = find(&["refused"]);
    match (string_field(last, "message"), refused, upstream_failure) {
        ("answered", _, failure) => {
            let total_ms = last.get("whole_ms").map(format_plain).unwrap_or_default();
            // The VM that forwards a request does not see the upstream's first byte and logs 0, so
            // the maximum is the time seen by the VM that called the upstream.
            let first_byte_ms = lines
                .iter()
                .filter_map(|line| line.get("first_byte_ms")?.as_u64());
            let first_byte_ms = first_byte_ms.max().unwrap_or_default();
            let after = failure.map(|failure| format!(", after trouble at {failure}"));
            let after = after.unwrap_or_default();
            format!(
                "answered after {total_ms} ms, {first_byte_ms} ms of them for the first byte at the upstream{after}"
            )
        }
        (_, Some(refused), None) => format!(
            "refused by {}: {} ({})",
            string_field(refused, "at"),
            string_field(refused, "reason"),
            string_field(refused, "code")
        ),
        (_, Some(refused), Some(failure)) => format!(
            "refused by {} with {} after trouble at {failure}",
            string_field(refused, "at"),
            string_field(refused, "code")
        ),
        (_, None, Some(failure)) => format!("broken off: trouble at {failure}"),
        ("caller left", None, None) => "its caller left before the answer was whole".into(),
        _ => "no line tells of its end: its caller left, its VM ended, or the line was dropped"
            .into(),
    }
}
