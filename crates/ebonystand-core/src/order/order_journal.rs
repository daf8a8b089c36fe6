use super::*;

/// Journal of the once-only orders of one region, built from the commands of a replicated log.
///
/// Equal commands applied in equal order give equal journals and outcomes on every replica. A grant
/// is valid only once its entry is committed, that is, durable on a majority.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderJournal {
    answers_bytes: usize,
    /// Keys minted before this time, in seconds since 1970, are rejected.
    floor: u64,
    limits: OrderLimits,
    /// Mint time of the newest granted key, in seconds since 1970.
    newest: u64,
    /// Number of records of each workspace.
    per_workspace: BTreeMap<WorkspaceId, usize>,
    records: BTreeMap<OrderSortKey, OrderRecord>,
    /// Records with a stored answer, oldest key first.
    stored: BTreeSet<OrderSortKey>,
}

impl OrderJournal {
    /// Creates an empty journal that rejects keys minted before `floor`, in seconds since 1970.
    ///
    /// A group that takes over the orders of a region without their records must use the time of
    /// its own start plus [`OrderLimits::skew`]; the first group of a region uses 0.
    #[must_use]
    pub fn new(limits: OrderLimits, floor: u64) -> Self {
        Self {
            floor,
            limits,
            ..Self::default()
        }
    }

    /// Returns the total size of the stored answers in bytes.
    #[must_use]
    pub fn answers_bytes(&self) -> usize {
        self.answers_bytes
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &OrderCommand) -> OrderOutcome {
        match command {
            OrderCommand::Prune { floor } => self.prune(*floor),
            OrderCommand::Abandon { id, .. }
            | OrderCommand::Answer { id, .. }
            | OrderCommand::Grant { id, .. }
            | OrderCommand::MarkUnknown { id, .. } => match OrderSortKey::for_order(id) {
                Ok(key) => self.apply_to_order(key, command),
                Err(fault) => OrderOutcome::KeyFault(fault),
            },
        }
    }

