//! Structured log: one JSON object a line, bounded in number.

use super::*;
use {
    clock::Clock as _,
    ebonystand_core::{LogBudget, LogKind},
    log::{
        Level, Log, Metadata, Record,
        kv::{Key, Value as LogValue, VisitSource},
    },
    log_writer::LogWriter,
    std::sync::Mutex,
    system_clock::SystemClock,
    xxhash_rust::xxh3::xxh3_64,
};

/// Messages of a request's end that its caller can complain about.
const FAILURES: [&str; 2] = ["attempt ended", "refused"];

struct Fields(serde_json::Map<String, Value>);

/// Lines of a VM's process.
struct Lines {
    budget: Mutex<LogBudget>,
    clock: SystemClock,
    incarnation: u64,
    vm: VmId,
    writer: LogWriter,
}

impl<'a> VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: Key<'a>, value: LogValue<'a>) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

pub(crate) fn install(settings: &Settings) -> Result {
    let cfg = &settings.log;
    let out: Box<dyn Write + Send> = match &cfg.file {
        Some(path) => Box::new(fern::log_file(path).context(error::File { path })?),
        None => Box::new(io::stdout()),
    };
    let lines = Lines {
        budget: Mutex::new(LogBudget::new(cfg.lines_per_s)),
        clock: SystemClock::start(),
        incarnation: SystemTime::UNIX_EPOCH
            .elapsed()
            .unwrap_or_default()
            .as_micros() as u64,
        vm: settings.vm.clone(),
        writer: LogWriter::start(out).context(error::Thread)?,
    };
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("ebonystand", cfg.level)
        .level_for("ebonystand_platform", cfg.level)
        .chain(Box::new(lines) as Box<dyn Log>)
        .apply()
        .context(error::Log)
}

impl Log for Lines {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn flush(&self) {
        self.writer.flush();
    }

    fn log(&self, record: &Record) {
        let request = record.key_values().get(Key::from("request"));
        let hash = request.map(|name| xxh3_64(name.to_string().as_bytes()));
        let kind = kind(record, hash.is_some());
        let (admitted, dropped) = {
            let Ok(mut budget) = self.budget.lock() else {
                return;
            };
            let admitted = budget.admit_line(self.clock.now(), kind, hash.unwrap_or_default());
            let dropped = if admitted { budget.take_dropped() } else { 0 };
            (admitted, dropped)
        };
        if dropped > 0 {
            let mut fields = self.fields(Level::Warn, "log lines dropped");
            fields.0.insert("dropped".into(), dropped.into());
            self.writer.line(Value::Object(fields.0).to_string());
        }
        if admitted {
            let mut fields = self.fields(record.level(), &record.args().to_string());
            // Visiting a map of already evaluated pairs has no way to fail.
            let _ = record.key_values().visit(&mut fields);
            self.writer.line(Value::Object(fields.0).to_string());
        }
    }
}

impl Lines {
    fn fields(&self, level: Level, message: &str) -> Fields {
        let mut fields = serde_json::Map::new();
        let now = humantime::format_rfc3339_millis(SystemTime::now());
        fields.insert("time".into(), now.to_string().into());
        fields.insert("level".into(), level.as_str().into());
        fields.insert("at".into(), (*self.vm).into());
        fields.insert("start".into(), self.incarnation.into());
        fields.insert("message".into(), message.into());
        Fields(fields)
    }
}

fn kind(record: &Record, has_request: bool) -> LogKind {
    let message = record.args().as_str().unwrap_or_default();
    match has_request {
        false => LogKind::Vm,
        true if record.level() <= Level::Warn || FAILURES.contains(&message) => {
            LogKind::RequestFailure
        }
        true => LogKind::RequestStep,
    }
}
