//! The leader's changes of the group: who is followed, and who becomes a voter.

use super::membership::{Health, next_membership};
use super::progress::Progress;
use super::{Core, Member, Membership, Payload};
use crate::ids::{ReplicaId, Timestamp};

/// Entries a learner may be behind when it is promoted.
const CAUGHT_UP_LAG: u64 = 64;
/// Most learners at once.
const MAX_LEARNERS: usize = 4;

impl Core {
    /// Whether a member has answered this leader, and lately.
    ///
    /// A new leader knows nothing of members it has not heard: to count them as alive would let
    /// it remove a live voter while another is lost, and the group could lose its majority.
    pub(super) fn is_active(&self, id: ReplicaId, now: Timestamp) -> bool {
        self.progress(id)
            .is_some_and(|p| p.beat.round > 0 && now < p.active_at + self.cfg.election_timeout)
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

    /// Whether a change of membership may be proposed now.
    ///
    /// Majorities of two memberships that are one member apart overlap; of two that are further
    /// apart they need not, and two leaders could be elected in one term. The change before must
    /// be committed, and this leader must have committed in its own term.
    fn may_change_membership(&self) -> bool {
        let settled = self.members_index <= self.commit || !self.cfg.safeguards.one_change;
        settled
            && self
                .leading
                .as_ref()
                .is_some_and(|l| l.established || !self.cfg.safeguards.one_change)
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

    /// Takes a replica in as a learner, or its new addresses.
    pub(super) fn on_announce(&mut self, now: Timestamp, from: ReplicaId, member: Member) {
        if !self.may_change_membership() || from == self.cfg.id {
            return;
        }
        let mut next = self.members.clone();
        if let Some(known) = next.voters.get_mut(&from) {
            *known = member;
        } else {
            next.learners
                .retain(|id, m| *id == from || m.addr != member.addr);
            next.learners.insert(from, member);
        }
        if next != self.members && next.learners.len() <= MAX_LEARNERS {
            self.set_members(next, now);
        }
    }
}
