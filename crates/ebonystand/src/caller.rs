use super::*;

/// Who a request runs for. Its settings are looked up at each use: those that were in force when
/// the request came may be withdrawn before it is sent.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) key: KeyId,
    pub(crate) workspace: WorkspaceId,
}
