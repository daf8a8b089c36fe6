use super::*;

/// The whole configuration at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Availability zones whose upstreams get nothing.
    pub evacuated: BTreeSet<ZoneId>,
    /// Callers' keys. In a document that an operator applies they are added to those in force.
    pub keys: BTreeMap<KeyId, Key>,
    /// The one preset in force.
    pub preset: PresetName,
    /// What each preset means.
    pub presets: Presets,
    /// Regions.
    pub regions: BTreeMap<RegionId, Region>,
    /// Routes of plain HTTP requests.
    pub routing: Routing,
    /// Plain services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Upstreams.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Number of accepted changes; ignored in a document that an operator applies.
    pub version: Version,
    /// Workspaces.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
}

impl Document {
    /// Every fault of the document; empty if it may be put in force.
    #[must_use]
    pub fn faults(&self) -> Vec<DocumentFault> {
        let mut faults = Vec::new();
        for (id, key) in &self.keys {
            self.key_faults(id, key, &mut faults);
        }
        self.presets.faults(&mut faults);
        for (id, region) in &self.regions {
            self.region_faults(id, region, &mut faults);
        }
        for (id, upstream) in &self.upstreams {
            self.upstream_faults(id, upstream, &mut faults);
        }
        for (id, workspace) in &self.workspaces {
            self.workspace_faults(id, workspace, &mut faults);
        }
        faults
    }

    /// The preset in force.
    #[must_use]
    pub fn preset(&self) -> &Preset {
        self.presets.get(self.preset)
    }

    pub(crate) fn key_faults(&self, id: &KeyId, key: &Key, faults: &mut Vec<DocumentFault>) {
        if !self.workspaces.contains_key(&key.workspace) {
            faults.push(DocumentFault::KeyWorkspace {
                key: id.clone(),
                workspace: key.workspace.clone(),
            });
        }
    }

    pub(crate) fn region_faults(
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

    pub(crate) fn upstream_faults(
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

    pub(crate) fn workspace_faults(
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
