use super::*;

/// Arguments of `quarantine`, which serves requests again that were taken for the cause of crashes.
#[derive(Clone, Debug)]
pub(crate) struct QuarantineClear {
    fingerprint: Box<str>,
}

impl QuarantineClear {
    const FINGERPRINT: &str = "fingerprint";

    pub(crate) fn command() -> Command {
        let fingerprint = Arg::new(Self::FINGERPRINT)
            .value_name("FINGERPRINT")
            .required(true)
            .help("Fingerprint of the request, as status prints it");
        Command::new("quarantine")
            .about("Serve requests again that are refused because upstreams went down under them")
            .subcommand_required(true)
            .after_help("Example:\n  ebonystandctl … quarantine clear 0f6c…")
            .subcommand(
                Command::new("clear")
                    .about("Clear a request on all VMs; it is counted anew from then on")
                    .arg(fingerprint),
            )
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let matches = matches.subcommand_matches("clear").unwrap_or(matches);
        Self {
            fingerprint: config::required_string(matches, Self::FINGERPRINT),
        }
    }

    pub(crate) async fn run(&self, cx: &Context) -> Result {
        let status = cx.client.clear_quarantine(&self.fingerprint).await?;
        cx.print(&status, || {
            format!("request {} is served again", status.fingerprint)
        })
    }
}
