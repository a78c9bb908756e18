//! Elections: pre-vote, votes, and stepping down.

use super::{Body, Core, HardState, Message, PRE_VOTE_PAUSE, Role};
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

impl Core {
    /// Whether to process a message of a higher term. Adopts that term, except for a pre-vote or an
    /// ignored vote request.
    ///
    /// A vote request is ignored within the leader lease, unless it follows a transfer. Otherwise a replica that returns from a
    /// network partition with a higher term would depose a working leader.
    pub(super) fn accepts_term(&mut self, now: Timestamp, message: &Message) -> bool {
        match &message.body {
            Body::PreVote { .. } | Body::PreVoteReply { granted: true } => true,
            Body::Vote {
                transfer: false, ..
            } if self.in_leader_lease(now) => false,
            _ => {
                self.adopt_term(now, message.term);
                true
            }
        }
    }

    fn adopt_term(&mut self, now: Timestamp, term: Term) {
        self.set_hard(HardState {
            term,
            voted_for: None,
        });
        self.step_down(now, None);
    }

    /// Whether a leader may still rely on this replica not voting for another candidate.
    ///
    /// A leader's lease lasts for less than one election timeout from its heartbeat, so a replica
    /// must not vote within one election timeout of the last message from a leader. A restarted
    /// replica has lost the time of that message and waits for a whole timeout.
    pub(super) fn in_leader_lease(&self, now: Timestamp) -> bool {
        if !self.cfg.safeguards.leader_stickiness {
            return false;
        }
        if self.leading.is_some() {
            return true;
        }
        let sole_voter = self.members.voters.len() == 1 && self.is_voter();
        !sole_voter && now < self.leader_heard_at + self.cfg.election_timeout
    }

    /// Ends leadership or candidacy and follows `leader`, if given.
    pub(super) fn step_down(&mut self, now: Timestamp, leader: Option<ReplicaId>) {
        if self.leading.take().is_some_and(|l| l.first_entry_committed) {
            self.effects.push(super::Effect::Leadership(None));
        }
        self.role = self.non_leader_role();
        self.leader = leader;
        self.votes.clear();
        self.postpone_election(now);
    }

    pub(super) fn start_pre_vote(&mut self, now: Timestamp) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.cfg.id);
        self.schedule_pre_vote(now, PRE_VOTE_PAUSE);
        if self.members.is_quorum(self.votes.iter().copied()) {
            self.start_election(now, false);
            return;
        }
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&body);
    }

    fn start_election(&mut self, now: Timestamp, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.postpone_election(now);
        self.set_hard(HardState {
            term: self.hard.term + 1,
            voted_for: Some(self.cfg.id),
        });
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        self.send_after_sync(self.cfg.id, Body::VoteReply { granted: true });
        self.send_to_voters(&body);
        if !self.cfg.safeguards.sync_before_answer {
            self.votes.insert(self.cfg.id);
        }
    }

    fn send_to_voters(&mut self, body: &Body) {
        let own = self.cfg.id;
        let voters: Vec<ReplicaId> = self.members.voters.keys().copied().collect();
        for id in voters.into_iter().filter(|id| *id != own) {
            self.send(id, body.clone());
        }
    }

    fn is_up_to_date(&self, last: (Term, LogIndex)) -> bool {
        !self.cfg.safeguards.log_up_to_date || last >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        term: Term,
        last: (Term, LogIndex),
    ) {
        let granted =
            term >= self.hard.term && !self.in_leader_lease(now) && self.is_up_to_date(last);
        self.send(from, Body::PreVoteReply { granted });
        if !self.in_leader_lease(now) && !self.is_up_to_date(last) {
            self.stand_as_learner(now);
        }
    }

    /// Starts a pre-vote on a learner that has just refused a candidate whose log is behind.
    ///
    /// A candidate may hold the promotion of this learner, not committed, and need its vote, while a
    /// later leader that is lost has replicated newer entries to this learner alone. None of the voters
    /// that are left could then be elected. The voters of this log still decide; the learner's own vote
    /// does not count.
    fn stand_as_learner(&mut self, now: Timestamp) {
        let is_learner = self.members.learners.contains_key(&self.cfg.id);
        let awaits_votes = self.role == Role::Candidate && now < self.election_at;
        let stands = self.cfg.safeguards.newest_learner_stands;
        if stands && is_learner && self.leading.is_none() && !awaits_votes && !self.disk_full {
            self.start_pre_vote(now);
        }
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        term: Term,
        granted: bool,
    ) {
        if self.role != Role::PreCandidate || !granted || term > self.hard.term {
            return;
        }
        self.votes.insert(from);
        if self.members.is_quorum(self.votes.iter().copied()) {
            self.start_election(now, false);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        term: Term,
        last: (Term, LogIndex),
        transfer: bool,
    ) {
        let may_vote =
            self.hard.voted_for.is_none_or(|id| id == from) || !self.cfg.safeguards.single_vote;
        let in_lease = !transfer && self.in_leader_lease(now);
        let granted = term == self.hard.term
            && may_vote
            && !in_lease
            && self.is_up_to_date(last)
            && !self.disk_full;
        if granted && self.leading.is_none() {
            self.set_hard(HardState {
                term,
                voted_for: Some(from),
            });
            self.postpone_election(now);
        }
        self.send_after_sync(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        term: Term,
        granted: bool,
    ) {
        if self.role != Role::Candidate || !granted || term != self.hard.term {
            return;
        }
        self.votes.insert(from);
        if self.members.is_quorum(self.votes.iter().copied()) {
            self.become_leader(now);
        }
    }

    /// Starts an election without a pre-vote: the old leader has stepped down to transfer
    /// leadership to this replica.
    pub(super) fn on_timeout_now(&mut self, now: Timestamp, term: Term) {
        if term == self.hard.term && self.is_voter() && self.leading.is_none() && !self.disk_full {
            self.start_election(now, true);
        }
    }
}
