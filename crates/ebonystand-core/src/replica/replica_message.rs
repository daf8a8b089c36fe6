use super::*;

/// A message between two replicas of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaMessage {
    /// Request, reply or data that the message carries.
    pub body: ReplicaMessageBody,
    /// Term of the sender. In a pre-vote and in a granted reply to one, it is the term that the
    /// election would start.
    pub term: Term,
    /// Incarnation of the receiver, or `None` if the sender doesn't know it. A replica ignores
    /// messages for another incarnation: one that returns without its disk must not process
    /// messages meant for its predecessor.
    pub to: Option<Incarnation>,
}
