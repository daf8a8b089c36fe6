use super::*;

/// One of the maps of a [`Document`]. The variants are in the order in which the maps are copied.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum DocumentSection {
    /// Entries of [`Document::keys`].
    #[default]
    Keys,
    /// Entries of [`Document::regions`].
    Regions,
    /// Entries of [`Document::services`].
    Services,
    /// Entries of [`Document::upstreams`].
    Upstreams,
    /// Entries of [`Document::workspaces`].
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
