use super::*;

/// Arguments of `check`, which prints the faults of a document file without asking a VM.
#[derive(Clone, Debug)]
pub(crate) struct Check {
    file: PathBuf,
}

impl Check {
    pub(crate) fn command() -> Command {
        Command::new("check")
            .about("Print every fault of a configuration document; asks no VM")
            .after_help("Example:\n  ebonystandctl check examples/lait-breizh.json")
            .arg(file_arg())
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        Self {
            file: file_path(matches),
        }
    }

    pub(crate) fn run(&self, cx: &Context) -> Result {
        let faults = context::read_document(&self.file)?.faults();
        if !faults.is_empty() {
            return error::RefusedSnafu { faults }.fail();
        }
        cx.print(&faults, || "no faults".into())
    }
}

pub(crate) fn file_path(matches: &ArgMatches) -> PathBuf {
    let file = matches.get_one::<PathBuf>(config::arg::FILE);
    file.cloned().unwrap_or_default()
}

pub(crate) fn file_arg() -> Arg {
    Arg::new(config::arg::FILE)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Document in JSON; see docs/CONFIGURATION.md")
}
