//! Changes of a document in place. The cost of a change grows with the change and not with the
//! document, except for [`Change::Apply`] and [`Change::RemoveWorkspace`], which look at more than
//! the entry they name.

use super::*;

impl Document {
    /// Applies a change that has been accepted.
    ///
    /// A change or removal of an absent entry is ignored. A copy in parts is completed by the
    /// changes since its first part, and a later part may already lack an entry that one of these
    /// changes removes.
    pub fn apply(&mut self, accepted: &AcceptedChange) {
        self.version = accepted.version;
        match &accepted.change {
            Change::Apply { document } => self.replace_with(document),
            Change::GiveKey { id, key } => drop(self.keys.insert(id.clone(), key.clone())),
            Change::PutRegion { id, region } => {
                self.regions.insert(id.clone(), region.clone());
            }
            Change::PutRouting { regions, routing } => self.replace_routing(regions, routing),
            Change::PutService { id, service } => {
                self.services.insert(id.clone(), service.clone());
            }
            Change::PutUpstream { id, upstream } => {
                self.upstreams.insert(id.clone(), upstream.clone());
            }
            Change::PutWorkspace { id, workspace } => {
                self.workspaces.insert(id.clone(), workspace.clone());
            }
            Change::RemoveUpstream { id } => drop(self.upstreams.remove(id)),
            Change::RemoveWorkspace { id } => {
                self.workspaces.remove(id);
                self.keys.retain(|_, key| key.workspace != *id);
            }
            Change::SetEvacuated { evacuated, zone } => {
                if *evacuated {
                    self.evacuated.insert(zone.clone());
                } else {
                    self.evacuated.remove(zone);
                }
            }
            Change::SetPreset { name, preset } => *self.presets.get_mut(*name) = preset.clone(),
            Change::SetUpstreamLeaving { id, leaving } => {
                if let Some(upstream) = self.upstreams.get_mut(id) {
                    upstream.leaving = *leaving;
                }
            }
            Change::SwitchPreset { name } => self.preset = *name,
            Change::WithdrawKey { id } => {
                if let Some(key) = self.keys.get_mut(id) {
                    key.withdrawn = true;
                }
            }
        }
    }

    /// Returns every fault that the document would have after `change`, provided that it has none
    /// now.
    #[must_use]
    pub fn faults_after(&self, change: &Change) -> Vec<DocumentFault> {
        let mut faults = Vec::new();
        match change {
            Change::Apply { document } => {
                faults = self.merged_with(document).faults();
                self.check_given_keys(document, &mut faults);
            }
            Change::GiveKey { id, key } => {
                if self.keys.contains_key(id) {
                    faults.push(DocumentFault::KeyExists { key: id.clone() });
                }
                self.check_key(id, key, &mut faults);
            }
            Change::PutRegion { id, region } => self.check_region(id, region, &mut faults),
            Change::PutRouting { routing, .. } => {
                let routing = routing.faults().into_iter();
                faults.extend(routing.map(|fault| DocumentFault::Routing { fault }));
            }
            Change::PutService { .. }
            | Change::SetEvacuated { .. }
            | Change::SwitchPreset { .. } => {}
            Change::PutUpstream { id, upstream } => self.check_upstream(id, upstream, &mut faults),
            Change::PutWorkspace { id, workspace } => {
                self.check_workspace(id, workspace, &mut faults);
            }
            Change::RemoveUpstream { id } | Change::SetUpstreamLeaving { id, .. } => {
                check_exists(&self.upstreams, "upstreams", id, &mut faults);
            }
            Change::RemoveWorkspace { id } => {
                check_exists(&self.workspaces, "workspaces", id, &mut faults);
            }
            Change::SetPreset { name, preset } => preset.check(*name, &mut faults),
            Change::WithdrawKey { id } => check_exists(&self.keys, "keys", id, &mut faults),
        }
        faults
    }

    /// Adds a fault for each key of `document` that exists with another secret or workspace: the
    /// key in force would stay, and the difference would be ignored without notice.
    fn check_given_keys(&self, document: &Document, faults: &mut Vec<DocumentFault>) {
        for (id, new) in &document.keys {
            let differs = |old: &Key| old.hash != new.hash || old.workspace != new.workspace;
            if self.keys.get(id).is_some_and(differs) {
                faults.push(DocumentFault::KeyExists { key: id.clone() });
            }
        }
    }

    /// Returns whether `change` is known to leave the document as it is, so that it needs no new
    /// version. Only changes of the routing and of evacuated zones are compared with the document;
    /// any other change gets a new version.
    #[must_use]
    pub fn is_no_op(&self, change: &Change) -> bool {
        match change {
            Change::PutRouting { routing, .. } => routing.revision <= self.routing.revision,
            Change::SetEvacuated { evacuated, zone } => self.evacuated.contains(zone) == *evacuated,
            _ => false,
        }
    }

    /// Puts a routing in force, unless the revision in force is at least as high. The workspaces of
    /// the routing replace those in force, so that allowances follow; a workspace without a quota
    /// gets no allowance.
    fn replace_routing(&mut self, regions: &BTreeMap<RegionId, Region>, routing: &Routing) {
        if routing.revision <= self.routing.revision {
            return;
        }
        self.regions.clone_from(regions);
        // A caller may connect to a VM of any region, which takes from the quota before it forwards
        // the request to a home region.
        let all_regions: BTreeSet<_> = self.regions.keys().cloned().collect();
        let limited = routing.workspaces.iter().filter_map(|workspace| {
            let quota = workspace.quota?;
            let home = all_regions.first()?.clone();
            let limited = Workspace {
                burst: quota.burst,
                home,
                rate: quota.rate,
                residency: all_regions.clone(),
            };
            Some((workspace.name.clone(), limited))
        });
        self.workspaces = limited.collect();
        self.routing = routing.clone();
    }

    /// Replaces the document with `document`, but keeps the version, the keys in force, the
    /// evacuated zones, and the routing unless the new one has a higher revision.
    fn replace_with(&mut self, document: &Document) {
        let version = self.version;
        *self = self.merged_with(document);
        self.version = version;
    }

    /// Returns `document` with the keys and evacuated zones in force added, and with the routing in
    /// force unless its own has a higher revision. A key in force keeps its secret and its
    /// workspace, and a withdrawn key stays withdrawn; otherwise an old file would restore it.
    fn merged_with(&self, document: &Document) -> Self {
        let mut next = document.clone();
        // The routing and the evacuated zones are changed by commands of their own, so a document
        // that leaves them out must not revert them.
        if next.routing.revision <= self.routing.revision {
            next.routing.clone_from(&self.routing);
        }
        next.evacuated.extend(self.evacuated.iter().cloned());
        for (id, key) in &self.keys {
            let withdrawn = key.withdrawn || next.keys.get(id).is_some_and(|new| new.withdrawn);
            let key = Key {
                withdrawn,
                ..key.clone()
            };
            next.keys.insert(id.clone(), key);
        }
        next
    }
}

/// Adds a fault if `map`, the section `name` of the document, has no entry `id`.
fn check_exists<T>(
    map: &BTreeMap<Box<str>, T>,
    name: &str,
    id: &str,
    faults: &mut Vec<DocumentFault>,
) {
    if !map.contains_key(id) {
        faults.push(DocumentFault::Absent {
            path: format!("{name}.{id}").into(),
        });
    }
}
