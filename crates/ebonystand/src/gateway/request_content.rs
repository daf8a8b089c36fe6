use super::*;
use ebonystand_core::{Fingerprint, Quarantine};

/// What makes two requests the same one, whichever VM they reach and whatever their identifiers
/// are: the workspace, the path and the body.
#[derive(Clone, Debug)]
pub(crate) enum RequestContent {
    /// Not hashed yet, since fingerprints matter only after an upstream went down.
    Whole {
        body: Bytes,
        /// Path and query.
        path: Box<str>,
        workspace: Option<WorkspaceId>,
    },
    Hashed(Fingerprint),
}

impl RequestContent {
    /// Largest body, in bytes, that is kept until the answer has ended.
    const MAX_KEPT_BODY: usize = 16 << 10;

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Whole {
                body,
                path,
                workspace,
            } => Quarantine::fingerprint(workspace.as_deref().unwrap_or_default(), path, body),
            Self::Hashed(fingerprint) => *fingerprint,
        }
    }

    /// Replaces a large body by its hash, so that a long answer does not hold it in memory.
    pub(crate) fn release_large_body(&mut self) {
        if matches!(self, Self::Whole { body, .. } if body.len() > Self::MAX_KEPT_BODY) {
            *self = Self::Hashed(self.fingerprint());
        }
    }
}
