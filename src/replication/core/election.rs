//! Elections: pre-vote, votes, and giving leadership up.

use super::{Body, Core, HardState, Message, PRE_VOTE_PAUSE, Role};
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

impl Core {
    /// Whether a message of a higher term makes this replica follow that term.
    ///
    /// A replica that hears a leader ignores a candidate, or else one that returns from a cut
    /// with a higher term would depose a leader that works.
    pub(super) fn adopts_term(&mut self, now: Timestamp, message: &Message) -> bool {
        match &message.body {
            Body::PreVote { .. } | Body::PreVoteReply { granted: true } => true,
            Body::Vote {
                handed_over: false, ..
            } if self.hears_leader(now) => false,
            _ => {
                self.adopt(now, message.term);
                true
            }
        }
    }

    fn adopt(&mut self, now: Timestamp, term: Term) {
        self.set_hard(HardState {
            term,
            voted_for: None,
        });
        self.rest(now, None);
    }

    /// Whether a leader may still count on this replica's loyalty.
    ///
    /// The leader's confirmation lasts for one election timeout from its heartbeat, so no vote
    /// may be given within one after it was heard. A restarted replica does not know what it
    /// heard before and waits as long.
    pub(super) fn hears_leader(&self, now: Timestamp) -> bool {
        if !self.cfg.safeguards.leader_stickiness {
            return false;
        }
        if self.leading.is_some() {
            return true;
        }
        let alone = self.members.voters.len() == 1 && self.is_voter();
        !alone && now < self.heard_at + self.cfg.election_timeout
    }

    /// Ceases to lead or to stand, and follows `leader` if there is one.
    pub(super) fn rest(&mut self, now: Timestamp, leader: Option<ReplicaId>) {
        if self.leading.take().is_some_and(|l| l.established) {
            self.effects.push(super::Effect::Leadership(false));
        }
        self.role = self.resting_role();
        self.leader = leader;
        self.votes.clear();
        self.postpone_election(now);
    }

    pub(super) fn start_pre_vote(&mut self, now: Timestamp) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.cfg.id);
        self.ask_within(now, PRE_VOTE_PAUSE);
        if self.members.is_quorum(self.votes.iter().copied()) {
            self.stand(now, false);
            return;
        }
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&body);
    }

    fn stand(&mut self, now: Timestamp, handed_over: bool) {
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
            handed_over,
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
        let granted = term >= self.hard.term && !self.hears_leader(now) && self.is_up_to_date(last);
        self.send(from, Body::PreVoteReply { granted });
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
            self.stand(now, false);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        term: Term,
        last: (Term, LogIndex),
        handed_over: bool,
    ) {
        let free =
            self.hard.voted_for.is_none_or(|id| id == from) || !self.cfg.safeguards.single_vote;
        let loyal = !handed_over && self.hears_leader(now);
        let granted =
            term == self.hard.term && free && !loyal && self.is_up_to_date(last) && !self.disk_full;
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
            self.begin_leading(now);
        }
    }

    /// The old leader has stepped down for this replica: no pre-vote is needed.
    pub(super) fn on_timeout_now(&mut self, now: Timestamp, term: Term) {
        if term == self.hard.term && self.is_voter() && self.leading.is_none() && !self.disk_full {
            self.stand(now, true);
        }
    }
}
