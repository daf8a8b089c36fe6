use super::*;
use serde_json::{Map, Value};

/// Explains what became of a request, from the log lines of any number of VMs.
#[derive(Clone, Debug)]
pub(crate) struct Explain {
    files: Vec<PathBuf>,
    request: Box<str>,
}

/// Log lines of one request in order, and what decided its end.
#[derive(Debug, Serialize)]
pub(crate) struct Explanation {
    /// What decided the end, in a sentence.
    cause: Box<str>,
    /// Lines that any of the VMs dropped; what is missing may be among them.
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
            request: config::text(matches, Self::REQUEST),
        }
    }

    pub(crate) fn run(&self, cx: &Context) -> Result {
        let mut lines = Vec::new();
        for path in &self.files {
            let text = fs::read_to_string(path).context(error::ReadSnafu { path })?;
            lines.extend(text.lines().filter_map(parse));
        }
        if self.files.is_empty() {
            let path = Path::new("-");
            let text = std::io::read_to_string(std::io::stdin());
            let text = text.context(error::ReadSnafu { path })?;
            lines.extend(text.lines().filter_map(parse));
        }
        let explanation = Explanation::new(&self.request, lines);
        cx.print(&explanation, || explanation.text())
    }
}

impl Explanation {
    pub(crate) fn new(request: &str, lines: Vec<Map<String, Value>>) -> Self {
        let dropped = lines.iter().filter_map(|line| line.get("dropped"));
        let dropped = dropped.filter_map(Value::as_u64).sum();
        let of_request = lines
            .into_iter()
            .filter(|line| field(line, "request") == request);
        let lines = in_order(of_request.collect());
        Self {
            cause: cause(&lines).into(),
            dropped,
            lines,
            request: request.into(),
        }
    }

    fn text(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            let fields = line
                .iter()
                .filter(|(name, _)| !OWN_COLUMN.contains(&name.as_str()));
            let fields = fields.map(|(name, value)| format!("{name}={}", plain(value)));
            text.push_str(&format!(
                "{} {} {}: {}\n",
                field(line, "time"),
                field(line, "at"),
                field(line, "message"),
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

/// Fields that a line of text begins with, or that are equal in all lines.
const OWN_COLUMN: [&str; 6] = ["at", "level", "message", "request", "start", "time"];

fn parse(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn field<'a>(line: &'a Map<String, Value>, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Lines by cause and not by time, since clocks of VMs differ: the lines of the VM that the caller
/// asked in their order, and behind each sending to another region the next line there until that
/// VM's part ends.
fn in_order(lines: Vec<Map<String, Value>>) -> Vec<Map<String, Value>> {
    let is_first = |line: &Map<String, Value>| !field(line, "message").starts_with("forwarded");
    let first = lines.iter().find(|line| {
        let at = field(line, "at");
        let mut own = lines.iter().filter(|other| field(other, "at") == at);
        own.next().is_some_and(is_first)
    });
    let Some(first) = first.map(|line| field(line, "at").to_owned()) else {
        return lines;
    };
    let (own, others): (Vec<_>, Vec<_>) = lines.into_iter().partition(|l| field(l, "at") == first);
    let mut parts = parts(others).into_iter();
    let mut ordered = Vec::new();
    for line in own {
        let is_away = field(&line, "message") == "sent away";
        ordered.push(line);
        if is_away {
            ordered.extend(parts.next().into_iter().flatten());
        }
    }
    ordered.extend(parts.flatten());
    ordered
}

/// Lines of other VMs, a part for each time that one of them took the request.
fn parts(lines: Vec<Map<String, Value>>) -> Vec<Vec<Map<String, Value>>> {
    let mut parts: Vec<Vec<Map<String, Value>>> = Vec::new();
    for line in lines {
        let begins = field(&line, "message") == "forwarded request sent";
        match parts.last_mut() {
            Some(part) if !begins => part.push(line),
            _ => parts.push(vec![line]),
        }
    }
    parts.sort_by(|a, b| field(&a[0], "time").cmp(field(&b[0], "time")));
    parts
}

fn cause(lines: &[Map<String, Value>]) -> String {
    let Some(last) = lines.last() else {
        return "no line tells of this request".into();
    };
    let find = |messages: &[&str]| {
        let mut lines = lines.iter().rev();
        lines.find(|line| messages.contains(&field(line, "message")))
    };
    let troubles = [
        "broke off midway",
        "cut off: its time is over",
        "not connected",
        "no answer",
    ];
    let silences = [
        "silent",
        "silent before its first byte",
        "broke off before its first byte",
    ];
    let trouble = find(&troubles)
        .or_else(|| find(&silences))
        .or_else(|| find(&["failed"]));
    let at_upstream = trouble.map(|line| {
        let fault = line.get("fault").or(line.get("status")).map(plain);
        let fault = fault.unwrap_or_else(|| "its time was over".into());
        format!(
            "upstream {} ({}: {fault})",
            field(line, "upstream"),
            field(line, "message")
        )
    });
    let refused = find(&["refused"]);
    match (field(last, "message"), refused, at_upstream) {
        ("answered", _, trouble) => {
            let whole = last.get("whole_ms").map(plain).unwrap_or_default();
            // On the VM that forwarded it the upstream's time is not known and told as 0.
            let first = lines
                .iter()
                .filter_map(|line| line.get("first_byte_ms")?.as_u64());
            let first = first.max().unwrap_or_default();
            let after = trouble.map(|trouble| format!(", after trouble at {trouble}"));
            let after = after.unwrap_or_default();
            format!(
                "answered after {whole} ms, {first} ms of them for the first byte at the upstream{after}"
            )
        }
        (_, Some(refused), None) => format!(
            "refused by {}: {} ({})",
            field(refused, "at"),
            field(refused, "reason"),
            field(refused, "code")
        ),
        (_, Some(refused), Some(trouble)) => format!(
            "refused by {} with {} after trouble at {trouble}",
            field(refused, "at"),
            field(refused, "code")
        ),
        (_, None, Some(trouble)) => format!("broken off: trouble at {trouble}"),
        ("caller left", None, None) => "its caller left before the answer was whole".into(),
        _ => "no line tells of its end: its caller left, its VM ended, or the line was dropped"
            .into(),
    }
}
