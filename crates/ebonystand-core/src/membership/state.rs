use super::*;

/// The replicas of a group. The newest one in a replica's log counts, committed or not.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Replicas that receive the log and count in no quorum.
    pub learners: BTreeSet<MemberId>,
    /// Replicas that elect and commit.
    pub voters: BTreeSet<MemberId>,
}

impl Membership {
    /// The members after `change`; `None` if it changes nothing or would leave no voter.
    ///
    /// The sets of voters before and after differ by one at most, so that each majority of the one
    /// meets each majority of the other: two leaders cannot be elected by disjoint majorities.
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

    /// Whether `id` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: &MemberId) -> bool {
        self.learners.contains(id) || self.voters.contains(id)
    }

    /// Voters, then learners.
    pub fn iter(&self) -> impl Iterator<Item = &MemberId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Voters that make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
