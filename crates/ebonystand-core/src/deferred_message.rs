use super::*;

/// Message that is sent once the records it promises are synced to disk.
#[derive(Clone, Debug)]
pub(crate) struct DeferredMessage {
    pub(crate) body: ReplicaMessageBody,
    pub(crate) term: Term,
    pub(crate) to: MemberId,
}
