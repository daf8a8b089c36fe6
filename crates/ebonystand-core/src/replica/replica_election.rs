//! How a replica becomes a leader, and helps others to.

use super::*;

impl Replica {
    /// Asks whether an election would succeed, before any term is used up.
    ///
    /// A replica that was cut off would otherwise come back with a high term and depose a leader
    /// that works. Voters that hear a leader don't answer, so its term stays where it is.
    pub(crate) fn ask_for_votes(&mut self) {
        self.reset_election_timer();
        self.leader = None;
        if !self.log.members().voters.contains(&self.cfg.id) {
            return;
        }
        self.set_role(ReplicaRole::PreCandidate);
        self.votes = BTreeSet::from([self.cfg.id.clone()]);
        self.request_votes(true);
        self.count_votes();
    }

    /// Follows `term`; a higher one makes it forget its vote.
    pub(crate) fn follow(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
            self.record_hard_state();
            self.leader = None;
        }
        if self.role == ReplicaRole::Leader {
            self.stop_leading();
        }
        self.set_role(ReplicaRole::Follower);
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let timeout = self.cfg.election_timeout;
        let extra = rand::RngExt::random_range(&mut self.rng, Duration::ZERO..timeout);
        self.timer = self.now + timeout + extra;
    }

    pub(crate) fn vote(&mut self, from: &MemberId, term: Term, last: LogPosition, pre: bool) {
        // While a leader is heard its lease may run: a vote now could make a second leader that
        // acts beside the first. Silence, and not a refusal, keeps the candidate's term out too.
        let bound = self.now < self.heard + self.cfg.election_timeout;
        if self.role == ReplicaRole::Leader {
            self.readmit(from);
            return;
        }
        if bound {
            return;
        }
        let mut granted = term >= self.hard_state.term && last.covers(self.log.last());
        if pre {
            granted &= term > self.hard_state.term;
            let term = if granted { term } else { self.hard_state.term };
            self.send(from, term, ReplicaMessageBody::VoteReply { granted, pre });
            return;
        }
        if term > self.hard_state.term {
            self.follow(term);
        }
        granted &= self
            .hard_state
            .voted_for
            .as_ref()
            .is_none_or(|voted| voted == from);
        if granted {
            self.hard_state.voted_for = Some(from.clone());
            self.record_hard_state();
            self.reset_unless_blank();
        }
        self.send_synced(from, ReplicaMessageBody::VoteReply { granted, pre });
    }

    pub(crate) fn vote_reply(&mut self, from: &MemberId, term: Term, granted: bool, pre: bool) {
        if !granted {
            if term > self.hard_state.term {
                self.follow(term);
            }
            return;
        }
        let expected = match self.role {
            ReplicaRole::Candidate if !pre => self.hard_state.term,
            ReplicaRole::PreCandidate if pre => self.hard_state.term + 1,
            _ => return,
        };
        if term == expected {
            self.votes.insert(from.clone());
            self.count_votes();
        }
    }

    /// Starts a term. The own vote counts once it is durable, as all others do.
    fn campaign(&mut self) {
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.cfg.id.clone()),
        };
        self.record_hard_state();
        self.set_role(ReplicaRole::Candidate);
        self.votes.clear();
        self.request_votes(false);
        let id = self.cfg.id.clone();
        let reply = ReplicaMessageBody::VoteReply {
            granted: true,
            pre: false,
        };
        self.send_synced(&id, reply);
    }

    fn count_votes(&mut self) {
        let members = self.log.members();
        let votes = self.votes.intersection(&members.voters).count();
        if votes < members.quorum() {
            return;
        }
        match self.role {
            ReplicaRole::Candidate => self.start_leading(),
            ReplicaRole::PreCandidate => self.campaign(),
            ReplicaRole::Follower | ReplicaRole::Leader => {}
        }
    }

    fn record_hard_state(&mut self) {
        self.records
            .push(LogRecord::HardState(self.hard_state.clone()));
    }

    fn request_votes(&mut self, pre: bool) {
        let last = self.log.last();
        let body = ReplicaMessageBody::Vote { last, pre };
        for voter in self.log.members().voters.clone() {
            if voter == self.cfg.id {
                continue;
            }
            if pre {
                let term = self.hard_state.term + 1;
                self.send(&voter, term, body.clone());
            } else {
                self.send_synced(&voter, body.clone());
            }
        }
    }

    fn reset_unless_blank(&mut self) {
        if !self.log.is_blank() {
            self.reset_election_timer();
        }
    }
}
