//! How an [`Allowance`] takes over a newer configuration.

use super::*;

impl Allowance {
    /// Takes over the configuration; an older one than the present is ignored.
    pub fn configure(&mut self, now: Duration, document: &Document) -> Vec<AllowanceOutput> {
        self.notice(now);
        if self
            .version
            .is_some_and(|version| document.version <= version)
        {
            return Vec::new();
        }
        let is_first = self.version.replace(document.version).is_none();
        let same_regions = self.adopt_regions(document);
        self.removed.retain(|_, until| now < *until);
        self.remove_workspaces(now, document);
        for (id, workspace) in &document.workspaces {
            self.adopt_workspace(now, id, workspace, same_regions, is_first);
        }
        self.cx.take_outputs()
    }

    /// Takes over the regions; whether they and their holders are the same as before.
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
            self.cx.reach = self.fleet.reach();
        }
        same
    }

    fn adopt_workspace(
        &mut self,
        now: Duration,
        id: &WorkspaceId,
        workspace: &Workspace,
        same_regions: bool,
        is_first: bool,
    ) {
        let whole = AllowancePart::whole(workspace);
        if same_regions
            && let Some(plan) = self.plans.get(id)
            && plan.whole == whole
            && plan.residency == self.fleet.residency(workspace)
        {
            return;
        }
        let mut newer = self.fleet.plan(&self.cx.vm, id, workspace);
        if let Some(plan) = self.plans.get_mut(id) {
            plan.adopt(newer, now, self.ready);
            self.reshare(now, id);
            return;
        }
        newer.idle_since = now;
        if let Some(until) = self.removed.remove(id) {
            let interim = AllowancePart::ZERO;
            newer.handover = Some(Box::new(Handover { interim, until }));
        } else if !is_first {
            // Nobody has used it yet.
            newer.idle_level = newer.own.capacity;
        }
        self.plans.insert(id.clone(), newer);
    }

    /// Brings a share in use up to its plan.
    fn reshare(&mut self, now: Duration, id: &WorkspaceId) {
        let Some((share, plan)) = self.shares.get_mut(id).zip(self.plans.get(id)) else {
            return;
        };
        share.expire(now, &mut self.cx);
        share.whole = plan.whole;
        share.route = self.fleet.route(id, &plan.residency);
        let part = plan.part(now, self.ready);
        share.lender.set_part(now, part, &mut share.bucket);
        share.serve_claims(now, &mut self.cx);
        let change = plan.part_changes(now, self.ready);
        Self::set_timer(&mut self.timers, share, now, change);
    }

    fn remove_workspaces(&mut self, now: Duration, document: &Document) {
        let gone = |id: &&WorkspaceId| !document.workspaces.contains_key(*id);
        let gone: Vec<WorkspaceId> = self.plans.keys().filter(gone).cloned().collect();
        for id in gone {
            let Some(plan) = self.plans.remove(&id) else {
                continue;
            };
            let refill = time_for(plan.whole.capacity, plan.whole.rate);
            let until = now + refill.max(LeaseTerms::HANDOVER_DELAY);
            self.removed.insert(id.clone(), until);
            if let Some(mut share) = self.shares.remove(&id) {
                share.give_all_back(now, &mut self.cx);
                share.refuse_all(Duration::MAX, &mut self.cx);
            }
        }
    }
}
