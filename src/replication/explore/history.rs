//! Calls of the register's clients, and the check that they are linearizable.

use std::collections::HashMap;

use crate::ids::{LogIndex, Timestamp};

/// Number of a call; a write uses it as the value to write.
pub(super) type OpId = u64;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// No answer, or an unknown outcome.
    Open,
    /// Refused; a refused write must never take effect.
    Refused,
    /// Log index at which a write took effect, or of the last write that a read saw.
    Version(LogIndex),
}

/// One call of a client.
#[derive(Clone, Copy, Debug)]
pub(super) struct Op {
    pub(super) is_read: bool,
    pub(super) called: Timestamp,
    /// `Timestamp::MAX` while there is no answer.
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

    /// Records the index at which a replica first applied the write.
    pub(super) fn applied(&mut self, id: OpId, index: LogIndex) {
        self.applied.entry(id).or_insert(index);
    }

    /// Checks that the calls are linearizable in the order of the log.
    ///
    /// Each write has its own value, so a read's version identifies the write that it saw. The calls
    /// are linearizable exactly if, compared with any call that ended before it started, no read has
    /// a lower version and no write the same or a lower one, and no read saw a write that was called
    /// only after the read ended.
    pub(super) fn check(&self) -> Result<(), String> {
        for (id, op) in &self.ops {
            if op.outcome == Outcome::Refused && self.applied.contains_key(id) {
                return Err(format!("write {id} was refused but took effect"));
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
                    "{op:?} has version {version} although {newest} was answered before its call"
                ));
            }
        }
        self.check_reads_after_calls()
    }

    fn versions(&self) -> impl Iterator<Item = (Op, LogIndex)> + '_ {
        self.ops.values().filter_map(|op| match op.outcome {
            Outcome::Version(version) => Some((*op, version)),
            _ => None,
        })
    }

    fn check_reads_after_calls(&self) -> Result<(), String> {
        let called: HashMap<LogIndex, Timestamp> = self
            .applied
            .iter()
            .filter_map(|(id, index)| Some((*index, self.ops.get(id)?.called)))
            .collect();
        for (op, version) in self.versions().filter(|(op, _)| op.is_read) {
            if called.get(&version).is_some_and(|at| *at > op.answered) {
                return Err(format!("{op:?} saw a write that was called only later"));
            }
        }
        Ok(())
    }
}
