use super::*;

/// Entry of one of the maps of a [`Document`], with its name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DocumentEntry {
    /// Entry of [`Document::keys`].
    Key(KeyId, Key),
    /// Entry of [`Document::regions`].
    Region(RegionId, Region),
    /// Entry of [`Document::services`].
    Service(ServiceId, Service),
    /// Entry of [`Document::upstreams`].
    Upstream(UpstreamId, Upstream),
    /// Entry of [`Document::workspaces`].
    Workspace(WorkspaceId, Workspace),
}

impl DocumentEntry {
    /// Returns the cursor of the part that starts after this entry.
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
