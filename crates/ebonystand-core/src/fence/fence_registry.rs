use super::*;

/// Current holder of each role, built from the replicated log.
///
/// A role's fencing token grows by one with each holder and never decreases. A token identifies one
/// holder permanently.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceRegistry {
    grants: BTreeMap<RoleId, FenceGrant>,
}

impl FenceRegistry {
    /// Applies a committed command and returns its result.
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

    /// Current grant of a role, if it was ever claimed.
    #[must_use]
    pub fn get(&self, role: &str) -> Option<&FenceGrant> {
        self.grants.get(role)
    }

    /// Grants the role to the first claim in the log that succeeds the current holder. A claim
    /// names the holder that it succeeds. Otherwise a long-delayed claim could take the role from a
    /// holder that its sender has never heard of.
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
