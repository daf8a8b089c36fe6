use {
    crate::{event::Event, plan::Plan},
    serde::Serialize,
    std::{
        fmt::Write as _,
        fs,
        path::PathBuf,
        time::{Duration, Instant},
    },
};

/// What was seen, in the order in which it was seen.
pub(crate) struct History {
    events: Vec<Event>,
    started: Instant,
    times: Vec<Duration>,
}

/// A line of a saved history.
#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    event: &'a Event,
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            events: Vec::new(),
            started: Instant::now(),
            times: Vec::new(),
        }
    }

    pub(crate) fn events(&self) -> &[Event] {
        &self.events
    }

    pub(crate) fn push(&mut self, event: Event) {
        self.times.push(self.started.elapsed());
        self.events.push(event);
    }

    /// Writes the plan and the history as JSON lines; the file.
    pub(crate) fn save(&self, plan: &Plan) -> PathBuf {
        let mut text = serde_json::to_string(plan).unwrap();
        for (at, event) in self.times.iter().zip(&self.events) {
            let at_ms = at.as_millis() as u64;
            let line = serde_json::to_string(&Line { at_ms, event }).unwrap();
            write!(text, "\n{line}").unwrap();
        }
        let path = std::env::temp_dir().join(format!("ebonystand-soak-{}.jsonl", plan.seed));
        fs::write(&path, text).unwrap();
        path
    }

    /// How much was seen, so that a run in which nothing happened can be told.
    pub(crate) fn summary(&self) -> String {
        let count = |is: fn(&Event) -> bool| self.events.iter().filter(|event| is(event)).count();
        let orders = count(|event| matches!(event, Event::OrderAnswered { .. }));
        let issued = count(|event| matches!(event, Event::OrderAnswered { status: 201, .. }));
        let streams = count(|event| matches!(event, Event::StreamEnded { whole: true, .. }));
        let changes = count(|event| matches!(event, Event::Accepted { .. }));
        let faults = count(|event| matches!(event, Event::Struck { .. } | Event::Silenced { .. }));
        format!(
            "{orders} orders answered, {issued} issued, {streams} streams whole, \
             {changes} changes accepted, {faults} faults"
        )
    }
}
