use super::*;

/// Allowances of all workspaces, as this VM sees them.
///
/// In any window of length T, requests admitted over all VMs use at most burst + rate × T tokens. A
/// VM's share consists of a rate, a capacity and tokens. Shares of a workspace add up to at most
/// its rate and burst, and tokens to at most the capacity. The configuration divides the total
/// among the holders of the regions; holders lend parts of theirs to the VMs that have the traffic.
/// See `docs/design/allowance.md`.
///
/// After each call, call [`Self::tick`] at [`Self::deadline`] and carry out the outputs. A message
/// that [`Self::admit_request`] queues is among them.
#[derive(Debug)]
pub struct Allowance {
    pub(crate) cx: AllowanceCx,
    pub(crate) fleet: AllowanceFleet,
    pub(crate) plans: FxHashMap<WorkspaceId, AllowancePlan>,
    /// Time from which this VM may use its own parts, after a start or a freeze;
    /// [`Duration::MAX`] during a start.
    pub(crate) ready_at: Duration,
    /// Time of the last call, by which a freeze is detected.
    pub(crate) last_call: Duration,
    started_at: Duration,
    /// Whether the VM is starting: until [`Self::complete_start`], the configurations that it adopts
    /// are those of its past.
    pub(crate) is_starting: bool,
    /// Removed workspaces, each with the time until which a new one of the same name must wait to
    /// use its part.
    pub(crate) removed: FxHashMap<WorkspaceId, Duration>,
    pub(crate) shares: FxHashMap<WorkspaceId, AllowanceShare>,
    /// Time at which a freeze was detected; `None` once the configuration is confirmed.
    thawed_at: Option<Duration>,
    /// Next tick of each share.
    pub(crate) timers: BTreeSet<(Duration, WorkspaceId)>,
    /// Version of the configuration in force.
    pub(crate) version: Option<Version>,
}

