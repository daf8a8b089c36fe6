use super::*;

/// A map of a [`Document`], in the order in which it is copied.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum DocumentSection {
    /// Keys.
    #[default]
    Keys,
    /// Regions.
    Regions,
    /// Services.
    Services,
    /// Upstreams.
    Upstreams,
    /// Workspaces.
    Workspaces,
}

impl DocumentSection {
    /// The section copied next.
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
