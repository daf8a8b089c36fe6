//! Elections: pre-votes, candidacy and votes for other replicas.

use super::*;

impl Replica {
    /// Starts a pre-vote: asks the voters whether they would elect this replica, without raising
    /// its term.
    ///
    /// Otherwise a replica that was partitioned off would return with a high term and depose a
    /// working leader. Voters that hear a leader don't answer a pre-vote, so the term stays
    /// unchanged.
    pub(crate) fn start_pre_vote(&mut self) {
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

    /// Becomes a follower in `term`. Clears the vote if the term is higher than the current one.
    pub(crate) fn become_follower(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
            self.record_hard_state();
            self.leader = None;
        }
        if self.role == ReplicaRole::Leader {
            self.clear_leader_state();
        }
        self.set_role(ReplicaRole::Follower);
    }

    /// Draws a random election deadline, so that replicas rarely become candidates at the same
    /// time.
    pub(crate) fn reset_election_timer(&mut self) {
        let timeout = self.cfg.election_timeout;
        let extra = rand::RngExt::random_range(&mut self.rng, Duration::ZERO..timeout);
        self.next_tick = self.now + timeout + extra;
    }

    /// Answers a candidate's request for a vote, or for a pre-vote if `pre` is set.
    pub(crate) fn handle_vote(
        &mut self,
        from: &MemberId,
        term: Term,
        last: LogPosition,
        pre: bool,
    ) {
        // The lease of a leader that was heard recently may still run: a vote could elect a second
        // leader that acts beside the first. Staying silent instead of refusing also keeps the
        // candidate's higher term out of this replica.
        let lease_may_run = self.now < self.leader_heard_at + self.cfg.election_timeout;
        if self.role == ReplicaRole::Leader {
            self.readmit_removed_member(from);
            return;
        }
        if lease_may_run {
            return;
        }
        let mut granted =
            term >= self.hard_state.term && last.is_up_to_date_with(self.log.last_position());
        if pre {
            granted &= term > self.hard_state.term;
            let term = if granted { term } else { self.hard_state.term };
            self.send(from, term, ReplicaMessageBody::VoteReply { granted, pre });
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        granted &= self
            .hard_state
            .voted_for
            .as_ref()
            .is_none_or(|voted| voted == from);
        if granted {
            self.hard_state.voted_for = Some(from.clone());
            self.record_hard_state();
            self.reset_election_timer_unless_empty();
        }
        self.send_when_synced(from, ReplicaMessageBody::VoteReply { granted, pre });
    }

    /// Counts a vote or pre-vote for this replica, or adopts the higher term of a refusal.
    pub(crate) fn handle_vote_reply(
        &mut self,
        from: &MemberId,
        term: Term,
        granted: bool,
        pre: bool,
    ) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(term);
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

    /// Starts an election in the next term. Like every other vote, the replica's own vote counts
    /// only once it is durable.
    fn start_election(&mut self) {
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
        self.send_when_synced(&id, reply);
    }

    /// Moves to the next stage of the election once a majority of voters has granted its vote.
    fn count_votes(&mut self) {
        let members = self.log.members();
        let votes = self.votes.intersection(&members.voters).count();
        if votes < members.quorum() {
            return;
        }
        match self.role {
            ReplicaRole::Candidate => self.become_leader(),
            ReplicaRole::PreCandidate => self.start_election(),
            ReplicaRole::Follower | ReplicaRole::Leader => {}
        }
    }

    fn record_hard_state(&mut self) {
        self.records
            .push(LogRecord::HardState(self.hard_state.clone()));
    }

    fn request_votes(&mut self, pre: bool) {
        let last = self.log.last_position();
        let body = ReplicaMessageBody::Vote { last, pre };
        for voter in self.log.members().voters.clone() {
            if voter == self.cfg.id {
                continue;
            }
            if pre {
                let term = self.hard_state.term + 1;
                self.send(&voter, term, body.clone());
            } else {
                self.send_when_synced(&voter, body.clone());
            }
        }
    }

    /// Resets the election timer unless the log is empty: such a replica uses its timer to ask to
    /// join.
    fn reset_election_timer_unless_empty(&mut self) {
        if !self.log.is_empty() {
            self.reset_election_timer();
        }
    }
}
