use super::*;

/// Error that ends a command; its message is printed to standard error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// The expected version is no longer in force because another change was made.
    #[snafu(display(
        "another change came first: version {version} is in force; look at it and try again"
    ))]
    Conflict { version: Version },
    /// The credential file is empty or holds more than one word.
    #[snafu(display("{}: must hold one operators' credential", path.display()))]
    Credential { path: PathBuf },
    /// A file is not the expected JSON: a document or a preset.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The configuration document is invalid, or would be after the change.
    #[snafu(display("refused:{}", faults.iter().map(|fault| format!("\n  {fault}")).collect::<String>()))]
    Refused { faults: Vec<DocumentFault> },
    /// A VM refused the request.
    #[snafu(display("{server}: {source}"))]
    Server {
        server: Box<str>,
        source: OperatorError,
    },
    /// The operating system supplies no random bytes for a secret or a request id.
    #[snafu(display("no random numbers: {source}"))]
    Random { source: getrandom::Error },
    /// The answer to a change was lost, so its outcome is unknown.
    #[snafu(display(
        "the change may have been made: no answer came. To learn its outcome, run the same \
         command with --request-id {request_id} --expected-version {expected_version}"
    ))]
    Unknown {
        expected_version: Version,
        request_id: RequestId,
    },
    /// The answer to giving a key was lost. The change cannot be sent again, because its secret is
    /// not kept.
    #[snafu(display(
        "the key may have been given, but no answer came: withdraw `{key}` and give another name"
    ))]
    UnknownKey { key: KeyId },
    /// The answer to the withdrawal of a key was lost; withdrawing it again is safe.
    #[snafu(display(
        "`{key}` may not work any more, but no answer came: withdraw it again, which does no harm"
    ))]
    UnknownWithdrawal { key: KeyId },
    /// No VM answered the request; holds the failure of each VM that was tried.
    #[snafu(display("no VM took the request:{}", attempts.iter().map(|attempt| format!("\n  {attempt}")).collect::<String>()))]
    Unreachable { attempts: Vec<AttemptError> },
    /// The command line is invalid in a way that the parser does not detect by itself.
    #[snafu(display("{}", source.render()))]
    Usage { source: clap::Error },
}

impl Error {
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Conflict { .. } => ExitStatus::Conflict,
            Self::Credential { .. } | Self::Random { .. } | Self::Read { .. } => ExitStatus::Usage,
            Self::Parse { .. } | Self::Refused { .. } | Self::Server { .. } => ExitStatus::Refused,
            Self::Unknown { .. } | Self::UnknownKey { .. } | Self::UnknownWithdrawal { .. } => {
                ExitStatus::Unknown
            }
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            Self::Usage { .. } => ExitStatus::Usage,
        }
    }
}
