//! Membership: founding a group, joining it and changing its members.

use super::*;

impl Replica {
    /// Position of the snapshot that founds a group.
    const FOUNDING_POSITION: LogPosition = LogPosition { index: 1, term: 1 };

    /// Founds the group if this replica may do so, or else asks the founding VMs to admit it.
    pub(crate) fn request_join(&mut self) {
        self.next_tick = self.now + self.cfg.heartbeat_interval;
        if self.try_found_group() {
            return;
        }
        for vm in self.cfg.founding_vms.clone() {
            if vm != self.cfg.id.vm {
                self.send_join(vm);
            }
        }
    }

    /// Records that a founding VM has an empty log, and founds the group if it was the last one.
    pub(crate) fn handle_empty_log_reply(&mut self, from: &MemberId) {
        if self.log.is_empty() && self.cfg.founding_vms.contains(&from.vm) {
            self.empty_log_vms.insert(from.vm.clone(), from.clone());
            self.try_found_group();
        }
    }

    /// Appends a requested change of members, or fails the request.
    pub(crate) fn handle_change_members(&mut self, id: ProposalId, change: &MemberChange) {
        let result = match self.append_member_change(change) {
            Ok(index) => {
                self.proposals.insert(index, id);
                return;
            }
            Err(fault) => Err(fault),
        };
        self.outputs
            .push(ReplicaOutput::ProposalDone { id, result });
    }

    /// Adds and removes progress entries so that they match the newest membership.
    pub(crate) fn update_progress_members(&mut self) {
        let members = self.log.members();
        let next_index = self.log.last_position().index;
        self.progress.retain(|id, _| members.contains(id));
        for id in members.iter().filter(|id| **id != self.cfg.id) {
            self.progress
                .entry(id.clone())
                .or_insert_with(|| ReplicaProgress::new(next_index));
        }
    }

    /// Handles a request to join from a replica whose log is empty.
    pub(crate) fn handle_join(&mut self, from: &MemberId) {
        if self.log.is_empty() {
            let term = self.hard_state.term;
            self.send(from, term, ReplicaMessageBody::Blank);
            return;
        }
        if self.role != ReplicaRole::Leader {
            // The leader may run on a VM that is not among the founding VMs of the joining replica.
            if let Some(leader) = self.leader.as_ref().map(|leader| leader.vm.clone()) {
                let term = self.hard_state.term;
                self.send(from, term, ReplicaMessageBody::Redirect { leader });
            }
            return;
        }
        let members = self.log.members();
        let is_eligible = self.cfg.admits_any_vm
            || self.cfg.founding_vms.contains(&from.vm)
            || members.iter().any(|member| member.vm == from.vm);
        // Two processes that run under the same VM name would otherwise replace each other for
        // ever.
        let is_vm_active = from.vm == self.cfg.id.vm
            || members
                .iter()
                .any(|member| member.vm == from.vm && !self.is_silent(member));
        if is_eligible && !is_vm_active && !members.contains(from) {
            // If another change of members is still uncommitted, this one fails and the replica
            // asks again.
            let _ = self.append_member_change(&MemberChange::Admit(from.clone()));
        }
    }

    /// Steps down once the entry that removes this leader is committed.
    pub(crate) fn step_down_if_removed(&mut self) {
        let members = self.log.members();
        if self.log.members_index() <= self.commit_index && !members.voters.contains(&self.cfg.id) {
            self.become_follower(self.hard_state.term);
        }
    }

    /// Appends at most one change of members. A voter is removed if it is silent and another
    /// incarnation on its VM, which still answers, is a voter too, or if it is lost and the group
    /// has more voters than it needs. Otherwise a learner is promoted if it may become a voter.
    pub(crate) fn advance_membership(&mut self) {
        if !self.can_change_members() {
            return;
        }
        let members = self.log.members();
        let predecessor = members.voters.iter().find(|voter| {
            let successor = members
                .voters
                .iter()
                .any(|other| other.vm == voter.vm && other != *voter && !self.is_silent(other));
            **voter != self.cfg.id && self.is_silent(voter) && successor
        });
        let change = match predecessor.or_else(|| self.find_surplus_voter()) {
            Some(voter) => MemberChange::Remove(voter.clone()),
            None => match members.learners.iter().find(|id| self.can_be_promoted(id)) {
                Some(learner) => MemberChange::Promote(learner.clone()),
                None => return,
            },
        };
        let _ = self.append_member_change(&change);
    }

    /// Admits a replica again that was removed while it was partitioned off. Such a replica does
    /// not learn of its removal and asks for votes for ever.
    pub(crate) fn readmit_removed_member(&mut self, from: &MemberId) {
        let members = self.log.members();
        let is_member = members.iter().any(|member| member.vm == from.vm);
        if self.cfg.admits_any_vm && self.role == ReplicaRole::Leader && !is_member {
            let _ = self.append_member_change(&MemberChange::Admit(from.clone()));
        }
    }

