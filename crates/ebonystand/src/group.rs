use super::*;

/// A replica with its data folder: turns inputs into effects, with everything that an effect
/// promises already synced.
#[derive(Debug)]
pub struct Group {
    replica: Replica,
    storage: Storage,
    unsynced: Unsynced,
}

impl Group {
    /// Takes inputs and returns the effects that need no sync; [`Self::sync`] must follow soon.
    ///
    /// A caller that sends these first lets the followers write while this disk does; with
    /// [`Self::step_all`] their syncs come after this one.
    ///
    /// # Errors
    ///
    /// If the storage has failed before.
    pub fn accept(
        &mut self,
        now: Duration,
        inputs: impl IntoIterator<Item = ReplicaInput>,
    ) -> Result<Vec<GroupEffect>, StorageError> {
        self.storage.check()?;
        let mut effects = Vec::new();
        let outputs = self.replica.step_all(now, inputs);
        self.sort(outputs, &mut effects);
        Ok(effects)
    }

    /// Whether [`Self::sync`] is due.
    #[must_use]
    pub fn needs_sync(&self) -> bool {
        self.unsynced.token.is_some()
    }

    /// Opens the data folder and starts the replica; the folder's incarnation replaces the one in
    /// `cfg`. `now` is the time since the start of the process, `seed` differs between VMs.
    ///
    /// # Errors
    ///
    /// If the folder cannot be used.
    pub fn open(
        folder: &Path,
        mut cfg: ReplicaConfig,
        now: Duration,
        seed: u64,
    ) -> Result<Self, StorageError> {
        let (storage, state) = Storage::open(folder)?;
        cfg.id.incarnation = state.incarnation;
        log::info!("replica {} opens {}", cfg.id, folder.display());
        Ok(Self {
            replica: Replica::new(cfg, state, now, seed),
            storage,
            unsynced: Unsynced::default(),
        })
    }

    /// The replica, to be looked at.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Takes one input; see [`Self::step_all`].
    ///
    /// # Errors
    ///
    /// If the storage fails.
    pub fn step(
        &mut self,
        now: Duration,
        input: ReplicaInput,
    ) -> Result<Vec<GroupEffect>, StorageError> {
        self.step_all(now, [input])
    }

    /// Takes inputs that came together; their records share one sync.
    ///
    /// # Errors
    ///
    /// If the storage fails, now or before: the process must stop then, since what is on disk is
    /// unknown. Until it does, the group says nothing more, not even a heartbeat.
    pub fn step_all(
        &mut self,
        now: Duration,
        inputs: impl IntoIterator<Item = ReplicaInput>,
    ) -> Result<Vec<GroupEffect>, StorageError> {
        let mut effects = self.accept(now, inputs)?;
        effects.extend(self.sync(now)?);
        Ok(effects)
    }

    /// Makes what [`Self::accept`] left durable; returns the effects that waited for it.
    ///
    /// # Errors
    ///
    /// If the storage fails, as for [`Self::step_all`].
    pub fn sync(&mut self, now: Duration) -> Result<Vec<GroupEffect>, StorageError> {
        let mut effects = Vec::new();
        while let Some(token) = self.unsynced.token.take() {
            let records = std::mem::take(&mut self.unsynced.records);
            self.storage.persist(records)?;
            let outputs = self.replica.step(now, ReplicaInput::Persisted { token });
            self.sort(outputs, &mut effects);
        }
        Ok(effects)
    }

    fn sort(&mut self, outputs: Vec<ReplicaOutput>, effects: &mut Vec<GroupEffect>) {
        use ReplicaOutput as Output;
        for output in outputs {
            effects.push(match output {
                Output::Commit { entry } => GroupEffect::Commit { entry },
                Output::InstallSnapshot { snapshot } => GroupEffect::InstallSnapshot { snapshot },
                Output::Persist { records, token } => {
                    self.unsynced.records.extend(records);
                    self.unsynced.token = Some(token);
                    continue;
                }
                Output::ProposalDone { id, result } => GroupEffect::Proposed { id, result },
                Output::ReadBarrierDone { id, result } => GroupEffect::Readable { id, result },
                Output::RoleChanged { role, term } => {
                    let id = self.replica.id();
                    log::info!("replica {id} is {role} in term {term}");
                    continue;
                }
                Output::Send { message, to } => GroupEffect::Send { message, to },
                Output::TakeSnapshot { index } => GroupEffect::TakeSnapshot { index },
            });
        }
    }
}

/// Records that wait for a sync.
#[derive(Debug, Default)]
struct Unsynced {
    records: Vec<LogRecord>,
    token: Option<PersistToken>,
}
