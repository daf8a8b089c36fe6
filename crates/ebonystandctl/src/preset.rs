use super::*;

/// Arguments of `preset`, which defines, shows and switches the three presets.
#[derive(Clone, Debug)]
pub(crate) enum PresetCommand {
    Set {
        args: ChangeArgs,
        file: PathBuf,
        name: PresetName,
    },
    Show,
    Switch {
        args: ChangeArgs,
        name: PresetName,
    },
}

impl PresetCommand {
    pub(crate) fn command() -> Command {
        let name = || {
            Arg::new(config::arg::NAME)
                .required(true)
                .value_parser(["maintenance", "ordinary", "peak"])
                .help("Which preset")
        };
        Command::new("preset")
            .about("Switch, show and change the presets")
            .subcommand_required(true)
            .after_help(
                "Examples:\n  ebonystandctl … preset switch peak\n  \
                 ebonystandctl … preset set peak peak.json",
            )
            .subcommand(
                Command::new("set")
                    .about("Say what a preset means")
                    .arg(name())
                    .arg(check::file_arg().help("The preset in JSON"))
                    .args(ChangeArgs::args()),
            )
            .subcommand(Command::new("show").about("Show the presets and which is in force"))
            .subcommand(
                Command::new("switch")
                    .about("Put a preset in force")
                    .arg(name())
                    .args(ChangeArgs::args()),
            )
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        match matches.subcommand() {
            Some(("set", matches)) => Self::Set {
                args: ChangeArgs::from_matches(matches),
                file: check::file_path(matches),
                name: preset_name(matches),
            },
            Some(("switch", matches)) => Self::Switch {
                args: ChangeArgs::from_matches(matches),
                name: preset_name(matches),
            },
            _ => Self::Show,
        }
    }

    pub(crate) async fn run(&self, cx: &Context) -> Result {
        match self {
            Self::Set { args, file, name } => {
                let text = fs::read_to_string(file).context(error::ReadSnafu { path: file })?;
                let preset =
                    serde_json::from_str(&text).context(error::ParseSnafu { path: file })?;
                let name = *name;
                cx.change(Change::SetPreset { name, preset }, args).await
            }
            Self::Show => show_presets(cx).await,
            Self::Switch { args, name } => {
                cx.change(Change::SwitchPreset { name: *name }, args).await
            }
        }
    }
}

fn preset_name(matches: &ArgMatches) -> PresetName {
    match &*config::required_string(matches, config::arg::NAME) {
        "maintenance" => PresetName::Maintenance,
        "peak" => PresetName::Peak,
        _ => PresetName::Ordinary,
    }
}

async fn show_presets(cx: &Context) -> Result {
    let document = cx.client.document().await?;
    cx.print(&document.presets, || {
        let presets = serde_json::to_string_pretty(&document.presets).unwrap_or_default();
        format!("in force: {}\n{presets}", document.preset)
    })
}
