//! Consistent hashing: assigns minions to agents in a time that grows with the logarithm of their
//! number.

use std::collections::BTreeMap;

use super::agents::AgentId;
use super::model::MinionNumber;
use super::rendezvous::rendezvous_weight;

/// Points of each agent on the ring; the shares of the agents differ by an eighth on average.
const POINTS_PER_AGENT: u32 = 64;
/// Chooser that places minions on the ring; no agent has this id.
const MINION_CHOOSER: u64 = u64::MAX;

/// Agents at pseudo-random points of a ring. A minion belongs to the agent at the next point, so an
/// agent that joins takes over its own share of the minions and moves no others.
#[derive(Debug, Default)]
pub(super) struct HashRing {
    points: BTreeMap<u64, AgentId>,
}

impl HashRing {
    pub(super) fn insert(&mut self, agent: AgentId) {
        for point in points_of(agent) {
            self.points.insert(point, agent);
        }
    }

    pub(super) fn remove(&mut self, agent: AgentId) {
        for point in points_of(agent) {
            // Another agent may have taken the same point.
            if self.points.get(&point) == Some(&agent) {
                self.points.remove(&point);
            }
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// The agent of a minion; `None` on an empty ring.
    pub(super) fn agent_of(&self, minion: MinionNumber) -> Option<AgentId> {
        let at = rendezvous_weight(minion, MINION_CHOOSER);
        let next = self.points.range(at..).next();
        next.or_else(|| self.points.iter().next())
            .map(|(_, agent)| *agent)
    }
}

fn points_of(agent: AgentId) -> impl Iterator<Item = u64> {
    (0..POINTS_PER_AGENT).map(move |point| rendezvous_weight(point, agent))
}
