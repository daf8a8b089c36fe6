use super::*;

/// A replica's data folder.
///
/// | file | holds |
/// |---|---|
/// | `identity` | the folder's incarnation; made last, so that its presence says the folder is whole |
/// | `lock` | nothing; locked while a process uses the folder |
/// | `log` | term, vote and the entries behind the snapshot |
/// | `snapshot` | the newest snapshot |
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    /// Holds the lock.
    _lock: File,
    log: RecordLog,
    poisoned: bool,
    snapshot: SnapshotFile,
    /// What is on disk, but for the snapshot's state. Commands are shared with the replica.
    state: DurableState,
}

impl Storage {
    /// Whether the storage still works.
    ///
    /// # Errors
    ///
    /// [`StorageError::Poisoned`] after a write has failed.
    pub fn check(&self) -> Result<(), StorageError> {
        let path = &self.folder;
        ensure!(!self.poisoned, PoisonedSnafu { path });
        Ok(())
    }

    /// Opens a data folder and returns what it holds. An empty or absent one is set up, with an
    /// incarnation drawn for it.
    ///
    /// # Errors
    ///
    /// [`StorageError::Locked`] if a process has it; [`StorageError::Corrupt`], [`StorageError::Gap`]
    /// or [`StorageError::LogMissing`] if what was synced can't be read back. A write that was torn
    /// by a crash is no error: it was not answered.
    pub fn open(folder: &Path) -> Result<(Self, DurableState), StorageError> {
        fs::create_dir_all(folder).context(IoSnafu {
            action: "make",
            path: folder,
        })?;
        let lock = Self::lock(folder)?;
        let snapshot = SnapshotFile::new(folder.join("snapshot"));
        let incarnation = Self::incarnation(folder)?;
        let log_path = folder.join("log");
        ensure!(log_path.exists(), LogMissingSnafu { path: log_path });
        let (log, records) = RecordLog::open(&log_path)?;
        let state = Self::replay(&log_path, incarnation, snapshot.read()?, records)?;
        let storage = Self {
            folder: folder.into(),
            _lock: lock,
            log,
            poisoned: false,
            snapshot,
            state: without_state(state.clone()),
        };
        Ok((storage, state))
    }

    /// Makes records durable, with one sync for all of them unless one is a snapshot.
    ///
    /// # Errors
    ///
    /// After an error nothing more can be written: whether a sync that failed kept anything is
    /// not knowable, and a second try may report success for bytes that are lost.
    pub fn persist(&mut self, records: Vec<LogRecord>) -> Result<(), StorageError> {
        self.check()?;
        self.poisoned = true;
        let mut batch = Vec::new();
        for record in records {
            if let LogRecord::Snapshot(snapshot) = record {
                self.append(std::mem::take(&mut batch))?;
                self.put_snapshot(snapshot)?;
            } else {
                batch.push(record);
            }
        }
        self.append(batch)?;
        self.poisoned = false;
        Ok(())
    }

    fn append(&mut self, batch: Vec<LogRecord>) -> Result<(), StorageError> {
        if batch.is_empty() {
            return Ok(());
        }
        self.log.append(&batch)?;
        batch
            .into_iter()
            .for_each(|record| self.state.apply(record));
        Ok(())
    }

    /// Incarnation of the folder. A new folder gets a log first and its identity last, so that a
    /// crash between them leaves a folder that is set up again.
    fn incarnation(folder: &Path) -> Result<Incarnation, StorageError> {
        let path = folder.join("identity");
        match fs::read(&path) {
            Ok(bytes) => {
                let (body, sum) = bytes.split_at_checked(8).unwrap_or_default();
                let intact = crc32fast::hash(body).to_le_bytes() == *sum;
                let body = <[u8; 8]>::try_from(body).ok().filter(|_| intact);
                body.map(Incarnation::from_le_bytes).context(CorruptSnafu {
                    offset: 0_u64,
                    path,
                })
            }
            Err(error) if error.kind() == ErrorKind::NotFound => Self::set_up(folder, &path),
            Err(source) => Err(StorageError::Io {
                action: "read",
                path,
                source,
            }),
        }
    }

    fn lock(folder: &Path) -> Result<File, StorageError> {
        let path = folder.join("lock");
        let lock = File::create(&path).context(IoSnafu {
            action: "make",
            path: &path,
        })?;
        match lock.try_lock() {
            Ok(()) => Ok(lock),
            Err(fs::TryLockError::WouldBlock) => LockedSnafu { path: folder }.fail(),
            Err(fs::TryLockError::Error(source)) => Err(StorageError::Io {
                action: "lock",
                path,
                source,
            }),
        }
    }

    /// Writes the snapshot first and then the shorter log: a crash between leaves entries that
    /// the snapshot contains too, and they are skipped when the folder is opened.
    fn put_snapshot(&mut self, snapshot: LogSnapshot) -> Result<(), StorageError> {
        self.snapshot.write(&snapshot)?;
        self.state.apply(LogRecord::Snapshot(LogSnapshot {
            state: Bytes::new(),
            ..snapshot
        }));
        let hard_state = LogRecord::HardState(self.state.hard_state.clone());
        let entries = self.state.entries.iter().cloned().map(LogRecord::Append);
        let records: Vec<_> = std::iter::once(hard_state).chain(entries).collect();
        self.log = RecordLog::create(&self.folder.join("log"), &records)?;
        Ok(())
    }

    fn replay(
        path: &Path,
        incarnation: Incarnation,
        snapshot: Option<LogSnapshot>,
        records: Vec<LogRecord>,
    ) -> Result<DurableState, StorageError> {
        let mut state = DurableState::empty(incarnation);
        records.into_iter().for_each(|record| state.apply(record));
        if let Some(snapshot) = snapshot {
            let behind = state
                .entries
                .front()
                .is_some_and(|entry| entry.position.index > snapshot.position.index);
            if behind {
                state.snapshot = Some(snapshot);
            } else {
                state.apply(LogRecord::Snapshot(snapshot));
            }
        }
        let mut last = state.snapshot.as_ref().map_or(0, |s| s.position.index);
        for entry in &state.entries {
            let found = entry.position.index;
            ensure!(found == last + 1, GapSnafu { found, last, path });
            last = found;
        }
        Ok(state)
    }

    fn set_up(folder: &Path, path: &Path) -> Result<Incarnation, StorageError> {
        let in_use = ["log", "snapshot"].iter().any(|name| {
            let path = folder.join(name);
            fs::metadata(path).is_ok_and(|file| file.len() > RecordLog::EMPTY_LEN)
        });
        ensure!(!in_use, LogMissingSnafu { path });
        let mut body = [0; 8];
        getrandom::fill(&mut body)
            .map_err(std::io::Error::from)
            .context(IoSnafu {
                action: "draw a number for",
                path,
            })?;
        RecordLog::create(&folder.join("log"), &[])?;
        let sum = crc32fast::hash(&body).to_le_bytes();
        replace_file(path, &[&body[..], &sum[..]].concat())?;
        Ok(Incarnation::from_le_bytes(body))
    }
}

/// The same without the snapshot's bytes, which the replica holds already.
fn without_state(mut state: DurableState) -> DurableState {
    if let Some(snapshot) = &mut state.snapshot {
        snapshot.state = Bytes::new();
    }
    state
}
