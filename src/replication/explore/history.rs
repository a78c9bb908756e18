//! Calls of the register's clients, and whether their outcomes fit one order.

use std::collections::HashMap;

use crate::ids::{LogIndex, Timestamp};

/// Number of a call; a write's is also the value it writes.
pub(super) type OpId = u64;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// No answer, or one that says the outcome is unknown.
    Open,
    /// Refused: it must never take effect.
    Refused,
    /// A write took effect, or a read saw the state, at this index.
    Version(LogIndex),
}

/// One call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Op {
    pub(super) is_read: bool,
    pub(super) called: Timestamp,
    pub(super) answered: Timestamp,
    pub(super) outcome: Outcome,
}

/// All calls of a schedule.
#[derive(Default)]
pub(super) struct History {
    ops: HashMap<OpId, Op>,
    applied: HashMap<OpId, LogIndex>,
    next: OpId,
}

impl History {
    pub(super) fn call(&mut self, is_read: bool, now: Timestamp) -> OpId {
        self.next += 1;
        let op = Op {
            is_read,
            called: now,
            answered: Timestamp::MAX,
            outcome: Outcome::Open,
        };
        self.ops.insert(self.next, op);
        self.next
    }

    pub(super) fn answer(&mut self, id: OpId, outcome: Outcome, now: Timestamp) {
        if let Some(op) = self.ops.get_mut(&id) {
            op.outcome = outcome;
            op.answered = now;
        }
    }

    /// Notes that some replica applied the write at an index.
    pub(super) fn applied(&mut self, id: OpId, index: LogIndex) {
        self.applied.entry(id).or_insert(index);
    }

    /// Checks the calls against the order of the log.
    ///
    /// Each write has its own value, so a read's version names the write it saw. One order exists
    /// exactly if versions never go back between a call that ended and one that began after it,
    /// and no read saw a write that had not been called.
    pub(super) fn check(&self) -> Result<(), String> {
        for (id, op) in &self.ops {
            if op.outcome == Outcome::Refused && self.applied.contains_key(id) {
                return Err(format!("write {id} was refused and yet took effect"));
            }
        }
        let mut ended: Vec<_> = self.versions().collect();
        let mut began = ended.clone();
        ended.sort_by_key(|(op, _)| op.answered);
        began.sort_by_key(|(op, _)| op.called);
        let mut ended = ended.into_iter().peekable();
        let mut newest: LogIndex = 0;
        for (op, version) in began {
            while let Some((_, v)) = ended.next_if(|(e, _)| e.answered < op.called) {
                newest = newest.max(v);
            }
            let behind = if op.is_read {
                version < newest
            } else {
                version <= newest
            };
            if behind {
                return Err(format!(
                    "{op:?} has version {version} although {newest} had been answered before"
                ));
            }
        }
        self.check_reads_from_the_past()
    }

    fn versions(&self) -> impl Iterator<Item = (Op, LogIndex)> + '_ {
        self.ops.values().filter_map(|op| match op.outcome {
            Outcome::Version(version) => Some((*op, version)),
            _ => None,
        })
    }

    fn check_reads_from_the_past(&self) -> Result<(), String> {
        let called: HashMap<LogIndex, Timestamp> = self
            .applied
            .iter()
            .filter_map(|(id, index)| Some((*index, self.ops.get(id)?.called)))
            .collect();
        for (op, version) in self.versions().filter(|(op, _)| op.is_read) {
            if called.get(&version).is_some_and(|at| *at > op.answered) {
                return Err(format!("{op:?} saw a write that was not called yet"));
            }
        }
        Ok(())
    }
}
