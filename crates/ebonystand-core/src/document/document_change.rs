//! Changes of a document in place, at a cost that grows with the change and not with the document.
//! Only [`Change::Apply`] and [`Change::RemoveWorkspace`] look at more than the entry they name.

use super::*;

impl Document {
    /// Makes a change that has been accepted.
    ///
    /// What is absent is passed over: a copy that was made in parts may already be without an entry
    /// that a later change of the same series removes.
    pub fn make(&mut self, accepted: &AcceptedChange) {
        self.version = accepted.version;
        match &accepted.change {
            Change::Apply { document } => self.replace(document),
            Change::GiveKey { id, key } => drop(self.keys.insert(id.clone(), key.clone())),
            Change::PutRegion { id, region } => {
                self.regions.insert(id.clone(), region.clone());
            }
            Change::PutRouting { regions, routing } => self.put_routing(regions, routing),
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

    /// Every fault that the document would have after `change`, provided that it has none now.
    #[must_use]
    pub fn faults_after(&self, change: &Change) -> Vec<DocumentFault> {
        let mut faults = Vec::new();
        match change {
            Change::Apply { document } => {
                faults = self.replaced_by(document).faults();
                self.key_conflicts(document, &mut faults);
            }
            Change::GiveKey { id, key } => {
                if self.keys.contains_key(id) {
                    faults.push(DocumentFault::KeyExists { key: id.clone() });
                }
                self.key_faults(id, key, &mut faults);
            }
            Change::PutRegion { id, region } => self.region_faults(id, region, &mut faults),
            Change::PutRouting { routing, .. } => {
                let routing = routing.faults().into_iter();
                faults.extend(routing.map(|fault| DocumentFault::Routing { fault }));
            }
            Change::PutService { .. }
            | Change::SetEvacuated { .. }
            | Change::SwitchPreset { .. } => {}
            Change::PutUpstream { id, upstream } => self.upstream_faults(id, upstream, &mut faults),
            Change::PutWorkspace { id, workspace } => {
                self.workspace_faults(id, workspace, &mut faults);
            }
            Change::RemoveUpstream { id } | Change::SetUpstreamLeaving { id, .. } => {
                absent(&self.upstreams, "upstreams", id, &mut faults);
            }
            Change::RemoveWorkspace { id } => {
                absent(&self.workspaces, "workspaces", id, &mut faults);
            }
            Change::SetPreset { name, preset } => preset.faults(*name, &mut faults),
            Change::WithdrawKey { id } => absent(&self.keys, "keys", id, &mut faults),
        }
        faults
    }

    /// A key that is given again with another secret or workspace would silently not change.
    fn key_conflicts(&self, document: &Document, faults: &mut Vec<DocumentFault>) {
        for (id, new) in &document.keys {
            let differs = |old: &Key| old.hash != new.hash || old.workspace != new.workspace;
            if self.keys.get(id).is_some_and(differs) {
                faults.push(DocumentFault::KeyExists { key: id.clone() });
            }
        }
    }

    /// Whether the change leaves everything as it is, so that it needs no new version.
    #[must_use]
    pub fn has_already(&self, change: &Change) -> bool {
        match change {
            Change::PutRouting { routing, .. } => routing.revision <= self.routing.revision,
            Change::SetEvacuated { evacuated, zone } => self.evacuated.contains(zone) == *evacuated,
            _ => false,
        }
    }

    /// Puts a routing in force. Its workspaces replace those in force, so that allowances follow;
    /// one that is not limited has none.
    fn put_routing(&mut self, regions: &BTreeMap<RegionId, Region>, routing: &Routing) {
        if routing.revision <= self.routing.revision {
            return;
        }
        self.regions.clone_from(regions);
        // A VM of any region may be the one that a caller connects to, and takes from the quota
        // before it sends the request on to a home.
        let everywhere: BTreeSet<_> = self.regions.keys().cloned().collect();
        let limited = routing.workspaces.iter().filter_map(|workspace| {
            let quota = workspace.quota?;
            let home = everywhere.first()?.clone();
            let limited = Workspace {
                burst: quota.burst,
                home,
                rate: quota.rate,
                residency: everywhere.clone(),
            };
            Some((workspace.name.clone(), limited))
        });
        self.workspaces = limited.collect();
        self.routing = routing.clone();
    }

    fn replace(&mut self, document: &Document) {
        let version = self.version;
        *self = self.replaced_by(document);
        self.version = version;
    }

    /// `document` with the keys in force added. A key in force keeps its secret and its workspace,
    /// and a withdrawn one stays withdrawn: an old file would bring it back otherwise.
    fn replaced_by(&self, document: &Document) -> Self {
        let mut next = document.clone();
        // Both have orders of their own; a document that names neither must not undo them.
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

fn absent<T>(map: &BTreeMap<Box<str>, T>, name: &str, id: &str, faults: &mut Vec<DocumentFault>) {
    if !map.contains_key(id) {
        faults.push(DocumentFault::Absent {
            path: format!("{name}.{id}").into(),
        });
    }
}
