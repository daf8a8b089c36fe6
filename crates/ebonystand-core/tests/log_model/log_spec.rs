//! Specification of the log: three VMs, one of which may lose its disk and return as a fourth
//! member. A request and its answer are one action, which may fail to happen. A former leader
//! continues until it hears of a higher term.

use super::Safeguard;

const SLOTS: usize = 4;
/// Slot of the member that returns with an empty disk.
const NEWCOMER: usize = 3;
/// Bit set of the initial voters.
const FOUNDERS: u8 = 0b0111;
/// Maximum length of a log.
const LOG: usize = 4;

/// Limits of a search: whether members may change, and how many crashes, lost disks, log entries
/// and terms there are at most.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Bounds {
    changes: bool,
    crashes: u8,
    disks: u8,
    entries: u8,
    terms: u8,
}

impl Bounds {
    /// Changes of members with a lost disk.
    pub const MEMBERS: Self = Self {
        changes: true,
        crashes: 0,
        disks: 1,
        entries: 3,
        terms: 3,
    };
    /// A crash in addition to the lost disk, on a shorter log.
    pub const SECOND_FAULT: Self = Self {
        changes: true,
        crashes: 1,
        disks: 1,
        entries: 2,
        terms: 3,
    };
    /// Elections and a crash, without changes of members.
    pub const TERMS: Self = Self {
        changes: false,
        crashes: 1,
        disks: 0,
        entries: 2,
        terms: 4,
    };
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Entry {
    proposer: u8,
    term: u8,
    /// Bit set of the voters from this entry on; 0 for a command.
    voters: u8,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Node {
    commit: u8,
    is_absent: bool,
    is_leader: bool,
    len: u8,
    log: [Entry; LOG],
    matched: [u8; SLOTS],
    term: u8,
    /// Bit set of the voters that granted their vote in the node's term.
    votes: u8,
    /// Slot that the node voted for, plus one; 0 if none.
    voted: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LogState {
    /// Whether two committed entries conflict, a term has two leaders, or a promotion endangers
    /// committed entries.
    pub is_unsafe: bool,
    bounds: Bounds,
    /// Entries committed by any leader so far.
    committed: [Entry; LOG],
    committed_len: u8,
    nodes: [Node; SLOTS],
}

impl Node {
    fn entries(&self) -> &[Entry] {
        &self.log[..usize::from(self.len)]
    }

    fn last(&self) -> (u8, u8) {
        (self.entries().last().map_or(0, |e| e.term), self.len)
    }

    /// Returns the newest voters in the log, and the length of the log up to the entry that set
    /// them.
    fn voters(&self) -> (u8, u8) {
        let found = self.entries().iter().rposition(|e| e.voters != 0);
        found.map_or((FOUNDERS, 0), |at| (self.log[at].voters, at as u8 + 1))
    }

    fn follow(&mut self, term: u8) {
        if term > self.term {
            (self.term, self.voted) = (term, 0);
        }
        (self.is_leader, self.votes) = (false, 0);
    }
}

fn majority(set: u8, voters: u8) -> bool {
    (set & voters).count_ones() > voters.count_ones() / 2
}

impl LogState {
    pub fn new(bounds: Bounds) -> Self {
        let mut nodes = [Node::default(); SLOTS];
        (nodes[0].term, nodes[0].voted, nodes[0].is_leader) = (1, 1, true);
        (nodes[1].term, nodes[1].voted) = (1, 1);
        nodes[NEWCOMER].is_absent = true;
        Self {
            is_unsafe: false,
            bounds,
            committed: [Entry::default(); LOG],
            committed_len: 0,
            nodes,
        }
    }

    pub fn successors(&self, off: Option<Safeguard>) -> Vec<Self> {
        let mut next = Vec::new();
        if self.is_unsafe {
            return next;
        }
        for i in (0..SLOTS).filter(|i| !self.nodes[*i].is_absent) {
            next.extend(self.campaign(i));
            next.extend(self.crash(i, off));
            next.extend(self.lose_disk(i, off));
            for j in (0..SLOTS).filter(|j| *j != i && !self.nodes[*j].is_absent) {
                next.extend(self.vote(i, j));
                next.extend(self.append(i, j, off));
            }
            if self.nodes[i].is_leader {
                next.extend(self.propose(i, 0));
                next.extend(self.commit(i, off));
                self.change(i, off, &mut next);
            }
        }
        next
    }

    fn append(&self, i: usize, j: usize, off: Option<Safeguard>) -> Option<Self> {
        let mut next = *self;
        let leader = self.nodes[i];
        let node = &mut next.nodes[j];
        if !leader.is_leader {
            return None;
        }
        if leader.term < node.term && off != Some(Safeguard::TermCheck) {
            let term = node.term;
            next.nodes[i].follow(term);
            return Some(next);
        }
        node.follow(leader.term);
        if !node.entries().starts_with(leader.entries()) {
            (node.log, node.len) = (leader.log, leader.len);
        }
        next.nodes[i].matched[j] = leader.len;
        Some(next)
    }

    fn campaign(&self, i: usize) -> Option<Self> {
        let mut next = *self;
        let node = &mut next.nodes[i];
        if node.is_leader || node.term >= self.bounds.terms || node.voters().0 & (1 << i) == 0 {
            return None;
        }
        node.follow(node.term + 1);
        (node.voted, node.votes) = (i as u8 + 1, 1 << i);
        Some(next)
    }

    /// Promotes the newcomer or removes a voter.
    fn change(&self, i: usize, off: Option<Safeguard>, next: &mut Vec<Self>) {
        let node = &self.nodes[i];
        let (voters, since) = node.voters();
        let pending = since > node.commit && off != Some(Safeguard::OneChange);
        let own = node.entries()[..usize::from(node.commit)]
            .last()
            .is_some_and(|e| e.term == node.term);
        if !self.bounds.changes || pending || !(own || off == Some(Safeguard::OwnTermFirst)) {
            return;
        }
        for j in (0..SLOTS).filter(|j| *j != i) {
            let changed = voters ^ (1 << j);
            let promotes = changed > voters;
            let behind = promotes && node.matched[j] < node.commit;
            if promotes && self.nodes[j].is_absent || behind && off != Some(Safeguard::LearnerFirst)
            {
                continue;
            }
            let Some(mut state) = self.propose(i, changed) else {
                continue;
            };
            // Committed entries that a majority holds must stay on a majority: otherwise the loss
            // of one more disk could leave no electable replica that holds them.
            let holders = (0..SLOTS).filter(|j| self.holds_committed(*j));
            let holders = holders.fold(0, |set, j| set | 1 << j);
            state.is_unsafe |= promotes && majority(holders, voters) && !majority(holders, changed);
            next.push(state);
        }
    }

    fn commit(&self, i: usize, off: Option<Safeguard>) -> Option<Self> {
        let mut next = *self;
        let node = &mut next.nodes[i];
        node.matched[i] = node.len;
        let voters = node.voters().0;
        let len = (node.commit + 1..=node.len).rev().find(|len| {
            let holders = (0..SLOTS).filter(|j| node.matched[*j] >= *len);
            let holders = holders.fold(0, |set, j| set | 1 << j);
            let own = node.log[usize::from(*len) - 1].term == node.term;
            majority(holders, voters) && (own || off == Some(Safeguard::CommitOwnTerm))
        })?;
        node.commit = len;
        for at in 0..usize::from(len) {
            if at < usize::from(self.committed_len) {
                next.is_unsafe |= node.log[at] != self.committed[at];
            } else {
                next.committed[at] = node.log[at];
                next.committed_len = at as u8 + 1;
            }
        }
        Some(next)
    }

    fn crash(&self, i: usize, off: Option<Safeguard>) -> Option<Self> {
        let mut next = *self;
        next.bounds.crashes = self.bounds.crashes.checked_sub(1)?;
        let node = &mut next.nodes[i];
        node.follow(node.term);
        (node.commit, node.matched) = (0, [0; SLOTS]);
        if off == Some(Safeguard::VoteDurable) {
            node.voted = 0;
        }
        if off == Some(Safeguard::EntriesDurable) {
            (node.log, node.len) = Default::default();
        }
        Some(next)
    }

    fn holds_committed(&self, j: usize) -> bool {
        let len = usize::from(self.committed_len);
        !self.nodes[j].is_absent && self.nodes[j].entries().starts_with(&self.committed[..len])
    }

    fn lose_disk(&self, i: usize, off: Option<Safeguard>) -> Option<Self> {
        let mut next = *self;
        next.bounds.disks = self.bounds.disks.checked_sub(1)?;
        next.nodes[i] = Node::default();
        if off != Some(Safeguard::NewIdentity) {
            next.nodes[i].is_absent = true;
            next.nodes[NEWCOMER].is_absent = false;
        }
        Some(next)
    }

    fn propose(&self, i: usize, voters: u8) -> Option<Self> {
        let mut next = *self;
        let node = &mut next.nodes[i];
        if node.len >= self.bounds.entries || voters.count_ones() == 1 {
            return None;
        }
        let (proposer, term) = (i as u8, node.term);
        node.log[usize::from(node.len)] = Entry {
            proposer,
            term,
            voters,
        };
        node.len += 1;
        Some(next)
    }

    /// Lets node `j` answer the vote request of candidate `i`.
    fn vote(&self, i: usize, j: usize) -> Option<Self> {
        let mut next = *self;
        let candidate = self.nodes[i];
        if candidate.votes == 0 || candidate.votes & (1 << j) != 0 {
            return None;
        }
        let node = &mut next.nodes[j];
        if candidate.term < node.term {
            return None;
        }
        if candidate.term > node.term {
            node.follow(candidate.term);
        }
        let free = node.voted == 0 || usize::from(node.voted) == i + 1;
        if !free || candidate.last() < node.last() {
            return (next != *self).then_some(next);
        }
        node.voted = i as u8 + 1;
        let candidate = &mut next.nodes[i];
        candidate.votes |= 1 << j;
        if majority(candidate.votes, candidate.voters().0) {
            (candidate.is_leader, candidate.votes) = (true, 0);
            (candidate.commit, candidate.matched) = (0, [0; SLOTS]);
            let term = candidate.term;
            let leaders = next.nodes.iter().filter(|n| n.is_leader && n.term == term);
            next.is_unsafe |= leaders.count() > 1;
        }
        Some(next)
    }
}
