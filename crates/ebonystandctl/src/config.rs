use super::*;

/// Parsed command line: the global options and the subcommand.
#[derive(Debug)]
pub(crate) struct Config {
    pub(crate) credential_file: Option<PathBuf>,
    pub(crate) json: bool,
    pub(crate) servers: Vec<Box<str>>,
    pub(crate) subcommand: Subcommand,
    pub(crate) timeout: Duration,
}

/// Ids of the global options and of the arguments that several subcommands share. The id of an
/// option is its flag without the dashes.
pub(crate) mod arg {
    pub(crate) const CREDENTIAL_FILE: &str = "credential-file";
    pub(crate) const EXPECTED_VERSION: &str = "expected-version";
    pub(crate) const FILE: &str = "FILE";
    pub(crate) const ID: &str = "id";
    pub(crate) const JSON: &str = "json";
    pub(crate) const NAME: &str = "NAME";
    pub(crate) const REQUEST_ID: &str = "request-id";
    pub(crate) const SERVER: &str = "server";
    pub(crate) const TIMEOUT: &str = "timeout";
    pub(crate) const WORKSPACE: &str = "workspace";
}

const EXAMPLES: &str = "\
Examples:
  ebonystandctl check examples/seremban-jaya.json
  ebonystandctl --server http://10.0.0.1:8080 --server http://10.0.0.2:8080 \\
      --credential-file operator.credential apply examples/seremban-jaya.json
  ebonystandctl … preset switch peak
  ebonystandctl … key give --workspace giat --id giat-2026-12
  ebonystandctl … --json status

Exit status: 0 done, 1 refused, 2 usage, 3 conflict, 4 unreachable, 5 unknown outcome.";

impl Config {
    /// Returns the command-line parser with all subcommands.
    pub(crate) fn command() -> Command {
        Command::new("ebonystandctl")
            .version(env!("CARGO_PKG_VERSION"))
            .about("Operates the ebonystand inference gateway")
            .after_help(EXAMPLES)
            .subcommand_required(true)
            .arg_required_else_help(true)
            .args(Self::args())
            .subcommands(Subcommand::commands())
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let subcommand = Subcommand::from_matches(matches)?;
        let servers = matches
            .get_many::<String>(arg::SERVER)
            .into_iter()
            .flatten();
        let servers: Vec<Box<str>> = servers
            .map(|server| server.trim_end_matches('/').into())
            .collect();
        let credential_file = matches.get_one::<PathBuf>(arg::CREDENTIAL_FILE).cloned();
        if subcommand.needs_server() && (servers.is_empty() || credential_file.is_none()) {
            let message = "--server and --credential-file are required";
            return Err(usage_error(
                clap::error::ErrorKind::MissingRequiredArgument,
                message,
            ));
        }
        let seconds = matches.get_one::<u64>(arg::TIMEOUT).copied();
        Ok(Self {
            credential_file,
            json: matches.get_flag(arg::JSON),
            servers,
            subcommand,
            timeout: Duration::from_secs(seconds.unwrap_or(Client::DEFAULT_TIMEOUT_SECONDS)),
        })
    }

    fn args() -> [Arg; 4] {
        [
            Arg::new(arg::SERVER)
                .long(arg::SERVER)
                .value_name("URL")
                .action(ArgAction::Append)
                .global(true)
                .help("VM to ask; when it does not answer, the next one named is asked"),
            Arg::new(arg::CREDENTIAL_FILE)
                .long(arg::CREDENTIAL_FILE)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .global(true)
                .help("File that holds the operators' credential"),
            Arg::new(arg::JSON)
                .long(arg::JSON)
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Print JSON"),
            Arg::new(arg::TIMEOUT)
                .long(arg::TIMEOUT)
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(1..=600))
                .global(true)
                .help("Wait for a VM's answer [default: 10]"),
        ]
    }
}

/// Creates a usage error for a rule that the parser does not check by itself.
pub(crate) fn usage_error(kind: clap::error::ErrorKind, message: &str) -> Error {
    let source = Config::command().error(kind, message);
    Error::Usage { source }
}

/// Returns the value of a required argument, or an empty string if it is absent.
pub(crate) fn required_string(matches: &ArgMatches, name: &str) -> Box<str> {
    let text = matches.get_one::<String>(name);
    text.map_or_else(Box::default, |text| text.as_str().into())
}
