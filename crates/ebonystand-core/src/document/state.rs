use super::*;

/// Whole configuration of the gateway at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Availability zones whose upstreams get no requests.
    pub evacuated: BTreeSet<ZoneId>,
    /// Callers' keys by name. When an operator applies a document, its keys are added to those in
    /// force.
    pub keys: BTreeMap<KeyId, Key>,
    /// Name of the preset in force.
    pub preset: PresetName,
    /// Weights and limits of each preset.
    pub presets: Presets,
    /// Regions by name.
    pub regions: BTreeMap<RegionId, Region>,
    /// Operator's configuration of routes for plain HTTP requests.
    pub routing: Routing,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Number of changes accepted so far; ignored in a document that an operator applies.
    pub version: Version,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
}

impl Document {
    /// Returns every fault of the document; it can be put in force if there is none.
    #[must_use]
    pub fn faults(&self) -> Vec<DocumentFault> {
        let mut faults = Vec::new();
        for (id, key) in &self.keys {
            self.check_key(id, key, &mut faults);
        }
        self.presets.check(&mut faults);
        for (id, region) in &self.regions {
            self.check_region(id, region, &mut faults);
        }
        for (id, upstream) in &self.upstreams {
            self.check_upstream(id, upstream, &mut faults);
        }
        for (id, workspace) in &self.workspaces {
            self.check_workspace(id, workspace, &mut faults);
        }
        faults
    }

    /// Returns the weights and limits of the preset in force.
    #[must_use]
    pub fn preset(&self) -> &Preset {
        self.presets.get(self.preset)
    }

    /// Adds the faults of a key to `faults`.
    pub(crate) fn check_key(&self, id: &KeyId, key: &Key, faults: &mut Vec<DocumentFault>) {
        if !self.workspaces.contains_key(&key.workspace) {
            faults.push(DocumentFault::KeyWorkspace {
                key: id.clone(),
                workspace: key.workspace.clone(),
            });
        }
    }

    /// Adds the faults of a region's links to `faults`.
    pub(crate) fn check_region(
        &self,
        id: &RegionId,
        region: &Region,
        faults: &mut Vec<DocumentFault>,
    ) {
        for (to, link) in &region.links {
            if !self.regions.contains_key(to) && to != id {
                faults.push(DocumentFault::LinkRegion {
                    region: id.clone(),
                    to: to.clone(),
                });
            }
            if link.megabits == 0 {
                faults.push(DocumentFault::LinkMegabits {
                    region: id.clone(),
                    to: to.clone(),
                });
            }
        }
    }

    /// Adds the faults of an upstream to `faults`.
    pub(crate) fn check_upstream(
        &self,
        id: &UpstreamId,
        upstream: &Upstream,
        faults: &mut Vec<DocumentFault>,
    ) {
        if !self.regions.contains_key(&upstream.region) {
            faults.push(DocumentFault::UpstreamRegion {
                region: upstream.region.clone(),
                upstream: id.clone(),
            });
        }
        if upstream.speed == 0 {
            faults.push(DocumentFault::UpstreamSpeed {
                upstream: id.clone(),
            });
        }
        match &upstream.kind {
            UpstreamKind::Model { models } if models.is_empty() => {
                faults.push(DocumentFault::UpstreamModels {
                    upstream: id.clone(),
                });
            }
            UpstreamKind::Service { service } if !self.services.contains_key(service) => {
                faults.push(DocumentFault::UpstreamService {
                    service: service.clone(),
                    upstream: id.clone(),
                });
            }
            UpstreamKind::Model { .. } | UpstreamKind::Service { .. } => {}
        }
    }

    /// Adds the faults of a workspace to `faults`.
    pub(crate) fn check_workspace(
        &self,
        id: &WorkspaceId,
        workspace: &Workspace,
        faults: &mut Vec<DocumentFault>,
    ) {
        if workspace.rate == 0 || workspace.burst == 0 {
            faults.push(DocumentFault::WorkspaceRate {
                workspace: id.clone(),
            });
        }
        if workspace.residency.is_empty() {
            faults.push(DocumentFault::WorkspaceResidency {
                workspace: id.clone(),
            });
        }
        for region in workspace
            .residency
            .iter()
            .filter(|region| !self.regions.contains_key(*region))
        {
            faults.push(DocumentFault::WorkspaceRegion {
                region: region.clone(),
                workspace: id.clone(),
            });
        }
        if !workspace.residency.contains(&workspace.home) {
            faults.push(DocumentFault::WorkspaceHome {
                home: workspace.home.clone(),
                workspace: id.clone(),
            });
        }
    }
}
