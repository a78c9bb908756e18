//! Members of the group and the one next change that brings it closer to its target.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ReplicaId, ZoneName};

/// Where a replica is and how it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address at which other replicas connect.
    pub addr: SocketAddr,
    /// Address at which it answers calls when it leads.
    pub call_addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
}

/// Voters and learners of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote.
    pub voters: BTreeMap<ReplicaId, Member>,
    /// Members that only receive the log.
    pub learners: BTreeMap<ReplicaId, Member>,
}

impl Membership {
    /// A group of one voter.
    pub fn of_one(id: ReplicaId, member: Member) -> Self {
        Self {
            voters: BTreeMap::from([(id, member)]),
            learners: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.voters.len() + self.learners.len()
    }

    /// Looks a member up.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    fn all(&self) -> impl Iterator<Item = &Member> + '_ {
        self.voters.values().chain(self.learners.values())
    }

    /// Addresses at which the members answer calls.
    pub fn call_addrs(&self) -> Vec<SocketAddr> {
        self.all().map(|m| m.call_addr).collect()
    }

    /// Addresses at which other replicas reach the members.
    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.all().map(|m| m.addr).collect()
    }

    /// Votes that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub(crate) fn is_quorum(&self, ids: impl Iterator<Item = ReplicaId>) -> bool {
        ids.filter(|id| self.voters.contains_key(id)).count() >= self.quorum()
    }

    /// Largest value that a majority of voters has reached.
    pub(crate) fn quorum_value<T: Ord + Default>(&self, value: impl Fn(ReplicaId) -> T) -> T {
        let mut values: Vec<T> = self.voters.keys().map(|id| value(*id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values
            .into_iter()
            .nth(self.quorum().saturating_sub(1))
            .unwrap_or_default()
    }

    /// Whether a voter is reached at this address. A learner there has taken its place, on a disk
    /// that was wiped.
    fn votes_at(&self, addr: SocketAddr) -> bool {
        self.voters.values().any(|m| m.addr == addr)
    }

    fn voters_in(&self, zone: &ZoneName) -> usize {
        self.voters.values().filter(|m| m.zone == *zone).count()
    }
}

/// What the leader knows of another member when it weighs a change.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// It answered within the last election timeout.
    pub(crate) active: bool,
    /// It has been silent for the time after which it is replaced.
    pub(crate) gone: bool,
    /// It holds nearly all of the log.
    pub(crate) caught_up: bool,
}

/// Chooses the next membership, one step at a time; `None` when nothing needs to change.
///
/// A lost voter is removed before its replacement is promoted, and only once the replacement
/// has caught up: the live voters that the group needs are then the same before, between and
/// after, while promoting first would make the group depend on the newcomer as well.
pub(crate) fn next_membership(
    members: &Membership,
    leader: ReplicaId,
    target: usize,
    health: impl Fn(ReplicaId) -> Health,
) -> Option<Membership> {
    let ready: Vec<_> = members
        .learners
        .iter()
        .filter(|(id, _)| health(**id).caught_up && health(**id).active)
        .collect();
    let without = |id: ReplicaId| {
        let mut next = members.clone();
        next.voters.remove(&id);
        Some(next).filter(|next| has_live_quorum(next, leader, &health))
    };
    let surplus = members.voters.len() > target;
    if let Some(id) = lost_voter(members, leader, surplus, &ready, &health) {
        return without(id);
    }
    if members.voters.len() < target
        && let Some((id, _)) = ready
            .iter()
            .filter(|(_, m)| !members.votes_at(m.addr))
            .min_by_key(|(_, m)| members.voters_in(&m.zone))
    {
        return promoted(members, **id).filter(|next| has_live_quorum(next, leader, &health));
    }
    if let Some(id) = voter_to_spare(members, leader, surplus, &ready, &health) {
        return without(id);
    }
    let lost = members.learners.keys().find(|id| health(**id).gone)?;
    let mut next = members.clone();
    next.learners.remove(lost);
    Some(next)
}

fn promoted(members: &Membership, id: ReplicaId) -> Option<Membership> {
    let mut next = members.clone();
    let member = next.learners.remove(&id)?;
    next.voters.insert(id, member);
    Some(next)
}

/// A voter that is lost while another member can take its place.
///
/// This comes before filling up to the target, and a newcomer on a wiped disk is not promoted
/// beside its former self: where fewer machines exist than the target, the group would then need
/// three of four, one of which is gone for good, and the next loss would stop it.
fn lost_voter(
    members: &Membership,
    leader: ReplicaId,
    surplus: bool,
    ready: &[(&ReplicaId, &Member)],
    health: &impl Fn(ReplicaId) -> Health,
) -> Option<ReplicaId> {
    let replaceable = |id: ReplicaId, member: &Member| {
        let wiped = !health(id).active && ready.iter().any(|(_, m)| m.addr == member.addr);
        (health(id).gone && (surplus || !ready.is_empty())) || wiped
    };
    let mut others = members.voters.iter().filter(|(id, _)| **id != leader);
    let lost = others.find(|(id, m)| replaceable(**id, m));
    lost.map(|(id, _)| *id)
}

/// A voter that the group can do without, or that another in a less crowded zone should replace.
/// This only tidies up, and waits until all voters are well.
fn voter_to_spare(
    members: &Membership,
    leader: ReplicaId,
    surplus: bool,
    ready: &[(&ReplicaId, &Member)],
    health: &impl Fn(ReplicaId) -> Health,
) -> Option<ReplicaId> {
    let mut others = members.voters.iter().filter(|(id, _)| **id != leader);
    if others.clone().any(|(id, _)| !health(*id).active) {
        return None;
    }
    if surplus {
        return others
            .max_by_key(|(_, m)| members.voters_in(&m.zone))
            .map(|(id, _)| *id);
    }
    let majority = members.quorum();
    let crowded = |zone: &ZoneName| members.voters_in(zone) >= majority;
    others
        .find(|(_, m)| {
            members.voters.len() > 2
                && crowded(&m.zone)
                && ready.iter().any(|(_, other)| {
                    other.zone != m.zone && members.voters_in(&other.zone) + 1 < majority
                })
        })
        .map(|(id, _)| *id)
}

fn has_live_quorum(
    next: &Membership,
    leader: ReplicaId,
    health: &impl Fn(ReplicaId) -> Health,
) -> bool {
    let live = next.voters.keys().copied();
    next.is_quorum(live.filter(|id| *id == leader || health(*id).active))
}
