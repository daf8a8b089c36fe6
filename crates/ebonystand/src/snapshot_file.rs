use super::*;

/// File that holds the newest snapshot, as one frame.
#[derive(Debug)]
pub(crate) struct SnapshotFile {
    path: PathBuf,
}

impl SnapshotFile {
    pub(crate) fn new(path: PathBuf) -> Self {
        Self { path }
    }

    /// Reads the snapshot, if there is one. It is replaced whole, so damage is never a torn write.
    pub(crate) fn read(&self) -> Result<Option<LogSnapshot>, StorageError> {
        let path = &self.path;
        let bytes = match fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(source) => {
                return Err(StorageError::Io {
                    action: "read",
                    path: path.clone(),
                    source,
                });
            }
        };
        let (mut records, end) = RecordLog::parse(&bytes, 0, Some(0)).context(CorruptSnafu {
            offset: 0_u64,
            path,
        })?;
        match (records.pop(), end == bytes.len()) {
            (Some(LogRecord::Snapshot(snapshot)), true) => Ok(Some(snapshot)),
            _ => CorruptSnafu {
                offset: end as u64,
                path,
            }
            .fail(),
        }
    }

    /// Replaces the snapshot.
    pub(crate) fn write(&self, snapshot: &LogSnapshot) -> Result<(), StorageError> {
        let records = [LogRecord::Snapshot(snapshot.clone())];
        replace_file(&self.path, &RecordLog::frame(0, &records)?)
    }
}