    /// Returns whether a learner may become a voter: it has caught up, and it succeeds a former
    /// incarnation on its VM, takes a free place, or replaces a lost voter.
    fn can_be_promoted(&self, learner: &MemberId) -> bool {
        if !self.has_caught_up(learner) {
            return false;
        }
        let voters = &self.log.members().voters;
        let has_predecessor = voters.iter().any(|voter| voter.vm == learner.vm);
        let has_place = !self.cfg.admits_any_vm || voters.len() < self.cfg.target_voters;
        has_predecessor || has_place || voters.iter().any(|voter| self.is_lost(voter))
    }

    /// Returns a lost voter if the group has more voters than it needs. A lost voter is removed
    /// only after its replacement has become a voter, so the number of durable copies never falls.
    fn find_surplus_voter(&self) -> Option<&MemberId> {
        let voters = &self.log.members().voters;
        if !self.cfg.admits_any_vm || voters.len() <= self.cfg.target_voters {
            return None;
        }
        voters.iter().find(|voter| self.is_lost(voter))
    }

    /// Returns whether a member has been silent for so long that a learner should replace it.
    fn is_lost(&self, id: &MemberId) -> bool {
        let last_contact = self.progress.get(id).and_then(|p| p.last_contact);
        let last_heard = last_contact.unwrap_or_default().max(self.elected_at);
        *id != self.cfg.id && self.now >= last_heard + ReplicaConfig::REPLACE_VOTER_AFTER
    }

    /// Asks the leader that another replica has named to admit this replica.
    pub(crate) fn handle_redirect(&mut self, leader: VmId) {
        if self.log.is_empty() && leader != self.cfg.id.vm {
            self.send_join(leader);
        }
    }

    /// Appends a change of members if this leader can make it now.
    fn append_member_change(&mut self, change: &MemberChange) -> Result<LogIndex, ProposalError> {
        if self.role != ReplicaRole::Leader {
            return Err(self.not_leader_error());
        }
        let is_premature = match change {
            MemberChange::Promote(id) => !self.has_caught_up(id),
            MemberChange::Admit(_) | MemberChange::Remove(_) => false,
        };
        let members = self.log.members().after(change);
        let Some(members) = members.filter(|_| self.can_change_members() && !is_premature) else {
            return Err(ProposalError::ChangeRefused);
        };
        let index = self.append_own_entry(LogPayload::Members(members));
        self.update_progress_members();
        Ok(index)
    }

    /// Founds the group if this replica is the configured founder and all other founding VMs have
    /// reported empty logs. Returns whether it did.
    ///
    /// Only one VM may found a group, and only after it has heard from all others: if any of them
    /// belongs to a group already, then the founder has lost its disk and must join that group. The
    /// answers carry its new incarnation, so an answer to its former incarnation does not count.
    fn try_found_group(&mut self) -> bool {
        if !self.cfg.may_found_group
            || self.cfg.founding_vms.first() != Some(&self.cfg.id.vm)
            || self.empty_log_vms.len() + 1 < self.cfg.founding_vms.len()
        {
            return false;
        }
        let founders = std::mem::take(&mut self.empty_log_vms).into_values();
        let snapshot = LogSnapshot {
            members: Membership {
                learners: BTreeSet::new(),
                voters: founders.chain([self.cfg.id.clone()]).collect(),
            },
            position: Self::FOUNDING_POSITION,
            state: Bytes::new(),
        };
        if self.hard_state.term < Self::FOUNDING_POSITION.term {
            self.become_follower(Self::FOUNDING_POSITION.term);
        }
        self.log.install_snapshot(&snapshot);
        self.commit_index = Self::FOUNDING_POSITION.index;
        self.snapshot_requested_index = self.commit_index;
        self.store_snapshot(snapshot.clone());
        self.outputs
            .push(ReplicaOutput::InstallSnapshot { snapshot });
        self.reset_election_timer();
        true
    }

    /// Returns whether a member holds all committed entries and has answered recently.
    ///
    /// A promoted learner that lacked committed entries would raise the size of a majority without
    /// holding them: until it caught up, the loss of one more VM would stop the group.
    fn has_caught_up(&self, id: &MemberId) -> bool {
        self.progress
            .get(id)
            .is_some_and(|progress| progress.matched >= self.commit_index)
            && !self.is_silent(id)
    }

    /// Returns whether a member has not answered for an election timeout.
    fn is_silent(&self, id: &MemberId) -> bool {
        let last_contact = self.progress.get(id).and_then(|p| p.last_contact);
        let last_heard = last_contact.unwrap_or_default().max(self.elected_at);
        *id != self.cfg.id && self.now >= last_heard + self.cfg.election_timeout
    }

    /// Returns whether the membership may be changed: the previous change and an entry of the
    /// leader's own term are committed. With two uncommitted changes, even of two leaders, there
    /// could be two majorities without a common member.
    fn can_change_members(&self) -> bool {
        self.commit_index >= self.term_start_index && self.log.members_index() <= self.commit_index
    }

    fn send_join(&mut self, to: VmId) {
        self.outputs.push(ReplicaOutput::Send {
            message: ReplicaMessage {
                body: ReplicaMessageBody::Join,
                term: self.hard_state.term,
                to: None,
            },
            to,
        });
    }
}
