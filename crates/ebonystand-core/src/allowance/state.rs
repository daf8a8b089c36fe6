use super::*;

/// This VM's view of every workspace's allowance over the fleet.
///
/// In any window of length T, the tokens used by requests admitted in it, over all VMs, are at
/// most burst + rate × T. A share is a rate, a capacity and tokens; shares of a workspace add up
/// to no more than its rate and burst, and tokens to no more than capacity. The configuration
/// divides the whole over the holders of the regions; holders lend parts of theirs to the VMs that
/// have the traffic. See `docs/design/allowance.md`.
///
/// After each call, do what [`Self::tick`] returns no later than [`Self::deadline`] says; a
/// message that [`Self::admit`] gave rise to waits there too.
#[derive(Debug)]
pub struct Allowance {
    pub(crate) cx: AllowanceCx,
    pub(crate) fleet: AllowanceFleet,
    pub(crate) plans: FxHashMap<WorkspaceId, AllowancePlan>,
    /// When this start of the VM may use its own parts.
    pub(crate) ready: Duration,
    /// When it was last called.
    pub(crate) seen: Duration,
    started: Duration,
    /// Workspaces that were removed, with when a new one of that name starts afresh.
    pub(crate) removed: FxHashMap<WorkspaceId, Duration>,
    pub(crate) shares: FxHashMap<WorkspaceId, AllowanceShare>,
    /// When it was noticed that the VM had been frozen, until the configuration is confirmed.
    thawed: Option<Duration>,
    pub(crate) timers: BTreeSet<(Duration, WorkspaceId)>,
    pub(crate) version: Option<Version>,
}

