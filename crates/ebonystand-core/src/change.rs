use super::*;

/// One change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Change {
    /// Replaces all but the keys; keys are added, and none comes back from withdrawal.
    Apply {
        /// The new document; its version is ignored.
        document: Box<Document>,
    },
    /// Gives a key.
    GiveKey {
        /// Its name; never used before.
        id: KeyId,
        /// The key.
        key: Key,
    },
    /// Adds or replaces a region.
    PutRegion {
        /// Its name.
        id: RegionId,
        /// The region.
        region: Region,
    },
    /// Replaces all routes, services and workspaces of the gateway, if the number of these is
    /// higher than that of those in force; otherwise it changes nothing.
    PutRouting {
        /// Regions with the holders of allowances.
        regions: BTreeMap<RegionId, Region>,
        /// The new ones.
        routing: Box<Routing>,
    },
    /// Adds or replaces a service.
    PutService {
        /// Its name.
        id: ServiceId,
        /// The service.
        service: Service,
    },
    /// Adds or replaces an upstream.
    PutUpstream {
        /// Its name.
        id: UpstreamId,
        /// The upstream.
        upstream: Upstream,
    },
    /// Adds or replaces a workspace.
    PutWorkspace {
        /// Its name.
        id: WorkspaceId,
        /// The workspace.
        workspace: Workspace,
    },
    /// Removes an upstream.
    RemoveUpstream {
        /// Its name.
        id: UpstreamId,
    },
    /// Removes a workspace and its keys.
    RemoveWorkspace {
        /// Its name.
        id: WorkspaceId,
    },
    /// Stops or allows the sending of requests to the upstreams of an availability zone.
    SetEvacuated {
        /// Whether they get nothing.
        evacuated: bool,
        /// The zone.
        zone: ZoneId,
    },
    /// Says what a preset means.
    SetPreset {
        /// Which preset.
        name: PresetName,
        /// Its new meaning.
        preset: Preset,
    },
    /// Puts an upstream on leave or takes it back.
    SetUpstreamLeaving {
        /// Its name.
        id: UpstreamId,
        /// Whether it gets no new work.
        leaving: bool,
    },
    /// Puts a preset in force.
    SwitchPreset {
        /// Which preset.
        name: PresetName,
    },
    /// Withdraws a key for ever.
    WithdrawKey {
        /// Its name.
        id: KeyId,
    },
}

impl Change {
    /// Whether it may come at any version: it gives the same document whatever came before, or has
    /// a number of its own that orders it.
    #[must_use]
    pub fn commutes(&self) -> bool {
        matches!(
            self,
            Self::PutRouting { .. } | Self::SetEvacuated { .. } | Self::WithdrawKey { .. }
        )
    }
}
