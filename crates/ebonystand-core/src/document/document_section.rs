use super::*;

/// Map of a [`Document`], ordered as the maps are copied.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum DocumentSection {
    /// [`Document::keys`].
    #[default]
    Keys,
    /// [`Document::regions`].
    Regions,
    /// [`Document::services`].
    Services,
    /// [`Document::upstreams`].
    Upstreams,
    /// [`Document::workspaces`].
    Workspaces,
}

impl DocumentSection {
    /// Returns the section that is copied after this one, if any.
    #[must_use]
    pub fn next(self) -> Option<Self> {
        match self {
            Self::Keys => Some(Self::Regions),
            Self::Regions => Some(Self::Services),
            Self::Services => Some(Self::Upstreams),
            Self::Upstreams => Some(Self::Workspaces),
            Self::Workspaces => None,
        }
    }
}
