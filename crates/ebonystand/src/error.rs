use super::*;

/// Why the daemon cannot start or go on.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(false)), visibility(pub(crate)))]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// An entry of the log or a snapshot is not of this version.
    #[snafu(display("entry {index} of the log cannot be decoded: {source}"))]
    Entry {
        /// Place in the log.
        index: u64,
        /// What the codec says.
        source: postcard::Error,
    },
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The log cannot be set up.
    #[snafu(display("cannot set up the log: {source}"))]
    Log {
        /// What the library says.
        source: log::SetLoggerError,
    },
    /// No subcommand was given.
    #[snafu(display("a subcommand is needed"))]
    NoSubcommand,
    /// Randomness cannot be had.
    #[snafu(display("the system gives no random bytes: {source}"))]
    Random {
        /// What the system says.
        source: getrandom::Error,
    },
    /// The fleet's secret cannot be used.
    #[snafu(display("{}: {source}", path.display()))]
    SecretFile {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: ebonystand_wire::Error,
    },
    /// The settings have faults.
    #[snafu(display("{}", list(faults)))]
    SettingsFaults {
        /// Every one.
        faults: Vec<SettingsFault>,
    },
    /// The data folder cannot be used, or no longer.
    #[snafu(display("{source}"))]
    Storage {
        /// What is wrong.
        source: StorageError,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// What the system says.
        source: io::Error,
    },
    /// A signal handler cannot be set up.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal {
        /// What the system says.
        source: io::Error,
    },
}

impl Error {
    const CONFIGURATION: u8 = 2;

    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::NoSubcommand | Self::SecretFile { .. } | Self::SettingsFaults { .. } => {
                ExitCode::from(Self::CONFIGURATION)
            }
            _ => ExitCode::FAILURE,
        }
    }
}

fn list(faults: &[SettingsFault]) -> String {
    let lines = faults.iter().map(SettingsFault::to_string);
    lines.collect::<Vec<_>>().join("\nerror: ")
}
