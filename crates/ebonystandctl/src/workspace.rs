use super::*;

/// Arguments of `workspace`, which adds, replaces, removes and lists workspaces.
#[derive(Clone, Debug)]
pub(crate) enum WorkspaceCommand {
    List,
    Put {
        args: ChangeArgs,
        id: WorkspaceId,
        workspace: Workspace,
    },
    Remove {
        args: ChangeArgs,
        id: WorkspaceId,
    },
}

mod arg {
    pub(super) const BURST: &str = "burst";
    pub(super) const HOME: &str = "home";
    pub(super) const RATE: &str = "rate";
    pub(super) const RESIDENCY: &str = "residency";
}

impl WorkspaceCommand {
    pub(crate) fn command() -> Command {
        let name = || upstream::name_arg("Name of the workspace");
        Command::new("workspace")
            .about("Add, change, remove and list workspaces")
            .subcommand_required(true)
            .after_help(
                "Examples:\n  ebonystandctl … workspace put giat --rate 4000 --burst 20000 \
                 --home tengah --residency tengah --residency utara\n  \
                 ebonystandctl … workspace remove giat",
            )
            .subcommand(Command::new("list").about("List workspaces"))
            .subcommand(
                Command::new("put")
                    .about("Add or replace a workspace with its allowance and its residency")
                    .arg(name())
                    .args(put_args())
                    .args(ChangeArgs::args()),
            )
            .subcommand(
                Command::new("remove")
                    .about("Remove a workspace and its keys")
                    .arg(name())
                    .args(ChangeArgs::args()),
            )
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        match matches.subcommand() {
            Some(("put", matches)) => Self::Put {
                args: ChangeArgs::from_matches(matches),
                id: config::required_string(matches, config::arg::NAME),
                workspace: workspace_from_matches(matches),
            },
            Some(("remove", matches)) => Self::Remove {
                args: ChangeArgs::from_matches(matches),
                id: config::required_string(matches, config::arg::NAME),
            },
            _ => Self::List,
        }
    }

    pub(crate) async fn run(&self, cx: &Context) -> Result {
        match self.clone() {
            Self::List => list_workspaces(cx).await,
            Self::Put {
                args,
                id,
                workspace,
            } => {
                cx.change(Change::PutWorkspace { id, workspace }, &args)
                    .await
            }
            Self::Remove { args, id } => cx.change(Change::RemoveWorkspace { id }, &args).await,
        }
    }
}

async fn list_workspaces(cx: &Context) -> Result {
    let workspaces = cx.client.document().await?.workspaces;
    cx.print(&workspaces, || {
        let line = |(id, workspace): (&WorkspaceId, &Workspace)| {
            let residency: Vec<_> = workspace.residency.iter().map(|region| &**region).collect();
            format!(
                "{id}\t{} tokens/s, burst {}\thome {}\tresidency {}",
                workspace.rate,
                workspace.burst,
                workspace.home,
                residency.join(" ")
            )
        };
        workspaces.iter().map(line).collect::<Vec<_>>().join("\n")
    })
}

fn put_args() -> [Arg; 4] {
    let value = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).required(true).help(help)
    };
    let number = |name, help| value(name, help).value_parser(value_parser!(u64));
    [
        number(arg::RATE, "Tokens a second over all VMs"),
        number(arg::BURST, "Tokens that may be taken at once over all VMs"),
        value(
            arg::HOME,
            "Region that its order keys belong to unless they name another",
        ),
        value(arg::RESIDENCY, "Region that may serve it; may be repeated")
            .action(ArgAction::Append),
    ]
}

fn workspace_from_matches(matches: &ArgMatches) -> Workspace {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let residency = matches
        .get_many::<String>(arg::RESIDENCY)
        .into_iter()
        .flatten();
    Workspace {
        burst: number(arg::BURST),
        home: config::required_string(matches, arg::HOME),
        rate: number(arg::RATE),
        residency: residency.map(|region| region.as_str().into()).collect(),
    }
}
