use super::*;

/// One entry of a [`Document`]'s maps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DocumentEntry {
    /// A key.
    Key(KeyId, Key),
    /// A region.
    Region(RegionId, Region),
    /// A service.
    Service(ServiceId, Service),
    /// An upstream.
    Upstream(UpstreamId, Upstream),
    /// A workspace.
    Workspace(WorkspaceId, Workspace),
}

impl DocumentEntry {
    /// Where a reader goes on after this entry.
    #[must_use]
    pub fn cursor(&self) -> DocumentCursor {
        let (section, id) = match self {
            Self::Key(id, _) => (DocumentSection::Keys, id),
            Self::Region(id, _) => (DocumentSection::Regions, id),
            Self::Service(id, _) => (DocumentSection::Services, id),
            Self::Upstream(id, _) => (DocumentSection::Upstreams, id),
            Self::Workspace(id, _) => (DocumentSection::Workspaces, id),
        };
        DocumentCursor {
            after: Some(id.clone()),
            section,
        }
    }
}
