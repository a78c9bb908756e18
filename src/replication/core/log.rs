//! Entries of the replicated log and the part of it that is held in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::membership::Membership;
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

/// What must survive besides the entries: the term and the vote cast in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Replica voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position, from 1.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// That leader's Unix time; never less than the entry's before it.
    pub at: Timestamp,
    /// What it does.
    pub payload: Payload,
}

impl Entry {
    /// Rough size in memory and on disk, in bytes.
    pub fn size(&self) -> u64 {
        const OVERHEAD: usize = 32;
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(command) => command.len(),
            Payload::Members(members) => members.len() * OVERHEAD,
        };
        (payload + OVERHEAD) as u64
    }
}

/// What an entry does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; opens a leader's term.
    Noop,
    /// A command of the state machine.
    Command(Bytes),
    /// The membership from here on; in force as soon as it is appended.
    Members(Membership),
}

/// The state machine's whole state after one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry contained.
    pub index: LogIndex,
    /// Its term.
    pub term: Term,
    /// Its time.
    pub at: Timestamp,
    /// Membership after it.
    pub members: Membership,
    /// The machine's own encoding.
    pub data: Bytes,
}

/// The log from the snapshot on.
#[derive(Debug, Default)]
pub(crate) struct Log {
    snapshot: Arc<Snapshot>,
    /// Last entry that is no longer held; the snapshot reaches at least to it.
    base: (LogIndex, Term),
    entries: VecDeque<Entry>,
    bytes: u64,
}

impl Log {
    pub(crate) fn new(
        snapshot: Arc<Snapshot>,
        base: (LogIndex, Term),
        entries: impl IntoIterator<Item = Entry>,
    ) -> Self {
        let entries: VecDeque<_> = entries.into_iter().collect();
        let bytes = entries.iter().map(Entry::size).sum();
        Self {
            snapshot,
            base,
            entries,
            bytes,
        }
    }

    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    pub(crate) fn base(&self) -> (LogIndex, Term) {
        self.base
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base.0, |e| e.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.1, |e| e.term)
    }

    pub(crate) fn last_at(&self) -> Timestamp {
        self.entries
            .back()
            .map_or(self.snapshot.at, |e| e.at.max(self.snapshot.at))
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Term of an entry, of the last one cut away too; `None` outside of that.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Entries from `from` on, up to about `max_bytes`, at least one if there is one.
    pub(crate) fn slice(&self, from: LogIndex, max_bytes: u64) -> Vec<Entry> {
        let Some(offset) = from.checked_sub(self.base.0 + 1) else {
            return Vec::new();
        };
        let mut size = 0;
        self.entries
            .iter()
            .skip(offset as usize)
            .take_while(|e| {
                let first = size == 0;
                size += e.size();
                first || size <= max_bytes
            })
            .cloned()
            .collect()
    }

    pub(crate) fn range(&self, from: LogIndex, to: LogIndex) -> Vec<Entry> {
        (from..=to).filter_map(|i| self.get(i).cloned()).collect()
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        while self.entries.back().is_some_and(|e| e.index >= from) {
            let dropped = self.entries.pop_back().expect("checked above");
            self.bytes -= dropped.size();
        }
    }

    /// Newest membership in the log at or before `upto`, with its index.
    pub(crate) fn members(&self, upto: LogIndex) -> (LogIndex, Membership) {
        let newest = self.entries.iter().rev().filter(|e| e.index <= upto);
        for entry in newest {
            if entry.index <= self.snapshot.index {
                break;
            }
            if let Payload::Members(members) = &entry.payload {
                return (entry.index, members.clone());
            }
        }
        (self.snapshot.index, self.snapshot.members.clone())
    }

    /// Takes a newer snapshot of this log's own prefix and cuts entries at or before `keep_after`.
    pub(crate) fn cut(&mut self, snapshot: Arc<Snapshot>, keep_after: LogIndex) {
        let keep_after = keep_after.min(snapshot.index);
        self.snapshot = snapshot;
        while self.entries.front().is_some_and(|e| e.index <= keep_after) {
            let dropped = self.entries.pop_front().expect("checked above");
            self.bytes -= dropped.size();
            self.base = (dropped.index, dropped.term);
        }
    }

    /// Index after which about `bytes` of log remain, not beyond `upto`.
    pub(crate) fn index_keeping(&self, bytes: u64, upto: LogIndex) -> LogIndex {
        let mut kept = 0;
        for entry in self.entries.iter().rev().filter(|e| e.index <= upto) {
            kept += entry.size();
            if kept > bytes {
                return entry.index;
            }
        }
        self.base.0
    }

    /// Replaces everything by a leader's snapshot; keeps a tail that agrees with it.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>) {
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            let index = snapshot.index;
            self.cut(snapshot, index);
            return;
        }
        self.base = (snapshot.index, snapshot.term);
        self.snapshot = snapshot;
        self.entries.clear();
        self.bytes = 0;
    }
}
