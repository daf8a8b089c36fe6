use super::*;

/// A message between two replicas of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaMessage {
    /// What is said.
    pub body: ReplicaMessageBody,
    /// Sender's term, or the term that a pre-vote is about.
    pub term: Term,
    /// Incarnation that the message is for; `None` if the sender cannot know it. A VM that came
    /// back without its disk must not take what was meant for its predecessor.
    pub to: Option<Incarnation>,
}