impl Allowance {
    /// Creates the allowance of a VM that starts. Its parts are empty, and unused until
    /// [`Self::complete_start`] and for [`LeaseTerms::LENDER_TERM`]: the VM's previous start may
    /// have lent all of them just before it ended.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, region: RegionId, now: Duration) -> Self {
        Self {
            cx: AllowanceCx::new(vm, incarnation),
            fleet: AllowanceFleet {
                region,
                regions: Vec::new(),
            },
            plans: FxHashMap::default(),
            ready_at: Duration::MAX,
            last_call: now,
            started_at: now,
            is_starting: true,
            removed: FxHashMap::default(),
            shares: FxHashMap::default(),
            thawed_at: None,
            timers: BTreeSet::new(),
            version: None,
        }
    }

    /// Requests `tokens` of a workspace's allowance: the prompt's plus the most that may be
    /// generated. After [`Admission::Waiting`], call [`Self::tick`] at once to send the claims.
    pub fn admit_request(&mut self, now: Duration, workspace: &str, tokens: Tokens) -> Admission {
        self.detect_freeze(now);
        self.update_late_part(now, workspace);
        if !self.open_share(now, workspace) || self.cx.draining {
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

    /// Forgets a waiting request whose caller has given up.
    pub fn cancel_request(&mut self, now: Duration, ticket: TicketId) -> Vec<AllowanceOutput> {
        self.detect_freeze(now);
        let has_ticket = |share: &&mut AllowanceShare| share.tickets.iter().any(|t| t.id == ticket);
        if let Some(share) = self.shares.values_mut().find(has_ticket) {
            share.cancel_ticket(ticket);
        }
        self.cx.take_outputs()
    }

    /// Decides a waiting request whose caller waits no longer by the answers that holders have given so
    /// far.
    pub fn end_wait(&mut self, now: Duration, ticket: TicketId) -> Vec<AllowanceOutput> {
        self.detect_freeze(now);
        let has_ticket = |share: &&mut AllowanceShare| share.tickets.iter().any(|t| t.id == ticket);
        if let Some(share) = self.shares.values_mut().find(has_ticket) {
            share.refuse_ticket(ticket, &mut self.cx);
        }
        self.cx.take_outputs()
    }

    /// Records that the VM has caught up with the configuration in force in the fleet, which ends
    /// its start. Before, its parts may be those of an old configuration, and a change that its log
    /// replays is no news: a handover that each start began anew would leave parts unused long
    /// after their former holders have learned of the change.
    pub fn complete_start(&mut self, now: Duration) -> Vec<AllowanceOutput> {
        self.detect_freeze(now);
        if !std::mem::replace(&mut self.is_starting, false) {
            return Vec::new();
        }
        let thawed_at = self.thawed_at.map(|at| at + LeaseTerms::THAW_DELAY);
        self.ready_at = (self.started_at + LeaseTerms::LENDER_TERM)
            .max(thawed_at.unwrap_or_default())
            .max(now);
        self.tick_all_shares(now);
        self.cx.take_outputs()
    }

    /// Records that the configuration in force was the newest at `asked_at`. A VM whose freeze was
    /// detected before then has missed no configuration, and uses its parts again.
    pub fn confirm_configuration(
        &mut self,
        now: Duration,
        asked_at: Duration,
    ) -> Vec<AllowanceOutput> {
        self.detect_freeze(now);
        if self
            .thawed_at
            .take_if(|thawed_at| *thawed_at <= asked_at)
            .is_none()
            || self.is_starting
        {
            return Vec::new();
        }
        self.ready_at = self
            .ready_at
            .min(now.max(self.started_at + LeaseTerms::LENDER_TERM));
        self.tick_all_shares(now);
        self.cx.take_outputs()
    }

    /// Time at which [`Self::tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Option<Duration> {
        if !self.cx.outbox.is_empty() || !self.cx.outputs.is_empty() {
            return Some(Duration::ZERO);
        }
        let heartbeat = self.last_call + LeaseTerms::MAX_TICK_INTERVAL;
        let timer = self.timers.first().map(|(at, _)| *at);
        Some(timer.unwrap_or(heartbeat).min(heartbeat))
    }

    /// Returns all leases and refuses waiting requests, on a VM that is leaving. Running requests
    /// are still to be settled.
    pub fn drain(&mut self, now: Duration) -> Vec<AllowanceOutput> {
        self.detect_freeze(now);
        self.cx.draining = true;
        let mut shares: Vec<&mut AllowanceShare> = self.shares.values_mut().collect();
        shares.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        for share in shares {
            share.expire(now, &mut self.cx);
            share.refuse_all_tickets(Duration::from_secs(1), &mut self.cx);
            share.reserved = 0;
            share.return_all_leases(now, &mut self.cx);
        }
        self.cx.take_outputs()
    }

    /// Whether this VM may use its own parts. Until then it would, as a holder, refuse requests
    /// within a workspace's rate. A VM whose configuration gives it no part is ready at once.
    #[must_use]
    pub fn is_ready(&self, now: Duration) -> bool {
        let mut parts = self.plans.values().map(|plan| &plan.own_part);
        now >= self.ready_at
            || (self.version.is_some() && parts.all(|part| *part == AllowancePart::ZERO))
    }

    /// Handles a message from another VM. It may be late, duplicated or out of order, and others
    /// may be lost.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: &VmId,
        message: AllowanceMessage,
    ) -> Vec<AllowanceOutput> {
        self.detect_freeze(now);
        for item in message.items {
            self.receive_item(now, from, item);
        }
        self.cx.take_outputs()
    }

    /// Number of workspaces whose part is in a handover at `now`, and the time until the last of
    /// these ends. Until then this VM may spend less than the configuration gives it.
    #[must_use]
    pub fn handovers(&self, now: Duration) -> (usize, Duration) {
        let ends = self.plans.values().filter_map(|plan| {
            let ends_at = plan.handover.as_ref()?.ends_at;
            (ends_at > now).then_some(ends_at)
        });
        ends.fold((0, Duration::ZERO), |(count, longest), ends_at| {
            (count + 1, longest.max(ends_at - now))
        })
    }

    /// Holders of each region in the configuration in force, sorted by region.
    pub fn region_holders(&self) -> impl Iterator<Item = (&RegionId, &[VmId])> {
        let regions = self.fleet.regions.iter();
        regions.map(|(id, region)| (id, region.holders.as_slice()))
    }

    /// Settles a reservation of which `used` tokens were spent. The rest is credited as far as the
    /// share could have held it since the reservation.
    pub fn settle_reservation(
        &mut self,
        now: Duration,
        reservation: Reservation,
        used: Tokens,
    ) -> Vec<AllowanceOutput> {
        self.detect_freeze(now);
        if let Some(share) = self.shares.get_mut(&reservation.workspace) {
            share.settle(now, reservation, used, &mut self.cx);
            share.serve_claims(now, &mut self.cx);
            Self::set_timer(&mut self.timers, share, now, None);
        }
        self.cx.take_outputs()
    }

    /// Status of the workspaces in use on this VM, sorted by name.
    #[must_use]
    pub fn status(&self) -> Vec<AllowanceStatus> {
        let mut status: Vec<_> = self.shares.values().map(AllowanceShare::status).collect();
        status.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        status
    }

    /// Carries out what is due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<AllowanceOutput> {
        self.detect_freeze(now);
        while let Some((at, _)) = self.timers.first()
            && *at <= now
            && let Some((_, workspace)) = self.timers.pop_first()
        {
            self.tick_share(now, &workspace);
        }
        self.cx.take_outputs()
    }

    /// Detects from the time since the last call that the VM was frozen, and stops using its own
    /// parts until it has had time to learn of a newer configuration.
    pub(crate) fn detect_freeze(&mut self, now: Duration) {
        let since_last_call = now.saturating_sub(self.last_call);
        self.last_call = self.last_call.max(now);
        if since_last_call <= LeaseTerms::FREEZE_THRESHOLD || self.version.is_none() {
            return;
        }
        self.ready_at = self.ready_at.max(now + LeaseTerms::THAW_DELAY);
        self.thawed_at = Some(now);
        for share in self.shares.values_mut() {
            share.expire(now, &mut self.cx);
            share.set_part(now, AllowancePart::ZERO, Some(self.ready_at));
            Self::set_timer(&mut self.timers, share, now, Some(self.ready_at));
        }
    }

    fn tick_all_shares(&mut self, now: Duration) {
        let shares: Vec<WorkspaceId> = self.shares.keys().cloned().collect();
        for workspace in shares {
            self.tick_share(now, &workspace);
        }
    }

    /// Ticks a share whose part has become usable and whose tick is late, as on a VM that gets
    /// little processor time. A claim would otherwise be refused, with no time left to wait for.
    fn update_late_part(&mut self, now: Duration, workspace: &str) {
        let share = self.shares.get(workspace);
        let usable_at = share.and_then(|share| share.rests_until);
        if usable_at.is_some_and(|at| at <= now) {
            let workspace = WorkspaceId::from(workspace);
            self.tick_share(now, &workspace);
        }
    }

    /// Ticks one share, drops it if it is idle and sets its next timer.
    fn tick_share(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(share) = self.shares.get_mut(workspace) else {
            return;
        };
        share.timer = None;
        if let Some(plan) = self.plans.get(workspace) {
            let part = plan.part_in_force(now, self.ready_at);
            let change = plan.next_part_change(now, self.ready_at);
            share.set_part(now, part, change);
        }
        share.tick(now, &mut self.cx);
        if share.is_idle(now) {
            self.close_share(now, workspace);
            return;
        }
        let plan = self.plans.get(workspace);
        let change = plan.and_then(|plan| plan.next_part_change(now, self.ready_at));
        Self::set_timer(&mut self.timers, share, now, change);
    }

    /// Drops a share; the level of its bucket moves to the plan.
    fn close_share(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(mut share) = self.shares.remove(workspace) else {
            return;
        };
        share.bucket.advance(now);
        if let Some(plan) = self.plans.get_mut(workspace) {
            plan.idle_level = share.bucket.level();
            plan.idle_since = now;
        }
    }

    /// Creates the share of a workspace unless there is one; returns false if the workspace is not
    /// served in this region.
    fn open_share(&mut self, now: Duration, workspace: &str) -> bool {
        if self.shares.contains_key(workspace) {
            return true;
        }
        let Some((id, plan)) = self.plans.get_key_value(workspace) else {
            return false;
        };
        if !self.fleet.is_served_here(&plan.residency) {
            return false;
        }
        let holders = self.fleet.holders_of(id, &plan.residency);
        let mut share = AllowanceShare::new(now, id.clone(), holders, plan.total, &mut self.cx);
        let part = plan.part_in_force(now, self.ready_at);
        let change = plan.next_part_change(now, self.ready_at);
        share.set_part(now, part, change);
        let level = plan.level_at(now, self.ready_at);
        share.bucket.add(now, AllowancePart::ZERO, level);
        Self::set_timer(&mut self.timers, &mut share, now, change);
        self.shares.insert(id.clone(), share);
        true
    }

    /// Handles one protocol step; only an ask or a claim brings a workspace into use.
    fn receive_item(&mut self, now: Duration, from: &VmId, item: AllowanceItem) {
        let action = &item.action;
        if matches!(
            action,
            AllowanceAction::Ask { .. } | AllowanceAction::Claim { .. }
        ) {
            self.open_share(now, &item.workspace);
        }
        self.update_late_part(now, &item.workspace);
        let Some(share) = self.shares.get_mut(&item.workspace) else {
            return;
        };
        share.expire(now, &mut self.cx);
        share.handle_action(now, from, item.action, &mut self.cx);
        Self::set_timer(&mut self.timers, share, now, None);
    }

    /// Schedules the next tick of a share if it is due before the scheduled one. A tick that comes
    /// too early does nothing and schedules the right one.
    pub(crate) fn set_timer(
        timers: &mut BTreeSet<(Duration, WorkspaceId)>,
        share: &mut AllowanceShare,
        now: Duration,
        change: Option<Duration>,
    ) {
        let due = share.deadline(now).into_iter().chain(change).min();
        let due = due.map(|due| due.max(now + LeaseTerms::MIN_TICK_INTERVAL));
        let Some(due) = due.filter(|due| share.timer.is_none_or(|timer| *due < timer)) else {
            return;
        };
        if let Some(timer) = share.timer.replace(due) {
            timers.remove(&(timer, share.workspace.clone()));
        }
        timers.insert((due, share.workspace.clone()));
    }
}
