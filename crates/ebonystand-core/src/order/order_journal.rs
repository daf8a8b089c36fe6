use super::*;

/// Journal of the orders of one region, applied from a replicated log.
///
/// Equal commands in equal order give equal journals and outcomes on every replica. A grant counts
/// only once its entry is committed, that is, durable on a majority.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderJournal {
    answers_bytes: usize,
    floor: u64,
    limits: OrderLimits,
    newest: u64,
    per_workspace: BTreeMap<WorkspaceId, usize>,
    records: BTreeMap<OrderSortKey, OrderRecord>,
    stored: BTreeSet<OrderSortKey>,
}

impl OrderJournal {
    /// An empty journal that refuses keys minted before `floor`, in seconds since 1970.
    ///
    /// A group that takes over a region's orders without their records starts with the time of
    /// its own start plus [`OrderLimits::skew`]; the first group of a region starts with 0.
    #[must_use]
    pub fn new(limits: OrderLimits, floor: u64) -> Self {
        Self {
            floor,
            limits,
            ..Self::default()
        }
    }

    /// Bytes of all stored answers.
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
            | OrderCommand::MarkUnknown { id, .. } => match OrderSortKey::of(id) {
                Ok(slot) => self.apply_to(slot, command),
                Err(fault) => OrderOutcome::KeyFault(fault),
            },
        }
    }

    /// Time of the oldest key that may still run, in seconds since 1970.
    #[must_use]
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Whether it holds no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Commands that mark the orders granted to former processes of a VM as unknown.
    ///
    /// Propose them when the VM has started anew: callers then hear that no answer will come, in
    /// place of asking again for ever. An order is not freed by it, and should its holder live after
    /// all, its answer is still taken.
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
            .map(|(slot, record)| OrderCommand::MarkUnknown {
                holder: record.holder.clone(),
                id: slot.id.clone(),
            })
    }

    /// Floor to ask for in [`OrderCommand::Prune`] at this wall clock, if it would forget anything.
    #[must_use]
    pub fn prune_command(&self, at: u64) -> Option<OrderCommand> {
        let floor = self.allowed(at.saturating_sub(self.limits.retention.as_secs()));
        let oldest = self.records.keys().next()?.minted;
        (oldest < floor).then_some(OrderCommand::Prune { floor })
    }

    fn abandon(
        &mut self,
        slot: OrderSortKey,
        body: BodyHash,
        holder: &OrderHolder,
    ) -> OrderOutcome {
        if let Some(record) = self.records.get_mut(&slot) {
            return record.abandon(body, holder);
        }
        let record = OrderRecord {
            body,
            holder: holder.clone(),
            state: OrderState::Abandoned,
        };
        self.insert(slot, record, OrderOutcome::Abandoned)
    }

    fn allowed(&self, floor: u64) -> u64 {
        floor.min(self.newest.saturating_sub(self.limits.retention.as_secs()))
    }

    fn answer(
        &mut self,
        slot: OrderSortKey,
        holder: &OrderHolder,
        answer: &OrderAnswer,
    ) -> OrderOutcome {
        let Some(record) = self.records.get_mut(&slot) else {
            return OrderOutcome::Stale(OrderStaleReason::Missing);
        };
        if let Err(stale) = record.check(holder) {
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
        self.stored.insert(slot);
        self.drop_answers();
        OrderOutcome::Stored
    }

    fn apply_to(&mut self, slot: OrderSortKey, command: &OrderCommand) -> OrderOutcome {
        match command {
            OrderCommand::Abandon { body, holder, .. } => self.abandon(slot, *body, holder),
            OrderCommand::Answer { answer, holder, .. } => self.answer(slot, holder, answer),
            OrderCommand::Grant {
                at, body, holder, ..
            } => self.grant(slot, *at, *body, holder),
            OrderCommand::MarkUnknown { holder, .. } => self.mark_unknown(&slot, holder),
            OrderCommand::Prune { floor } => self.prune(*floor),
        }
    }

    fn drop_answers(&mut self) {
        while self.answers_bytes > self.limits.answers_bytes {
            let Some(slot) = self.stored.pop_first() else {
                return;
            };
            if let Some(record) = self.records.get_mut(&slot) {
                if let OrderState::Answered(answer) = &record.state {
                    self.answers_bytes -= answer.size();
                }
                record.state = OrderState::AnswerDropped;
            }
        }
    }

    fn grant(
        &mut self,
        slot: OrderSortKey,
        at: u64,
        body: BodyHash,
        holder: &OrderHolder,
    ) -> OrderOutcome {
        if let Some(record) = self.records.get_mut(&slot) {
            return record.grant(body, holder);
        }
        if slot.minted > at.saturating_add(self.limits.skew.as_secs()) {
            return OrderOutcome::KeyFault(OrderKeyError::Early);
        }
        let minted = slot.minted;
        let outcome = self.insert(
            slot,
            OrderRecord::granted(body, holder),
            OrderOutcome::Granted,
        );
        if outcome == OrderOutcome::Granted {
            self.newest = self.newest.max(minted);
        }
        outcome
    }

    /// Adds a record for a key that has none.
    ///
    /// Below the floor a record may have been there and gone: the order may have run. Granted
    /// again, it would run twice, so such a key is refused whatever the caller says.
    fn insert(
        &mut self,
        slot: OrderSortKey,
        record: OrderRecord,
        outcome: OrderOutcome,
    ) -> OrderOutcome {
        if slot.minted < self.floor {
            return OrderOutcome::Expired;
        }
        let of_workspace = self.per_workspace.get(&slot.id.workspace).copied();
        if self.records.len() >= self.limits.records
            || of_workspace.unwrap_or(0) >= self.limits.records_per_workspace
        {
            return OrderOutcome::Full;
        }
        match self.per_workspace.get_mut(&slot.id.workspace) {
            Some(count) => *count += 1,
            None => {
                self.per_workspace.insert(slot.id.workspace.clone(), 1);
            }
        }
        self.records.insert(slot, record);
        outcome
    }

    fn mark_unknown(&mut self, slot: &OrderSortKey, holder: &OrderHolder) -> OrderOutcome {
        let Some(record) = self.records.get_mut(slot) else {
            return OrderOutcome::Stale(OrderStaleReason::Missing);
        };
        if let Err(stale) = record.check(holder) {
            return OrderOutcome::Stale(stale);
        }
        if record.state == OrderState::Granted {
            record.state = OrderState::Unknown;
        }
        record.report()
    }

    fn prune(&mut self, floor: u64) -> OrderOutcome {
        self.floor = self.floor.max(self.allowed(floor));
        let first = OrderSortKey::first(self.floor);
        let kept = self.records.split_off(&first);
        let gone = std::mem::replace(&mut self.records, kept);
        self.stored = self.stored.split_off(&first);
        for (slot, record) in &gone {
            if let OrderState::Answered(answer) = &record.state {
                self.answers_bytes -= answer.size();
            }
            let Some(count) = self.per_workspace.get_mut(&slot.id.workspace) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                self.per_workspace.remove(&slot.id.workspace);
            }
        }
        OrderOutcome::Pruned {
            floor: self.floor,
            records: gone.len() as u64,
        }
    }
}
