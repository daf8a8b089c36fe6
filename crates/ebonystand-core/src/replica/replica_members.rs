//! How a group is founded and its members change.

use super::*;

impl Replica {
    /// Position of the founding snapshot.
    const FOUNDING: LogPosition = LogPosition { index: 1, term: 1 };

    /// Asks the configured VMs to take this replica in, or founds the group.
    pub(crate) fn ask_to_join(&mut self) {
        self.timer = self.now + self.cfg.heartbeat;
        if self.found() {
            return;
        }
        for vm in self.cfg.members.clone() {
            if vm != self.cfg.id.vm {
                self.send_join(vm);
            }
        }
    }

    pub(crate) fn blank_reply(&mut self, from: &MemberId) {
        if self.log.is_blank() && self.cfg.members.contains(&from.vm) {
            self.founders.insert(from.vm.clone(), from.clone());
            self.found();
        }
    }

    pub(crate) fn change_members(&mut self, id: ProposalId, change: &MemberChange) {
        let result = match self.append_change(change) {
            Ok(index) => {
                self.proposals.insert(index, id);
                return;
            }
            Err(fault) => Err(fault),
        };
        self.outputs.push(ReplicaOutput::Proposed { id, result });
    }

    /// Keeps track of the members that the newest entry names.
    pub(crate) fn follow_members(&mut self) {
        let members = self.log.members();
        let next = self.log.last().index;
        self.progress.retain(|id, _| members.contains(id));
        for id in members.iter().filter(|id| **id != self.cfg.id) {
            self.progress
                .entry(id.clone())
                .or_insert_with(|| ReplicaProgress::new(next));
        }
    }

    /// A replica with an empty log wants to be taken in.
    pub(crate) fn join(&mut self, from: &MemberId) {
        if self.log.is_blank() {
            let term = self.hard_state.term;
            self.send(from, term, ReplicaMessageBody::Blank);
            return;
        }
        if self.role != ReplicaRole::Leader {
            // The leader may be a VM that the joining one's settings do not name.
            if let Some(leader) = self.leader.as_ref().map(|leader| leader.vm.clone()) {
                let term = self.hard_state.term;
                self.send(from, term, ReplicaMessageBody::Redirect { leader });
            }
            return;
        }
        let members = self.log.members();
        let known = self.cfg.open
            || self.cfg.members.contains(&from.vm)
            || members.iter().any(|member| member.vm == from.vm);
        // Two processes under one VM's name would otherwise replace each other for ever.
        let alive = from.vm == self.cfg.id.vm
            || members
                .iter()
                .any(|member| member.vm == from.vm && !self.is_silent(member));
        if known && !alive && !members.contains(from) {
            // An uncommitted change of members refuses this one; the replica asks again.
            let _ = self.append_change(&MemberChange::Admit(from.clone()));
        }
    }

    /// A leader that was taken out stops once that is committed.
    pub(crate) fn leave_if_removed(&mut self) {
        let members = self.log.members();
        if self.log.members_index() <= self.commit && !members.voters.contains(&self.cfg.id) {
            self.follow(self.hard_state.term);
        }
    }

