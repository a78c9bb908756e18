//! Queue of one service, ordered by priority, then round-robin over workspaces, then by arrival.

use std::collections::{HashMap, VecDeque};

use crate::document::QueuePriority;
use crate::ids::TeamName;
use crate::routing::model::RequestId;

/// Number of [`QueuePriority`] variants.
const PRIORITIES: usize = 3;
/// The levels are compacted once removed entries outnumber waiting requests by more than this.
const COMPACT_THRESHOLD: usize = 64;

/// Requests of one priority, with a FIFO queue for each workspace.
#[derive(Clone, Debug, Default)]
struct PriorityLevel {
    /// Workspaces with queued requests, in the order in which they are served next.
    round_robin: VecDeque<TeamName>,
    teams: HashMap<TeamName, VecDeque<RequestId>>,
    /// Waiting requests, without removed ones that are still in `teams`.
    waiting: usize,
}

impl PriorityLevel {
    fn push(&mut self, team: &TeamName, id: RequestId) {
        let waiting = self.teams.entry(team.clone()).or_default();
        if waiting.is_empty() {
            self.round_robin.push_back(team.clone());
        }
        waiting.push_back(id);
    }

    fn pop(&mut self) -> Option<RequestId> {
        let team = self.round_robin.pop_front()?;
        let waiting = self.teams.get_mut(&team)?;
        let id = waiting.pop_front();
        if waiting.is_empty() {
            self.teams.remove(&team);
        } else {
            self.round_robin.push_back(team);
        }
        id
    }

    fn compact(&mut self, keep: impl Fn(RequestId) -> bool) {
        for waiting in self.teams.values_mut() {
            waiting.retain(|id| keep(*id));
        }
        self.teams.retain(|_, waiting| !waiting.is_empty());
        let teams = &self.teams;
        self.round_robin.retain(|team| teams.contains_key(team));
    }
}

/// Requests of one service that wait for a slot. The caller of [`Queue::push`] bounds its length.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    levels: [PriorityLevel; PRIORITIES],
    waiting: HashMap<RequestId, QueuePriority>,
    /// Removed requests still in a level: removal is O(1), `pop` skips them, `compact` drops them.
    removed: usize,
}

impl Queue {
    /// Number of waiting requests, without removed ones.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits; removed ones don't count.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The waiting requests, in no particular order.
    pub(super) fn ids(&self) -> impl Iterator<Item = RequestId> {
        self.waiting.keys().copied()
    }

    /// Waiting requests of this or a higher priority: the most that can be served before a new one.
    pub fn ahead_of(&self, priority: QueuePriority) -> usize {
        let levels = &self.levels[priority as usize..];
        levels.iter().map(|level| level.waiting).sum()
    }

    /// Adds a request at the end of its workspace's FIFO queue.
    pub fn push(&mut self, id: RequestId, team: &TeamName, priority: QueuePriority) {
        let level = &mut self.levels[priority as usize];
        level.push(team, id);
        level.waiting += 1;
        self.waiting.insert(id, priority);
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self) -> Option<RequestId> {
        for index in (0..PRIORITIES).rev() {
            while let Some(id) = self.levels[index].pop() {
                if self.remove_waiting(id) {
                    return Some(id);
                }
                self.removed = self.removed.saturating_sub(1);
            }
        }
        None
    }

    /// Removes a request; false when it is not in the queue.
    pub fn remove(&mut self, id: RequestId) -> bool {
        if !self.remove_waiting(id) {
            return false;
        }
        self.removed += 1;
        if self.removed > self.waiting.len() + COMPACT_THRESHOLD {
            self.compact();
        }
        true
    }

    /// The latest request of the lowest priority below `priority`, to be displaced by a new one.
    pub fn last_below(&self, priority: QueuePriority) -> Option<RequestId> {
        let below = self.waiting.iter().filter(|(_, p)| **p < priority);
        let last = below.min_by_key(|(id, p)| (**p, std::cmp::Reverse(**id)));
        last.map(|(id, _)| *id)
    }

    fn remove_waiting(&mut self, id: RequestId) -> bool {
        let Some(priority) = self.waiting.remove(&id) else {
            return false;
        };
        self.levels[priority as usize].waiting -= 1;
        true
    }

    fn compact(&mut self) {
        for level in &mut self.levels {
            level.compact(|id| self.waiting.contains_key(&id));
        }
        self.removed = 0;
    }
}
