use super::*;

/// Subcommand of the command line with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Subcommand {
    Apply(Apply),
    Check(Check),
    Document,
    Drain(Drain),
    Explain(Explain),
    Key(KeyCommand),
    Preset(PresetCommand),
    Quarantine(QuarantineClear),
    RegionList,
    Status,
    Upstream(UpstreamCommand),
    Workspace(WorkspaceCommand),
}

impl Subcommand {
    pub(crate) fn commands() -> Vec<Command> {
        vec![
            Apply::command(),
            Check::command(),
            document::command(),
            Drain::command(),
            Explain::command(),
            KeyCommand::command(),
            PresetCommand::command(),
            QuarantineClear::command(),
            region::command(),
            status::command(),
            UpstreamCommand::command(),
            WorkspaceCommand::command(),
        ]
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let Some((name, matches)) = matches.subcommand() else {
            return Ok(Self::Status);
        };
        Ok(match name {
            "apply" => Self::Apply(Apply::from_matches(matches)),
            "check" => Self::Check(Check::from_matches(matches)),
            "document" => Self::Document,
            "drain" => Self::Drain(Drain::from_matches(matches)),
            "explain" => Self::Explain(Explain::from_matches(matches)),
            "key" => Self::Key(KeyCommand::from_matches(matches)),
            "preset" => Self::Preset(PresetCommand::from_matches(matches)),
            "quarantine" => Self::Quarantine(QuarantineClear::from_matches(matches)),
            "region" => Self::RegionList,
            "upstream" => Self::Upstream(UpstreamCommand::from_matches(matches)),
            "workspace" => Self::Workspace(WorkspaceCommand::from_matches(matches)),
            _ => Self::Status,
        })
    }

    /// Returns whether the subcommand sends requests to a VM.
    pub(crate) fn needs_server(&self) -> bool {
        !matches!(self, Self::Check(_) | Self::Explain(_))
    }

    pub(crate) async fn run(&self, cx: &Context) -> Result {
        match self {
            Self::Apply(command) => command.run(cx).await,
            Self::Check(command) => command.run(cx),
            Self::Document => document::run(cx).await,
            Self::Drain(command) => command.run(cx).await,
            Self::Explain(command) => command.run(cx),
            Self::Key(command) => command.run(cx).await,
            Self::Preset(command) => command.run(cx).await,
            Self::Quarantine(command) => command.run(cx).await,
            Self::RegionList => region::run(cx).await,
            Self::Status => status::run(cx).await,
            Self::Upstream(command) => command.run(cx).await,
            Self::Workspace(command) => command.run(cx).await,
        }
    }
}
