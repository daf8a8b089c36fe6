use super::*;

/// Holders of roles, applied from a replicated log.
///
/// A role's number grows by one with each holder and never falls. It names one holder for ever.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceRegistry {
    grants: BTreeMap<RoleId, FenceGrant>,
}

impl FenceRegistry {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &FenceCommand) -> FenceOutcome {
        match command {
            FenceCommand::Claim {
                after,
                holder,
                role,
            } => self.claim(*after, holder, role),
            FenceCommand::Renew {
                fence,
                renewal,
                role,
            } => self.renew(*fence, *renewal, role),
        }
    }

    /// Who holds a role.
    #[must_use]
    pub fn get(&self, role: &str) -> Option<&FenceGrant> {
        self.grants.get(role)
    }

    /// Of two processes that mean to succeed one holder, the first in the log does. A claim names
    /// whom it succeeds: one that was on its way for long would else take the role from a holder
    /// that its sender has never heard of.
    fn claim(&mut self, after: Fence, holder: &FenceHolder, role: &RoleId) -> FenceOutcome {
        let last = self.grants.get(role);
        let fence = last.map_or(0, |grant| grant.fence);
        let resent = last.is_some_and(|grant| grant.holder == *holder && fence == after + 1);
        if resent {
            return FenceOutcome::Held { fence, renewal: 0 };
        }
        if fence != after {
            return FenceOutcome::Lost { fence };
        }
        let grant = FenceGrant {
            fence: fence + 1,
            holder: holder.clone(),
            renewal: 0,
        };
        self.grants.insert(role.clone(), grant);
        FenceOutcome::Held {
            fence: fence + 1,
            renewal: 0,
        }
    }

    fn renew(&mut self, fence: Fence, renewal: u64, role: &str) -> FenceOutcome {
        match self.grants.get_mut(role) {
            Some(grant) if grant.fence == fence => {
                grant.renewal = grant.renewal.max(renewal);
                FenceOutcome::Held { fence, renewal }
            }
            last => FenceOutcome::Lost {
                fence: last.map_or(0, |grant| grant.fence),
            },
        }
    }
}
