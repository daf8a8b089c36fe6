use super::*;

/// Arguments of `quarantine`, which serves again what was taken for the cause of crashes.
#[derive(Clone, Debug)]
pub(crate) enum QuarantineClear {
    /// Part of prompts, in hexadecimal.
    Part(Box<str>),
    /// Fingerprint of a request.
    Request(Box<str>),
}

impl QuarantineClear {
    const FINGERPRINT: &str = "fingerprint";
    const PART: &str = "part";

    pub(crate) fn command() -> Command {
        let fingerprint = Arg::new(Self::FINGERPRINT)
            .value_name("FINGERPRINT")
            .required(true)
            .help("Fingerprint of the request, as status prints it");
        let part = Arg::new(Self::PART)
            .value_name("PART")
            .required(true)
            .help("Identifier of the part, as status prints it");
        Command::new("quarantine")
            .about("Serve requests or parts of prompts again that are refused because upstreams went down under them")
            .subcommand_required(true)
            .after_help("Example:\n  ebonystandctl … quarantine clear 0f6c…\n  ebonystandctl … quarantine clear-part 5c1e07a2")
            .subcommand(
                Command::new("clear")
                    .about("Clear a request on all VMs; it is counted anew from then on")
                    .arg(fingerprint),
            )
            .subcommand(
                Command::new("clear-part")
                    .about("Clear a part of prompts on all VMs; it is counted anew from then on")
                    .arg(part),
            )
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        match matches.subcommand() {
            Some(("clear-part", matches)) => {
                Self::Part(config::required_string(matches, Self::PART))
            }
            Some((_, matches)) => {
                Self::Request(config::required_string(matches, Self::FINGERPRINT))
            }
            None => Self::Request(config::required_string(matches, Self::FINGERPRINT)),
        }
    }

    pub(crate) async fn run(&self, cx: &Context) -> Result {
        match self {
            Self::Part(part) => {
                let status = cx.client.clear_part(part).await?;
                cx.print(&status, || {
                    format!("prompts with part {} are served again", status.part)
                })
            }
            Self::Request(fingerprint) => {
                let status = cx.client.clear_quarantine(fingerprint).await?;
                cx.print(&status, || {
                    format!("request {} is served again", status.fingerprint)
                })
            }
        }
    }
}
