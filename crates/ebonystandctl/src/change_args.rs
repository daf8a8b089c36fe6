use super::*;

/// Arguments that guard a change against concurrent changes and against being made twice.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeArgs {
    /// Version that must be in force for the change to be made; if absent, the version that a VM
    /// reports just before the change is sent.
    pub(crate) expected_version: Option<Version>,
    /// Id under which the change can be sent again without being made twice; random if absent.
    pub(crate) request_id: Option<RequestId>,
}

impl ChangeArgs {
    /// Returns the arguments of a change that can be sent again: `--expected-version` and
    /// `--request-id`.
    pub(crate) fn args() -> [Arg; 2] {
        [
            Self::expected_version(),
            Arg::new(config::arg::REQUEST_ID)
                .long(config::arg::REQUEST_ID)
                .value_name("ID")
                .help("Name of this change, equal in each resend [default: drawn]"),
        ]
    }

    /// Returns the `--expected-version` argument, also for changes that take no request id.
    pub(crate) fn expected_version() -> Arg {
        Arg::new(config::arg::EXPECTED_VERSION)
            .long(config::arg::EXPECTED_VERSION)
            .value_name("VERSION")
            .value_parser(value_parser!(Version))
            .help("Change nothing unless this version is in force [default: the one in force now]")
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let request_id = matches
            .try_get_one::<String>(config::arg::REQUEST_ID)
            .ok()
            .flatten();
        Self {
            expected_version: matches.get_one(config::arg::EXPECTED_VERSION).copied(),
            request_id: request_id.map(|id| id.as_str().into()),
        }
    }
}
