use super::*;

/// Reason why a document cannot be put in force, with its path in the document when displayed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[serde(rename_all = "snake_case")]
#[snafu(visibility(pub(crate)))]
pub enum DocumentFault {
    /// A change names something that does not exist.
    #[snafu(display("{path}: does not exist"))]
    Absent {
        /// Path at which the missing entry would be in the document.
        path: Box<str>,
    },
    /// A key names a workspace that the document lacks.
    #[snafu(display("keys.{key}.workspace: no workspace `{workspace}`"))]
    KeyWorkspace {
        /// Name of the key whose workspace is missing.
        key: KeyId,
        /// Workspace that the document lacks.
        workspace: WorkspaceId,
    },
    /// A key is added again with another secret or workspace.
    #[snafu(display("keys.{key}: exists already; give a new key another name"))]
    KeyExists {
        /// Name of the key that exists already.
        key: KeyId,
    },
    /// A link has no bandwidth.
    #[snafu(display("regions.{region}.links.{to}.megabits: must be above 0"))]
    LinkMegabits {
        /// Region where the link without bandwidth starts.
        region: RegionId,
        /// Region where the link without bandwidth ends.
        to: RegionId,
    },
    /// A link leads to a region that the document lacks.
    #[snafu(display("regions.{region}.links.{to}: no region `{to}`"))]
    LinkRegion {
        /// Region where the link to the missing region starts.
        region: RegionId,
        /// Region that the document lacks.
        to: RegionId,
    },
    /// A limit of a preset is 0, so that no request could be served.
    #[snafu(display("presets.{preset}.{field}: must be above 0"))]
    PresetLimit {
        /// Name of the field whose limit is 0.
        field: Box<str>,
        /// Name of the preset with the limit 0.
        preset: PresetName,
    },
    /// A model engine has no models.
    #[snafu(display("upstreams.{upstream}.kind.model.models: must name a model"))]
    UpstreamModels {
        /// Name of the model engine without models.
        upstream: UpstreamId,
    },
    /// The routing cannot be put in force.
    #[snafu(display("routing: {fault}"))]
    Routing {
        /// Reason why the routing cannot be put in force.
        fault: RoutingFault,
    },
    /// An upstream is in a region that the document lacks.
    #[snafu(display("upstreams.{upstream}.region: no region `{region}`"))]
    UpstreamRegion {
        /// Region that the document lacks.
        region: RegionId,
        /// Name of the upstream whose region is missing.
        upstream: UpstreamId,
    },
    /// An upstream is a server of a service that the document lacks.
    #[snafu(display("upstreams.{upstream}.kind.service.service: no service `{service}`"))]
    UpstreamService {
        /// Service that the document lacks.
        service: ServiceId,
        /// Name of the upstream whose service is missing.
        upstream: UpstreamId,
    },
    /// An upstream has speed 0.
    #[snafu(display("upstreams.{upstream}.speed: must be above 0"))]
    UpstreamSpeed {
        /// Name of the upstream with speed 0.
        upstream: UpstreamId,
    },
    /// The home region of a workspace is outside its residency.
    #[snafu(display("workspaces.{workspace}.home: `{home}` is not in its residency"))]
    WorkspaceHome {
        /// Home region that is not in the residency.
        home: RegionId,
        /// Name of the workspace whose home is outside its residency.
        workspace: WorkspaceId,
    },
    /// A workspace has rate 0 or burst 0.
    #[snafu(display("workspaces.{workspace}: rate and burst must be above 0"))]
    WorkspaceRate {
        /// Name of the workspace with rate 0 or burst 0.
        workspace: WorkspaceId,
    },
    /// The residency of a workspace names a region that the document lacks.
    #[snafu(display("workspaces.{workspace}.residency: no region `{region}`"))]
    WorkspaceRegion {
        /// Region that the document lacks.
        region: RegionId,
        /// Name of the workspace whose residency has a missing region.
        workspace: WorkspaceId,
    },
    /// The residency of a workspace is empty, so that its requests could be served nowhere.
    #[snafu(display("workspaces.{workspace}.residency: must name a region"))]
    WorkspaceResidency {
        /// Name of the workspace without a residency.
        workspace: WorkspaceId,
    },
}
