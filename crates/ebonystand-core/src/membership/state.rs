use super::*;

/// Voters and learners of a replicated group. A replica goes by the newest membership in its log,
/// committed or not.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Replicas that receive the log but count in no quorum.
    pub learners: BTreeSet<MemberId>,
    /// Replicas whose votes elect a leader and whose acknowledgements commit entries.
    pub voters: BTreeSet<MemberId>,
}

impl Membership {
    /// Returns the membership after `change`, or `None` if it changes nothing or would leave no
    /// voter.
    ///
    /// The sets of voters before and after differ by at most one replica, so every majority of one
    /// set intersects every majority of the other, and no two leaders can be elected by disjoint
    /// majorities.
    #[must_use]
    pub fn after(&self, change: &MemberChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MemberChange::Admit(id) => {
                if self.voters.contains(id) {
                    return None;
                }
                next.learners.retain(|learner| learner.vm != id.vm);
                next.learners.insert(id.clone());
            }
            MemberChange::Promote(id) => {
                if next.learners.remove(id) {
                    next.voters.insert(id.clone());
                }
            }
            MemberChange::Remove(id) => {
                next.learners.remove(id);
                next.voters.remove(id);
            }
        }
        (next != *self && !next.voters.is_empty()).then_some(next)
    }

    /// Returns whether `id` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: &MemberId) -> bool {
        self.learners.contains(id) || self.voters.contains(id)
    }

    /// Iterates over the voters, then the learners.
    pub fn iter(&self) -> impl Iterator<Item = &MemberId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
