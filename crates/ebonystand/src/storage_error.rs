use super::*;

/// Why a data folder cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// Bytes that were synced are not what was written.
    #[snafu(display(
        "{} is damaged at byte {offset}: what was acknowledged is no longer readable; take this \
         VM's data folder away and let it join anew",
        path.display()
    ))]
    Corrupt {
        /// Where the damage starts, in bytes.
        offset: u64,
        /// The file.
        path: PathBuf,
    },
    /// A record is larger than a frame can be.
    #[snafu(display("a batch of {len} bytes is larger than a frame can be"))]
    FrameTooLarge {
        /// Size of the batch.
        len: usize,
    },
    /// Entries between the snapshot and the first entry of the log are missing.
    #[snafu(display(
        "{}: entry {found} follows {last}, those between are missing",
        path.display()
    ))]
    Gap {
        /// Next entry that is there.
        found: LogIndex,
        /// Last entry before the gap.
        last: LogIndex,
        /// The file.
        path: PathBuf,
    },
    /// The operating system refused.
    #[snafu(display("cannot {action} {}: {source}", path.display()))]
    Io {
        /// What was tried.
        action: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Its reason.
        source: std::io::Error,
    },
    /// Another process has the folder.
    #[snafu(display("{} is in use by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The folder was in use, yet its log is gone.
    #[snafu(display(
        "{} is missing, though the folder has been in use; empty the folder to join anew",
        path.display()
    ))]
    LogMissing {
        /// The log.
        path: PathBuf,
    },
    /// An earlier write failed: what is on disk is unknown until the folder is opened anew.
    #[snafu(display("an earlier write to {} failed; restart the process", path.display()))]
    Poisoned {
        /// The folder.
        path: PathBuf,
    },
}
