//! Application of a newer configuration to an [`Allowance`].

use super::*;

impl Allowance {
    /// Applies a configuration; a version that is not newer than the current one is ignored.
    pub fn configure(&mut self, now: Duration, document: &Document) -> Vec<AllowanceOutput> {
        self.detect_freeze(now);
        if self
            .version
            .is_some_and(|version| document.version <= version)
        {
            return Vec::new();
        }
        self.version = Some(document.version);
        let same_regions = self.adopt_regions(document);
        self.removed.retain(|_, until| now < *until);
        self.remove_workspaces(now, document);
        for (id, workspace) in &document.workspaces {
            self.adopt_workspace(now, id, workspace, same_regions);
        }
        self.cx.take_outputs()
    }

    /// Stores the regions with their holders and links; returns whether they are unchanged.
    fn adopt_regions(&mut self, document: &Document) -> bool {
        let same = document.regions.len() == self.fleet.regions.len()
            && document
                .regions
                .iter()
                .zip(&self.fleet.regions)
                .all(|((id, region), (old_id, old))| id == old_id && region == old);
        if !same {
            let regions = document.regions.iter();
            self.fleet.regions = regions.map(|(id, r)| (id.clone(), r.clone())).collect();
            self.cx.max_link_delay = self.fleet.max_link_delay();
        }
        same
    }

    /// Adds the plan of a workspace or updates it.
    fn adopt_workspace(
        &mut self,
        now: Duration,
        id: &WorkspaceId,
        workspace: &Workspace,
        same_regions: bool,
    ) {
        let total = AllowancePart::total_of(workspace);
        if same_regions
            && let Some(plan) = self.plans.get(id)
            && plan.total == total
            && plan.residency == self.fleet.residency_indices(workspace)
        {
            return;
        }
        let mut newer = self.fleet.build_plan(&self.cx.vm, id, workspace);
        newer.idle_since = now;
        if self.is_starting {
            self.plans.insert(id.clone(), newer);
        } else if let Some(plan) = self.plans.get_mut(id) {
            plan.adopt(newer, now, self.ready_at);
        } else {
            match self.removed.remove(id) {
                Some(ends_at) => {
                    let interim_part = AllowancePart::ZERO;
                    newer.handover = Some(Box::new(Handover {
                        interim_part,
                        ends_at,
                    }));
                }
                // A workspace that is new to a running fleet starts with full buckets: nobody has
                // spent from them.
                None => newer.idle_level = newer.own_part.capacity,
            }
            self.plans.insert(id.clone(), newer);
        }
        self.update_share(now, id);
    }

    /// Updates the share of a workspace in use from its plan.
    fn update_share(&mut self, now: Duration, id: &WorkspaceId) {
        let Some((share, plan)) = self.shares.get_mut(id).zip(self.plans.get(id)) else {
            return;
        };
        share.expire(now, &mut self.cx);
        share.total = plan.total;
        share.holders = self.fleet.holders_of(id, &plan.residency);
        let part = plan.part_in_force(now, self.ready_at);
        let change = plan.next_part_change(now, self.ready_at);
        share.set_part(now, part, change);
        share.serve_claims(now, &mut self.cx);
        Self::set_timer(&mut self.timers, share, now, change);
    }

    /// Drops workspaces that the document no longer has, returns their leases and refuses their
    /// requests.
    fn remove_workspaces(&mut self, now: Duration, document: &Document) {
        let is_removed = |id: &&WorkspaceId| !document.workspaces.contains_key(*id);
        let removed_ids: Vec<WorkspaceId> = self.plans.keys().filter(is_removed).cloned().collect();
        for id in removed_ids {
            let Some(plan) = self.plans.remove(&id) else {
                continue;
            };
            if !self.is_starting {
                let refill = accrual_time(plan.total.capacity, plan.total.rate);
                let until = now + refill.max(LeaseTerms::HANDOVER_DELAY);
                self.removed.insert(id.clone(), until);
            }
            if let Some(mut share) = self.shares.remove(&id) {
                share.return_all_leases(now, &mut self.cx);
                share.refuse_all_tickets(Duration::MAX, &mut self.cx);
            }
        }
    }
}
