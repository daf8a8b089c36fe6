use super::*;
use ebonystand_core::{Fingerprint, Quarantine};

/// What makes two requests the same one, whichever VM they reach and whatever their identifiers
/// are: the workspace, the path and the body.
#[derive(Clone, Debug)]
pub(crate) struct RequestContent {
    pub(crate) body: Bytes,
    /// Path and query.
    pub(crate) path: Box<str>,
    pub(crate) workspace: Option<WorkspaceId>,
}

impl RequestContent {
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let workspace = self.workspace.as_deref().unwrap_or_default();
        Quarantine::fingerprint(workspace, &self.path, &self.body)
    }
}
