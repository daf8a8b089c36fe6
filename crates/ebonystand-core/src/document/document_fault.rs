use super::*;

/// Reason why a document cannot be put in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[serde(rename_all = "snake_case")]
#[snafu(visibility(pub(crate)))]
pub enum DocumentFault {
    /// A change names something that does not exist.
    #[snafu(display("{path}: does not exist"))]
    Absent {
        /// Path in the document.
        path: Box<str>,
    },
    /// A key belongs to no workspace.
    #[snafu(display("keys.{key}.workspace: no workspace `{workspace}`"))]
    KeyWorkspace {
        /// The key.
        key: KeyId,
        /// What it names.
        workspace: WorkspaceId,
    },
    /// A key is given again with another secret or workspace.
    #[snafu(display("keys.{key}: exists already; give a new key another name"))]
    KeyExists {
        /// The key.
        key: KeyId,
    },
    /// A link without bandwidth.
    #[snafu(display("regions.{region}.links.{to}.megabits: must be above 0"))]
    LinkMegabits {
        /// Where the link starts.
        region: RegionId,
        /// Where it leads.
        to: RegionId,
    },
    /// A link leads to no region.
    #[snafu(display("regions.{region}.links.{to}: no region `{to}`"))]
    LinkRegion {
        /// Where the link starts.
        region: RegionId,
        /// What it names.
        to: RegionId,
    },
    /// A limit of a preset at which nothing could be served.
    #[snafu(display("presets.{preset}.{field}: must be above 0"))]
    PresetLimit {
        /// Field of the preset.
        field: Box<str>,
        /// The preset.
        preset: PresetName,
    },
    /// A model engine without models.
    #[snafu(display("upstreams.{upstream}.kind.model.models: must name a model"))]
    UpstreamModels {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A routing that cannot be put in force.
    #[snafu(display("routing: {fault}"))]
    Routing {
        /// What is wrong with it.
        fault: RoutingFault,
    },
    /// An upstream in no region.
    #[snafu(display("upstreams.{upstream}.region: no region `{region}`"))]
    UpstreamRegion {
        /// What it names.
        region: RegionId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream of no service.
    #[snafu(display("upstreams.{upstream}.kind.service.service: no service `{service}`"))]
    UpstreamService {
        /// What it names.
        service: ServiceId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream that can do nothing.
    #[snafu(display("upstreams.{upstream}.speed: must be above 0"))]
    UpstreamSpeed {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A workspace whose home is outside its residency.
    #[snafu(display("workspaces.{workspace}.home: `{home}` is not in its residency"))]
    WorkspaceHome {
        /// What it names.
        home: RegionId,
        /// The workspace.
        workspace: WorkspaceId,
    },
    /// A workspace without rate or burst.
    #[snafu(display("workspaces.{workspace}: rate and burst must be above 0"))]
    WorkspaceRate {
        /// The workspace.
        workspace: WorkspaceId,
    },
    /// A workspace bound to no region of the document.
    #[snafu(display("workspaces.{workspace}.residency: no region `{region}`"))]
    WorkspaceRegion {
        /// What it names.
        region: RegionId,
        /// The workspace.
        workspace: WorkspaceId,
    },
    /// A workspace that may be served nowhere.
    #[snafu(display("workspaces.{workspace}.residency: must name a region"))]
    WorkspaceResidency {
        /// The workspace.
        workspace: WorkspaceId,
    },
}
