use super::*;

/// Arguments of `apply`, which puts a configuration document in force.
#[derive(Clone, Debug)]
pub(crate) struct Apply {
    args: ChangeArgs,
    file: PathBuf,
}

impl Apply {
    pub(crate) fn command() -> Command {
        Command::new("apply")
            .about("Put a configuration document in force; its keys are added to those in force")
            .after_help(
                "Examples:\n  ebonystandctl … apply examples/lait-breizh.json\n  \
                 ebonystandctl … apply new.json --expected-version 41",
            )
            .arg(check::file_arg())
            .args(ChangeArgs::args())
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        Self {
            args: ChangeArgs::from_matches(matches),
            file: check::file_path(matches),
        }
    }

    pub(crate) async fn run(&self, cx: &Context) -> Result {
        let document = Box::new(context::read_document(&self.file)?);
        cx.change(Change::Apply { document }, &self.args).await
    }
}