    /// Promotes a learner that has caught up; then takes out its predecessor on the same VM.
    pub(crate) fn move_members(&mut self) {
        if !self.may_change_members() {
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
        let change = match predecessor.or_else(|| self.surplus_voter()) {
            Some(voter) => MemberChange::Remove(voter.clone()),
            None => match members.learners.iter().find(|id| self.may_vote(id)) {
                Some(learner) => MemberChange::Promote(learner.clone()),
                None => return,
            },
        };
        let _ = self.append_change(&change);
    }

    /// Takes a member in again that was taken out while it was cut off. It does not know that it
    /// was, and asks for votes for ever.
    pub(crate) fn readmit(&mut self, from: &MemberId) {
        let members = self.log.members();
        let is_member = members.iter().any(|member| member.vm == from.vm);
        if self.cfg.open && self.role == ReplicaRole::Leader && !is_member {
            let _ = self.append_change(&MemberChange::Admit(from.clone()));
        }
    }

    /// Whether a learner is to become a voter: it has caught up and takes the place of a former
    /// start of its VM, a free place, or that of a voter that is lost.
    fn may_vote(&self, learner: &MemberId) -> bool {
        if !self.has_caught_up(learner) {
            return false;
        }
        let voters = &self.log.members().voters;
        let succeeds = voters.iter().any(|voter| voter.vm == learner.vm);
        let has_place = !self.cfg.open || voters.len() < self.cfg.voters;
        succeeds || has_place || voters.iter().any(|voter| self.is_lost(voter))
    }

    /// A lost voter of a group that has more than it aims at. It is taken out only once its
    /// successor votes, so that the group never has fewer durable copies than before.
    fn surplus_voter(&self) -> Option<&MemberId> {
        let voters = &self.log.members().voters;
        if !self.cfg.open || voters.len() <= self.cfg.voters {
            return None;
        }
        voters.iter().find(|voter| self.is_lost(voter))
    }

    fn is_lost(&self, id: &MemberId) -> bool {
        let contact = self.progress.get(id).and_then(|p| p.contact);
        let heard = contact.unwrap_or_default().max(self.led_since);
        *id != self.cfg.id && self.now >= heard + ReplicaConfig::REPLACE_AFTER
    }

    /// Another replica knows who leads.
    pub(crate) fn redirected(&mut self, leader: VmId) {
        if self.log.is_blank() && leader != self.cfg.id.vm {
            self.send_join(leader);
        }
    }

    fn append_change(&mut self, change: &MemberChange) -> Result<LogIndex, ProposalFault> {
        if self.role != ReplicaRole::Leader {
            return Err(self.not_leader());
        }
        let early = match change {
            MemberChange::Promote(id) => !self.has_caught_up(id),
            MemberChange::Admit(_) | MemberChange::Remove(_) => false,
        };
        let members = self.log.members().after(change);
        let Some(members) = members.filter(|_| self.may_change_members() && !early) else {
            return Err(ProposalFault::ChangeRefused);
        };
        let index = self.append_own(LogPayload::Members(members));
        self.follow_members();
        Ok(index)
    }

    /// Founds the group if this is the configured founder and all others have empty logs.
    ///
    /// Only one VM may found, and it hears from all others first: if any of them belongs to a
    /// group already, then the founder has lost its disk and must join that group. The answers
    /// carry its new incarnation, so that one from its former life does not count.
    fn found(&mut self) -> bool {
        if !self.cfg.may_found
            || self.cfg.members.first() != Some(&self.cfg.id.vm)
            || self.founders.len() + 1 < self.cfg.members.len()
        {
            return false;
        }
        let founders = std::mem::take(&mut self.founders).into_values();
        let snapshot = LogSnapshot {
            members: Membership {
                learners: BTreeSet::new(),
                voters: founders.chain([self.cfg.id.clone()]).collect(),
            },
            position: Self::FOUNDING,
            state: Bytes::new(),
        };
        if self.hard_state.term < Self::FOUNDING.term {
            self.follow(Self::FOUNDING.term);
        }
        self.log.install(&snapshot);
        self.commit = Self::FOUNDING.index;
        self.snapshot_asked = self.commit;
        self.store_snapshot(snapshot.clone());
        self.outputs
            .push(ReplicaOutput::InstallSnapshot { snapshot });
        self.reset_election_timer();
        true
    }

    /// A learner that lacked committed entries would make the majority larger without holding
    /// them: until it caught up, the loss of one more VM would stop the group.
    fn has_caught_up(&self, id: &MemberId) -> bool {
        self.progress
            .get(id)
            .is_some_and(|progress| progress.matched >= self.commit)
            && !self.is_silent(id)
    }

    /// Whether a member has not answered for an election timeout.
    fn is_silent(&self, id: &MemberId) -> bool {
        let contact = self.progress.get(id).and_then(|p| p.contact);
        let heard = contact.unwrap_or_default().max(self.led_since);
        *id != self.cfg.id && self.now >= heard + self.cfg.election_timeout
    }

    /// One change at a time, and none before an entry of the own term is committed: two changes
    /// under way, also of two leaders, could make majorities that do not meet.
    fn may_change_members(&self) -> bool {
        self.commit >= self.term_start && self.log.members_index() <= self.commit
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
