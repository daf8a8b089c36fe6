use super::*;
use settings_reader::SettingsReader;

/// What is logged, and where to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// File that lines are appended to; standard output if absent.
    pub file: Option<PathBuf>,
    /// Least level.
    pub level: log::LevelFilter,
    /// Lines about steps of requests that are written in a second; failures may be twice as many,
    /// all lines together four times.
    pub lines_per_s: u64,
}

impl LogSettings {
    pub(crate) fn read(reader: &mut SettingsReader) -> Self {
        let level = reader.optional("level", Level::Info);
        Self {
            file: reader.optional("file", None),
            level: level.filter(),
            lines_per_s: reader.ranged("lines_per_s", 1_000, 10, 1_000_000),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Level {
    Debug,
    Error,
    Info,
    Trace,
    Warn,
}

impl Level {
    fn filter(&self) -> log::LevelFilter {
        match self {
            Self::Debug => log::LevelFilter::Debug,
            Self::Error => log::LevelFilter::Error,
            Self::Info => log::LevelFilter::Info,
            Self::Trace => log::LevelFilter::Trace,
            Self::Warn => log::LevelFilter::Warn,
        }
    }
}
