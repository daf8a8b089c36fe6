//! Command line.

use super::*;
use subcommand::Subcommand;

mod arg {
    pub(crate) const ADDRESSES: &str = "addresses";
    pub(crate) const SETTINGS: &str = "settings";
}

mod cmd {
    pub(crate) const CHECK: &str = "check";
    pub(crate) const RUN: &str = "run";
}

const EXAMPLES: &str = "Examples:
  ebonystand check /etc/ebonystand/u1.json
  ebonystand run /etc/ebonystand/u1.json";

pub(crate) fn command() -> Command {
    let settings = Arg::new(arg::SETTINGS)
        .help("Settings of this VM, in JSON")
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf));
    let addresses = Arg::new(arg::ADDRESSES)
        .help("Write the addresses that are listened on to this file, in JSON")
        .long(arg::ADDRESSES)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf));
    Command::new("ebonystand")
        .about("Multi-region inference gateway")
        .after_help(EXAMPLES)
        .subcommand(
            Command::new(cmd::CHECK)
                .about("Report every fault of the settings, then exit")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new(cmd::RUN)
                .about("Serve callers until SIGTERM")
                .arg(addresses)
                .arg(settings),
        )
        .subcommand_required(true)
        .version(env!("CARGO_PKG_VERSION"))
}

pub(crate) fn subcommand(matches: &ArgMatches) -> Result<Subcommand> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(Error::NoSubcommand);
    };
    let file = path(matches, arg::SETTINGS).unwrap_or(Path::new(""));
    let settings = Settings::read(file)?;
    match name {
        cmd::CHECK => Ok(Subcommand::Check { settings }),
        _ => Ok(Subcommand::Run {
            addresses: path(matches, arg::ADDRESSES).map(Path::to_path_buf),
            path: file.to_path_buf(),
            settings,
        }),
    }
}

fn path<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a Path> {
    matches.get_one::<PathBuf>(name).map(PathBuf::as_path)
}
