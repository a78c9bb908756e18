//! Bounded queue of one service: by priority, then teams in turn, then arrival.

use std::collections::{HashMap, VecDeque};

use crate::document::QueuePriority;
use crate::ids::TeamName;
use crate::routing::model::RequestId;

/// Priorities, as many as [`QueuePriority`] has.
const PRIORITIES: usize = 3;
/// Removed requests that may stay in the lanes before they are swept out.
const SWEEP_FLOOR: usize = 64;

#[derive(Clone, Debug, Default)]
struct Lane {
    turns: VecDeque<TeamName>,
    teams: HashMap<TeamName, VecDeque<RequestId>>,
    waiting: usize,
}

impl Lane {
    fn push(&mut self, team: &TeamName, id: RequestId) {
        let waiting = self.teams.entry(team.clone()).or_default();
        if waiting.is_empty() {
            self.turns.push_back(team.clone());
        }
        waiting.push_back(id);
    }

    fn pop(&mut self) -> Option<RequestId> {
        let team = self.turns.pop_front()?;
        let waiting = self.teams.get_mut(&team)?;
        let id = waiting.pop_front();
        if waiting.is_empty() {
            self.teams.remove(&team);
        } else {
            self.turns.push_back(team);
        }
        id
    }

    fn sweep(&mut self, keep: impl Fn(RequestId) -> bool) {
        for waiting in self.teams.values_mut() {
            waiting.retain(|id| keep(*id));
        }
        self.teams.retain(|_, waiting| !waiting.is_empty());
        let teams = &self.teams;
        self.turns.retain(|team| teams.contains_key(team));
    }
}

/// Requests of one service that wait for a slot.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: [Lane; PRIORITIES],
    waiting: HashMap<RequestId, QueuePriority>,
    /// Removed requests still in a lane: removal is O(1), they are passed over or swept later.
    removed: usize,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests that would be served before a new one of this priority.
    pub fn ahead_of(&self, priority: QueuePriority) -> usize {
        let lanes = &self.lanes[priority as usize..];
        lanes.iter().map(|lane| lane.waiting).sum()
    }

    /// Adds a request at the end of its team's turn.
    pub fn push(&mut self, id: RequestId, team: &TeamName, priority: QueuePriority) {
        let lane = &mut self.lanes[priority as usize];
        lane.push(team, id);
        lane.waiting += 1;
        self.waiting.insert(id, priority);
    }

    /// Takes the next request in order.
    pub fn pop(&mut self) -> Option<RequestId> {
        for index in (0..PRIORITIES).rev() {
            while let Some(id) = self.lanes[index].pop() {
                if self.forget(id) {
                    return Some(id);
                }
                self.removed = self.removed.saturating_sub(1);
            }
        }
        None
    }

    /// Takes a request out; false when it does not wait here.
    pub fn remove(&mut self, id: RequestId) -> bool {
        if !self.forget(id) {
            return false;
        }
        self.removed += 1;
        if self.removed > self.waiting.len() + SWEEP_FLOOR {
            self.sweep();
        }
        true
    }

    /// The waiting request that would be served last of those below `priority`.
    pub fn last_below(&self, priority: QueuePriority) -> Option<RequestId> {
        let below = self.waiting.iter().filter(|(_, p)| **p < priority);
        let last = below.min_by_key(|(id, p)| (**p, std::cmp::Reverse(**id)));
        last.map(|(id, _)| *id)
    }

    fn forget(&mut self, id: RequestId) -> bool {
        let Some(priority) = self.waiting.remove(&id) else {
            return false;
        };
        self.lanes[priority as usize].waiting -= 1;
        true
    }

    fn sweep(&mut self) {
        for lane in &mut self.lanes {
            lane.sweep(|id| self.waiting.contains_key(&id));
        }
        self.removed = 0;
    }
}
