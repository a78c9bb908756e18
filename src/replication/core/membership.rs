//! Members of the group, and the choice of the next single change towards the target membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ReplicaId, ZoneName};

/// Availability zone and addresses of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address to which other replicas connect.
    pub addr: SocketAddr,
    /// Address at which it serves calls while it leads.
    pub call_addr: SocketAddr,
    /// Availability zone; voters are spread over zones.
    pub zone: ZoneName,
}

/// Voters and learners of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote, by replica id.
    pub voters: BTreeMap<ReplicaId, Member>,
    /// Members that receive the log but don't vote, by replica id.
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

    /// The voter or learner with this id.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    fn all(&self) -> impl Iterator<Item = &Member> + '_ {
        self.voters.values().chain(self.learners.values())
    }

    /// Addresses at which voters and learners serve calls.
    pub fn call_addrs(&self) -> Vec<SocketAddr> {
        self.all().map(|m| m.call_addr).collect()
    }

    /// Addresses to which other replicas connect, of voters and learners.
    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.all().map(|m| m.addr).collect()
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub(crate) fn is_quorum(&self, ids: impl Iterator<Item = ReplicaId>) -> bool {
        ids.filter(|id| self.voters.contains_key(id)).count() >= self.quorum()
    }

    /// Largest value that a majority of voters has reached; the default when there are no voters.
    pub(crate) fn quorum_value<T: Ord + Default>(&self, value: impl Fn(ReplicaId) -> T) -> T {
        let mut values: Vec<T> = self.voters.keys().map(|id| value(*id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values
            .into_iter()
            .nth(self.quorum().saturating_sub(1))
            .unwrap_or_default()
    }

    /// Whether a voter has this address. A learner with the same address is the same host on a
    /// wiped disk, and replaces that voter.
    fn has_voter_at(&self, addr: SocketAddr) -> bool {
        self.voters.values().any(|m| m.addr == addr)
    }

    fn voters_in(&self, zone: &ZoneName) -> usize {
        self.voters.values().filter(|m| m.zone == *zone).count()
    }
}

/// Condition of another member, as the leader sees it when it chooses a membership change.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// It replied within the last election timeout.
    pub(crate) active: bool,
    /// It has not replied for `replace_after`.
    pub(crate) gone: bool,
    /// It is at most `CAUGHT_UP_LAG` entries behind the log.
    pub(crate) caught_up: bool,
}

/// Chooses the next membership, which differs by one member; `None` when nothing needs to change.
///
/// A lost voter is removed before its replacement is promoted, and only once the replacement has
/// caught up: the group then needs the same live voters before, between and after the two changes.
/// Promoting first would make the group depend on the new voter as well.
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
            .filter(|(_, m)| !members.has_voter_at(m.addr))
            .min_by_key(|(_, m)| members.voters_in(&m.zone))
    {
        return promoted(members, **id).filter(|next| has_live_quorum(next, leader, &health));
    }
    if surplus {
        if let Some(id) = surplus_voter(members, leader, &health) {
            return without(id);
        }
    } else if let Some(id) = spreading_learner(members, leader, &ready, &health) {
        return promoted(members, id).filter(|next| has_live_quorum(next, leader, &health));
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

/// A lost voter that another member can replace.
///
/// Its removal takes precedence over promotions, and a learner on a wiped disk is not promoted
/// while its host's former id still votes: with fewer hosts than target voters, the group would
/// need three of four voters, one of them lost for good, and the next loss would stop it.
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

/// A voter to remove from the most crowded availability zone, if there is one more than the target.
/// Waits until all voters are active.
fn surplus_voter(
    members: &Membership,
    leader: ReplicaId,
    health: &impl Fn(ReplicaId) -> Health,
) -> Option<ReplicaId> {
    let others = members.voters.iter().filter(|(id, _)| **id != leader);
    if others.clone().any(|(id, _)| !health(*id).active) {
        return None;
    }
    others
        .max_by_key(|(_, m)| members.voters_in(&m.zone))
        .map(|(id, _)| *id)
}

/// A learner to promote so that a voter of a crowded availability zone becomes surplus. This only
/// improves the spread, so it waits until all voters are active.
///
/// The learner is promoted first: a removal first would leave two voters of three, and a disk lost
/// at that moment would stop the group for good.
fn spreading_learner(
    members: &Membership,
    leader: ReplicaId,
    ready: &[(&ReplicaId, &Member)],
    health: &impl Fn(ReplicaId) -> Health,
) -> Option<ReplicaId> {
    let mut others = members.voters.iter().filter(|(id, _)| **id != leader);
    if members.voters.len() <= 2 || others.clone().any(|(id, _)| !health(*id).active) {
        return None;
    }
    let majority = members.quorum();
    if !others.any(|(_, m)| members.voters_in(&m.zone) >= majority) {
        return None;
    }
    let spreads = |m: &Member| members.voters_in(&m.zone) + 1 < majority;
    let mut ready = ready.iter().filter(|(_, m)| !members.has_voter_at(m.addr));
    ready.find(|(_, m)| spreads(m)).map(|(id, _)| **id)
}

fn has_live_quorum(
    next: &Membership,
    leader: ReplicaId,
    health: &impl Fn(ReplicaId) -> Health,
) -> bool {
    let live = next.voters.keys().copied();
    next.is_quorum(live.filter(|id| *id == leader || health(*id).active))
}
