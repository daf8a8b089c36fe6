use super::*;

/// Change of the configuration, as an operator requests it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Change {
    /// Replaces the document except for its keys: new keys are added, and a withdrawn key stays
    /// withdrawn.
    Apply {
        /// New document, whose version is ignored.
        document: Box<Document>,
    },
    /// Adds a key by which callers authenticate.
    GiveKey {
        /// Name of the key, which must not have been used before.
        id: KeyId,
        /// Hash and workspace of the key.
        key: Key,
    },
    /// Adds or replaces a region.
    PutRegion {
        /// Name of the region to add or replace.
        id: RegionId,
        /// Holders and links of the region.
        region: Region,
    },
    /// Replaces all routes, services and workspaces of the gateway if the routing's revision is
    /// higher than that in force; otherwise changes nothing.
    PutRouting {
        /// Regions by name, with the holders of their allowances.
        regions: BTreeMap<RegionId, Region>,
        /// New routes, services and workspaces.
        routing: Box<Routing>,
    },
    /// Adds or replaces a service.
    PutService {
        /// Name of the service to add or replace.
        id: ServiceId,
        /// Calls and cost of the service.
        service: Service,
    },
    /// Adds or replaces an upstream.
    PutUpstream {
        /// Name of the upstream to add or replace.
        id: UpstreamId,
        /// Complete settings of the upstream; none of an existing upstream's settings are kept.
        upstream: Upstream,
    },
    /// Adds or replaces a workspace.
    PutWorkspace {
        /// Name of the workspace to add or replace.
        id: WorkspaceId,
        /// Allowance, home and residency of the workspace.
        workspace: Workspace,
    },
    /// Removes an upstream.
    RemoveUpstream {
        /// Name of the upstream to remove.
        id: UpstreamId,
    },
    /// Removes a workspace and its keys.
    RemoveWorkspace {
        /// Name of the workspace to remove, along with its keys.
        id: WorkspaceId,
    },
    /// Stops or resumes sending requests to the upstreams of an availability zone.
    SetEvacuated {
        /// Whether the upstreams of the zone get no requests.
        evacuated: bool,
        /// Name of the zone to evacuate or to use again.
        zone: ZoneId,
    },
    /// Sets the weights and limits of a preset.
    SetPreset {
        /// Name of the preset to set.
        name: PresetName,
        /// Weights and limits that the preset gets.
        preset: Preset,
    },
    /// Sets whether an upstream is leaving.
    SetUpstreamLeaving {
        /// Name of the upstream that starts or stops leaving.
        id: UpstreamId,
        /// Whether the upstream gets no new requests.
        leaving: bool,
    },
    /// Puts a preset in force.
    SwitchPreset {
        /// Name of the preset to put in force.
        name: PresetName,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Name of the key to withdraw.
        id: KeyId,
    },
}

impl Change {
    /// Returns whether the change needs no expected version: its effect is the same whatever came
    /// before, or a revision of its own orders it.
    #[must_use]
    pub fn commutes(&self) -> bool {
        matches!(self, Self::PutRouting { .. } | Self::WithdrawKey { .. })
    }
}
