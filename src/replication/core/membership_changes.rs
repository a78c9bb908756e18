//! Membership changes made by the leader: progress tracking of members, promotion and removal.

use super::membership::{Health, next_membership};
use super::progress::Progress;
use super::{Core, Effect, Member, Membership, Message, Payload};
use crate::ids::{ReplicaId, Timestamp};
use crate::replication::machine::{Announcement, AnnouncementOutcome};

/// Most entries by which a learner may trail the log and still be promoted.
const CAUGHT_UP_LAG: u64 = 64;
/// Most learners at once; further replicas that announce themselves are ignored.
const MAX_LEARNERS: usize = 4;

impl Core {
    /// Whether a member has replied to this leader within the last election timeout.
    ///
    /// A member that has never replied to a new leader is not active: counting it as alive would
    /// let the leader remove a live voter while another is lost, and the group could lose its
    /// majority.
    pub(super) fn is_active(&self, id: ReplicaId, now: Timestamp) -> bool {
        self.progress(id)
            .is_some_and(|p| p.mark.round > 0 && now < p.active_at + self.cfg.election_timeout)
    }

    pub(super) fn track_members(&mut self, now: Timestamp) {
        let ids = self.other_members();
        let last = self.log.last_index();
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.progress.retain(|id, _| ids.contains(id));
        for id in ids {
            leading
                .progress
                .entry(id)
                .or_insert_with(|| Progress::new(last, now));
        }
    }

    /// Whether a membership change may be proposed now.
    ///
    /// Majorities of two memberships that differ by one member overlap; if they differ by more,
    /// they may not, and two leaders could be elected in one term. Therefore the previous change
    /// must be committed, and this leader must have committed an entry of its own term.
    fn may_change_membership(&self) -> bool {
        let previous_committed =
            self.members_index <= self.commit || !self.cfg.safeguards.one_membership_change;
        previous_committed
            && self.leading.as_ref().is_some_and(|l| {
                l.first_entry_committed || !self.cfg.safeguards.one_membership_change
            })
    }

    pub(super) fn change_membership(&mut self, now: Timestamp) {
        if !self.may_change_membership() {
            return;
        }
        let last = self.log.last_index();
        let health = |id| {
            let Some(p) = self.progress(id) else {
                return Health::default();
            };
            Health {
                active: self.is_active(id, now),
                gone: now >= p.active_at + self.cfg.replace_after,
                caught_up: p.matched > 0 && p.matched + CAUGHT_UP_LAG >= last,
            }
        };
        let next = next_membership(&self.members, self.cfg.id, self.cfg.target_voters, health);
        if let Some(next) = next {
            self.set_members(next, now);
        }
    }

    pub(super) fn set_members(&mut self, members: Membership, now: Timestamp) {
        self.append(Payload::Members(members), self.log.last_at());
        self.track_members(now);
        self.replicate(now);
        self.advance_commit(now);
    }

    /// Handles an announcement, in which `from` sent its own addresses: a leader adds the replica as
    /// a learner, or updates the addresses of a voter. A follower passes the message on to its leader,
    /// as an empty replica knows only its configured peers, and the leader need not be one of them.
    pub(super) fn on_announce(&mut self, now: Timestamp, message: Message, member: Member) {
        if message.from == self.cfg.id {
            return;
        }
        let (replica, addr) = (message.from, member.addr);
        let outcome = match self.leader {
            _ if self.leading.is_some() => self.admit(now, replica, member),
            Some(leader) if message.to == 0 && self.hears_leader(now) => {
                self.pass_on(message, leader);
                AnnouncementOutcome::PassedOn
            }
            _ => AnnouncementOutcome::NoLeader,
        };
        self.announcement = Some(Announcement {
            replica,
            addr,
            outcome,
        });
    }

    /// The copy is addressed to the leader by its id, so that no other replica passes it on again.
    fn pass_on(&mut self, message: Message, leader: ReplicaId) {
        if self.cfg.safeguards.pass_on_announcements {
            let copy = Message {
                to: leader,
                ..message
            };
            self.effects.push(Effect::Send(copy));
        }
    }

    fn admit(&mut self, now: Timestamp, from: ReplicaId, member: Member) -> AnnouncementOutcome {
        if self.members.get(from) == Some(&member) {
            return AnnouncementOutcome::Member;
        }
        if !self.may_change_membership() {
            return AnnouncementOutcome::ChangePending;
        }
        let mut next = self.members.clone();
        if let Some(voter) = next.voters.get_mut(&from) {
            *voter = member;
        } else {
            next.learners
                .retain(|id, m| *id == from || m.addr != member.addr);
            next.learners.insert(from, member);
        }
        if next.learners.len() > MAX_LEARNERS {
            return AnnouncementOutcome::TooManyLearners;
        }
        self.set_members(next, now);
        AnnouncementOutcome::Admitted
    }

    /// Voters that have not replied to this leader within an election timeout. None in the first
    /// election timeout of a leadership, in which replies are on their way.
    pub(super) fn silent_voters(&self, now: Timestamp) -> Vec<ReplicaId> {
        let Some(leading) = &self.leading else {
            return Vec::new();
        };
        if now < leading.began_at + self.cfg.election_timeout {
            return Vec::new();
        }
        let others = self.members.voters.keys().copied();
        others
            .filter(|id| *id != self.cfg.id && !self.is_active(*id, now))
            .collect()
    }
}