    /// Returns the mint time of the oldest usable key, in seconds since 1970.
    #[must_use]
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns whether the journal has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns commands that mark the orders granted to previous processes of a VM as unknown.
    ///
    /// They should be proposed after a restart of the VM: callers then learn that no answer will
    /// arrive, instead of asking for it for ever. The commands don't free the orders, and if a
    /// holder is still running after all, its answer is still accepted.
    pub fn orphan_commands<'a>(
        &'a self,
        vm: &'a str,
        incarnation: Incarnation,
    ) -> impl Iterator<Item = OrderCommand> + 'a {
        self.records
            .iter()
            .filter(move |(_, record)| {
                record.state == OrderState::Granted
                    && &*record.holder.vm == vm
                    && record.holder.incarnation != incarnation
            })
            .map(|(key, record)| OrderCommand::MarkUnknown {
                holder: record.holder.clone(),
                id: key.id.clone(),
            })
    }

    /// Returns the [`OrderCommand::Prune`] to propose at wall clock `at`, if it would delete any
    /// record.
    #[must_use]
    pub fn prune_command(&self, at: u64) -> Option<OrderCommand> {
        let floor = self.cap_floor(at.saturating_sub(self.limits.retention.as_secs()));
        let oldest = self.records.keys().next()?.minted;
        (oldest < floor).then_some(OrderCommand::Prune { floor })
    }

    fn abandon(&mut self, key: OrderSortKey, body: BodyHash, holder: &OrderHolder) -> OrderOutcome {
        if let Some(record) = self.records.get_mut(&key) {
            return record.abandon(body, holder);
        }
        let record = OrderRecord {
            body,
            holder: holder.clone(),
            state: OrderState::Abandoned,
        };
        self.insert(key, record, OrderOutcome::Abandoned)
    }

    /// Lowers a floor so that keys within the retention time of the newest granted key stay usable.
    fn cap_floor(&self, floor: u64) -> u64 {
        floor.min(self.newest.saturating_sub(self.limits.retention.as_secs()))
    }

    fn answer(
        &mut self,
        key: OrderSortKey,
        holder: &OrderHolder,
        answer: &OrderAnswer,
    ) -> OrderOutcome {
        let Some(record) = self.records.get_mut(&key) else {
            return OrderOutcome::Stale(OrderStaleReason::Missing);
        };
        if let Err(stale) = record.check_holder(holder) {
            return OrderOutcome::Stale(stale);
        }
        if matches!(
            record.state,
            OrderState::Answered(_) | OrderState::AnswerDropped
        ) {
            return OrderOutcome::Stored;
        }
        if answer.size() > self.limits.answer_bytes {
            record.state = OrderState::AnswerDropped;
            return OrderOutcome::AnswerDropped;
        }
        record.state = OrderState::Answered(answer.clone());
        self.answers_bytes += answer.size();
        self.stored.insert(key);
        self.evict_answers();
        OrderOutcome::Stored
    }

    fn apply_to_order(&mut self, key: OrderSortKey, command: &OrderCommand) -> OrderOutcome {
        match command {
            OrderCommand::Abandon { body, holder, .. } => self.abandon(key, *body, holder),
            OrderCommand::Answer { answer, holder, .. } => self.answer(key, holder, answer),
            OrderCommand::Grant {
                at, body, holder, ..
            } => self.grant(key, *at, *body, holder),
            OrderCommand::MarkUnknown { holder, .. } => self.mark_unknown(&key, holder),
            OrderCommand::Prune { floor } => self.prune(*floor),
        }
    }

    /// Drops the answers of the oldest keys until the total size is within its limit.
    fn evict_answers(&mut self) {
        while self.answers_bytes > self.limits.answers_bytes {
            let Some(key) = self.stored.pop_first() else {
                return;
            };
            if let Some(record) = self.records.get_mut(&key) {
                if let OrderState::Answered(answer) = &record.state {
                    self.answers_bytes -= answer.size();
                }
                record.state = OrderState::AnswerDropped;
            }
        }
    }

    fn grant(
        &mut self,
        key: OrderSortKey,
        at: u64,
        body: BodyHash,
        holder: &OrderHolder,
    ) -> OrderOutcome {
        if let Some(record) = self.records.get_mut(&key) {
            return record.grant(body, holder);
        }
        if key.minted > at.saturating_add(self.limits.skew.as_secs()) {
            return OrderOutcome::KeyFault(OrderKeyError::InFuture);
        }
        let minted = key.minted;
        let outcome = self.insert(
            key,
            OrderRecord::new_granted(body, holder),
            OrderOutcome::Granted,
        );
        if outcome == OrderOutcome::Granted {
            self.newest = self.newest.max(minted);
        }
        outcome
    }

    /// Adds a record for a key that has none.
    ///
    /// A key below the floor may have had a record that was deleted, so its order may have run.
    /// Another grant could run it twice, so such a key is always rejected.
    fn insert(
        &mut self,
        key: OrderSortKey,
        record: OrderRecord,
        outcome: OrderOutcome,
    ) -> OrderOutcome {
        if key.minted < self.floor {
            return OrderOutcome::Expired;
        }
        let workspace_count = self.per_workspace.get(&key.id.workspace).copied();
        if self.records.len() >= self.limits.records
            || workspace_count.unwrap_or(0) >= self.limits.records_per_workspace
        {
            return OrderOutcome::Full;
        }
        match self.per_workspace.get_mut(&key.id.workspace) {
            Some(count) => *count += 1,
            None => {
                self.per_workspace.insert(key.id.workspace.clone(), 1);
            }
        }
        self.records.insert(key, record);
        outcome
    }

    fn mark_unknown(&mut self, key: &OrderSortKey, holder: &OrderHolder) -> OrderOutcome {
        let Some(record) = self.records.get_mut(key) else {
            return OrderOutcome::Stale(OrderStaleReason::Missing);
        };
        if let Err(stale) = record.check_holder(holder) {
            return OrderOutcome::Stale(stale);
        }
        if record.state == OrderState::Granted {
            record.state = OrderState::Unknown;
        }
        record.outcome()
    }

    fn prune(&mut self, floor: u64) -> OrderOutcome {
        self.floor = self.floor.max(self.cap_floor(floor));
        let first = OrderSortKey::first_at(self.floor);
        let kept = self.records.split_off(&first);
        let gone = std::mem::replace(&mut self.records, kept);
        self.stored = self.stored.split_off(&first);
        for (key, record) in &gone {
            if let OrderState::Answered(answer) = &record.state {
                self.answers_bytes -= answer.size();
            }
            let Some(count) = self.per_workspace.get_mut(&key.id.workspace) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                self.per_workspace.remove(&key.id.workspace);
            }
        }
        OrderOutcome::Pruned {
            floor: self.floor,
            records: gone.len() as u64,
        }
    }
}