impl Allowance {
    /// Allowance of a VM that starts. Its parts are empty and unused for [`LeaseTerms::HOLD`]: its
    /// former start may have lent all of them just before it ended.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, region: RegionId, now: Duration) -> Self {
        Self {
            cx: AllowanceCx::new(vm, incarnation),
            fleet: AllowanceFleet {
                region,
                regions: Vec::new(),
            },
            plans: FxHashMap::default(),
            ready: now + LeaseTerms::HOLD,
            seen: now,
            started: now,
            removed: FxHashMap::default(),
            shares: FxHashMap::default(),
            thawed: None,
            timers: BTreeSet::new(),
            version: None,
        }
    }

    /// Asks for `tokens` of the workspace's allowance: the prompt and the most that may be
    /// generated. After [`Admission::Waiting`], call [`Self::tick`] at once: it holds the ask.
    pub fn admit(&mut self, now: Duration, workspace: &str, tokens: Tokens) -> Admission {
        self.notice(now);
        if !self.open(now, workspace) || self.cx.draining {
            let retry_after = Duration::MAX;
            return Admission::Refused { retry_after };
        }
        let Some(share) = self.shares.get_mut(workspace) else {
            let retry_after = Duration::MAX;
            return Admission::Refused { retry_after };
        };
        let admission = share.admit(now, tokens, &mut self.cx);
        if !self.cx.outbox.is_empty() || !matches!(admission, Admission::Granted(_)) {
            Self::set_timer(&mut self.timers, share, now, None);
        }
        admission
    }

    /// Gives up a waiting request.
    pub fn cancel(&mut self, now: Duration, ticket: TicketId) -> Vec<AllowanceOutput> {
        self.notice(now);
        let waits = |share: &&mut AllowanceShare| share.tickets.iter().any(|t| t.id == ticket);
        if let Some(share) = self.shares.values_mut().find(waits) {
            share.cancel(ticket);
        }
        self.cx.take_outputs()
    }

    /// Notes that the configuration held here was the newest at `asked`. A VM that was frozen before
    /// has missed nothing then, and uses its parts again.
    pub fn confirm_configuration(
        &mut self,
        now: Duration,
        asked: Duration,
    ) -> Vec<AllowanceOutput> {
        self.notice(now);
        if self.thawed.take_if(|thawed| *thawed <= asked).is_none() {
            return Vec::new();
        }
        self.ready = self.ready.min(now.max(self.started + LeaseTerms::HOLD));
        let shares: Vec<WorkspaceId> = self.shares.keys().cloned().collect();
        for workspace in shares {
            self.tick_share(now, &workspace);
        }
        self.cx.take_outputs()
    }

    /// When [`Self::tick`] has something to do.
    #[must_use]
    pub fn deadline(&self) -> Option<Duration> {
        if !self.cx.outbox.is_empty() || !self.cx.outputs.is_empty() {
            return Some(Duration::ZERO);
        }
        let heartbeat = self.seen + LeaseTerms::HEARTBEAT;
        let timer = self.timers.first().map(|(at, _)| *at);
        Some(timer.unwrap_or(heartbeat).min(heartbeat))
    }

    /// Gives all leases back and refuses what waits; for a VM that leaves. What runs is still to
    /// be settled.
    pub fn drain(&mut self, now: Duration) -> Vec<AllowanceOutput> {
        self.notice(now);
        self.cx.draining = true;
        let mut shares: Vec<&mut AllowanceShare> = self.shares.values_mut().collect();
        shares.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        for share in shares {
            share.expire(now, &mut self.cx);
            share.refuse_all(Duration::from_secs(1), &mut self.cx);
            share.reserved = 0;
            share.give_all_back(now, &mut self.cx);
        }
        self.cx.take_outputs()
    }

    /// Whether this VM may use its own parts. Until then it would refuse, as a holder, what is
    /// within a workspace's rate. One that knows the configuration and holds no part has none to
    /// wait for.
    #[must_use]
    pub fn is_ready(&self, now: Duration) -> bool {
        let mut parts = self.plans.values().map(|plan| &plan.own);
        now >= self.ready
            || (self.version.is_some() && parts.all(|part| *part == AllowancePart::ZERO))
    }

    /// Takes a message of another VM. It may be lost, doubled, late or out of order.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &VmId,
        message: AllowanceMessage,
    ) -> Vec<AllowanceOutput> {
        self.notice(now);
        for item in message.items {
            self.receive_item(now, from, item);
        }
        self.cx.take_outputs()
    }

    /// Ends a reservation of which `used` tokens were used; the rest goes back as far as the
    /// share could have held it all along.
    pub fn settle(
        &mut self,
        now: Duration,
        reservation: Reservation,
        used: Tokens,
    ) -> Vec<AllowanceOutput> {
        self.notice(now);
        if let Some(share) = self.shares.get_mut(&reservation.workspace) {
            share.settle(now, reservation, used, &mut self.cx);
            share.serve_claims(now, &mut self.cx);
            Self::set_timer(&mut self.timers, share, now, None);
        }
        self.cx.take_outputs()
    }

    /// Workspaces in use on this VM, by name.
    #[must_use]
    pub fn status(&self) -> Vec<AllowanceStatus> {
        let mut status: Vec<_> = self.shares.values().map(AllowanceShare::status).collect();
        status.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        status
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<AllowanceOutput> {
        self.notice(now);
        while let Some((at, _)) = self.timers.first()
            && *at <= now
            && let Some((_, workspace)) = self.timers.pop_first()
        {
            self.tick_share(now, &workspace);
        }
        self.cx.take_outputs()
    }

    /// Notices that the VM was frozen.
    pub(crate) fn notice(&mut self, now: Duration) {
        let silent = now.saturating_sub(self.seen);
        self.seen = self.seen.max(now);
        if silent <= LeaseTerms::FREEZE || self.version.is_none() {
            return;
        }
        self.ready = self.ready.max(now + LeaseTerms::THAW);
        self.thawed = Some(now);
        for share in self.shares.values_mut() {
            share.expire(now, &mut self.cx);
            let bucket = &mut share.bucket;
            share.lender.set_part(now, AllowancePart::ZERO, bucket);
            Self::set_timer(&mut self.timers, share, now, Some(self.ready));
        }
    }

    fn tick_share(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(share) = self.shares.get_mut(workspace) else {
            return;
        };
        share.timer = None;
        if let Some(plan) = self.plans.get(workspace) {
            let part = plan.part(now, self.ready);
            share.lender.set_part(now, part, &mut share.bucket);
        }
        share.tick(now, &mut self.cx);
        if share.is_idle(now) {
            self.close(now, workspace);
            return;
        }
        let plan = self.plans.get(workspace);
        let change = plan.and_then(|plan| plan.part_changes(now, self.ready));
        Self::set_timer(&mut self.timers, share, now, change);
    }

    /// Drops a share; the plan keeps its level.
    fn close(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(mut share) = self.shares.remove(workspace) else {
            return;
        };
        share.bucket.advance(now);
        if let Some(plan) = self.plans.get_mut(workspace) {
            plan.idle_level = share.bucket.level();
            plan.idle_since = now;
        }
    }

    /// Brings a share into use; false if the workspace is not served here.
    fn open(&mut self, now: Duration, workspace: &str) -> bool {
        if self.shares.contains_key(workspace) {
            return true;
        }
        let Some((id, plan)) = self.plans.get_key_value(workspace) else {
            return false;
        };
        if !self.fleet.serves(&plan.residency) {
            return false;
        }
        let route = self.fleet.route(id, &plan.residency);
        let mut share = AllowanceShare::new(now, id.clone(), route, plan.whole, &mut self.cx);
        let part = plan.part(now, self.ready);
        share.lender.set_part(now, part, &mut share.bucket);
        let level = plan.level(now, self.ready);
        share.bucket.put(now, AllowancePart::ZERO, level);
        let change = plan.part_changes(now, self.ready);
        Self::set_timer(&mut self.timers, &mut share, now, change);
        self.shares.insert(id.clone(), share);
        true
    }

    fn receive_item(&mut self, now: Duration, from: &VmId, item: AllowanceItem) {
        let action = &item.action;
        if matches!(
            action,
            AllowanceAction::Ask { .. } | AllowanceAction::Claim { .. }
        ) {
            self.open(now, &item.workspace);
        }
        let Some(share) = self.shares.get_mut(&item.workspace) else {
            return;
        };
        share.expire(now, &mut self.cx);
        share.take_action(now, from, item.action, &mut self.cx);
        Self::set_timer(&mut self.timers, share, now, None);
    }

    /// Sets the time of the next tick if it is earlier than the one that is set; a tick that
    /// comes too early does nothing and sets the right one.
    pub(crate) fn set_timer(
        timers: &mut BTreeSet<(Duration, WorkspaceId)>,
        share: &mut AllowanceShare,
        now: Duration,
        change: Option<Duration>,
    ) {
        let due = share.deadline(now).into_iter().chain(change).min();
        let due = due.map(|due| due.max(now + LeaseTerms::STEP));
        let Some(due) = due.filter(|due| share.timer.is_none_or(|timer| *due < timer)) else {
            return;
        };
        if let Some(timer) = share.timer.replace(due) {
            timers.remove(&(timer, share.workspace.clone()));
        }
        timers.insert((due, share.workspace.clone()));
    }
}
