use super::*;

/// Arguments of `key`, which issues, withdraws and lists the keys of callers.
#[derive(Clone, Debug)]
pub(crate) enum KeyCommand {
    Give {
        expected_version: Option<Version>,
        id: KeyId,
        workspace: WorkspaceId,
    },
    List,
    Withdraw {
        id: KeyId,
    },
}

impl KeyCommand {
    const SECRET_BYTES: usize = 32;

    /// Returns the `key` subcommand for the command-line parser.
    ///
    /// `give` takes no request id. A second run under the request id of the first would generate
    /// another secret, be told that the first change was accepted, and print a secret that does not
    /// work.
    pub(crate) fn command() -> Command {
        let id = |help: &'static str| {
            Arg::new(config::arg::ID)
                .long(config::arg::ID)
                .value_name("KEY")
                .required(true)
                .help(help)
        };
        Command::new("key")
            .about("Give, withdraw and list callers' keys")
            .subcommand_required(true)
            .after_help(
                "Examples:\n  ebonystandctl … key give --workspace giat --id giat-2026-12\n  \
                 ebonystandctl … key withdraw --id giat-2026-11",
            )
            .subcommand(
                Command::new("give")
                    .about("Draw a secret, give its key, and print the secret this once")
                    .arg(workspace_arg())
                    .arg(id("Name of the key, never used before"))
                    .arg(ChangeArgs::expected_version()),
            )
            .subcommand(Command::new("list").about("List keys; secrets are not kept anywhere"))
            .subcommand(
                Command::new("withdraw")
                    .about("Withdraw a key for ever, at once, also in a region that is cut off")
                    .arg(id("Name of the key")),
            )
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        match matches.subcommand() {
            Some(("give", matches)) => Self::Give {
                expected_version: ChangeArgs::from_matches(matches).expected_version,
                id: config::required_string(matches, config::arg::ID),
                workspace: config::required_string(matches, config::arg::WORKSPACE),
            },
            Some(("withdraw", matches)) => Self::Withdraw {
                id: config::required_string(matches, config::arg::ID),
            },
            _ => Self::List,
        }
    }

    pub(crate) async fn run(&self, cx: &Context) -> Result {
        match self {
            Self::Give {
                expected_version,
                id,
                workspace,
            } => give_key(cx, *expected_version, id, workspace).await,
            Self::List => list_keys(cx).await,
            Self::Withdraw { id } => withdraw_key(cx, id).await,
        }
    }
}

async fn give_key(
    cx: &Context,
    expected_version: Option<Version>,
    id: &KeyId,
    workspace: &WorkspaceId,
) -> Result {
    let secret: Box<str> = random_hex::<{ KeyCommand::SECRET_BYTES }>()?.into();
    let key = Key {
        hash: KeyHash::from_secret(&secret),
        withdrawn: false,
        workspace: workspace.clone(),
    };
    let change = Change::GiveKey {
        id: id.clone(),
        key,
    };
    let args = ChangeArgs {
        expected_version,
        request_id: None,
    };
    let version = match cx.client.change(change, &args).await {
        Ok(version) => version,
        Err(Error::Unknown { .. }) => return error::UnknownKeySnafu { key: id.clone() }.fail(),
        Err(error) => return Err(error),
    };
    let issued = IssuedKey {
        key: id.clone(),
        secret,
        version,
        workspace: workspace.clone(),
    };
    cx.print(&issued, || issued.secret.to_string())
}

async fn list_keys(cx: &Context) -> Result {
    let keys = cx.client.document().await?.keys;
    cx.print(&keys, || {
        let line = |(id, key): (&KeyId, &Key)| {
            let state = if key.withdrawn { "withdrawn" } else { "valid" };
            format!("{id}\t{}\t{state}", key.workspace)
        };
        keys.iter().map(line).collect::<Vec<_>>().join("\n")
    })
}

async fn withdraw_key(cx: &Context, id: &KeyId) -> Result {
    let status = cx.client.withdraw(id).await?;
    cx.print(&status, || match status.version {
        Some(version) => format!("withdrawn for ever by version {version}"),
        None => "withdrawn on the VMs that are reached; the log is to follow".into(),
    })
}

fn workspace_arg() -> Arg {
    Arg::new(config::arg::WORKSPACE)
        .long(config::arg::WORKSPACE)
        .value_name("WORKSPACE")
        .required(true)
        .help("Workspace that requests with the key run for")
}
