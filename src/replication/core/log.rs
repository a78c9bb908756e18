//! Entries of the replicated log, and the part of the log kept in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::membership::Membership;
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

/// Persistent state besides the log: the term, and the vote cast in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Replica voted for in that term; `None` before a vote.
    pub voted_for: Option<ReplicaId>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, counted from 1.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// That leader's Unix time; never lower than that of the entry before.
    pub at: Timestamp,
    /// Effect of the entry once it is committed.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in memory and on disk, in bytes.
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

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No effect; a new leader appends it so that it can commit in its own term.
    Noop,
    /// A command for the state machine.
    Command(Bytes),
    /// A new membership; in force as soon as the entry is appended, before it is committed.
    Members(Membership),
}

/// The state machine's whole state after a given entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry included; 0 when there is no snapshot.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Unix time of that entry.
    pub at: Timestamp,
    /// Membership after that entry.
    pub members: Membership,
    /// State in the state machine's own encoding.
    pub data: Bytes,
}

/// The newest snapshot, and the entries after `base`. Some entries before the snapshot are kept so
/// that a follower that is slightly behind needs no snapshot.
#[derive(Debug, Default)]
pub(crate) struct Log {
    snapshot: Arc<Snapshot>,
    /// Index and term of the last entry removed; the snapshot includes it.
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

    /// Term of an entry; also of the last entry removed and of the snapshot's last entry. `None` for
    /// any other.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Entries from `from` on, up to `max_bytes` in total but at least one, if there is one.
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

    /// Removes the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        while self.entries.back().is_some_and(|e| e.index >= from) {
            let dropped = self.entries.pop_back().expect("checked above");
            self.bytes -= dropped.size();
        }
    }

    /// The membership in force at entry `upto`, with the index of its entry.
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

    /// Stores a newer snapshot of this log's own prefix and removes entries up to `keep_after`.
    pub(crate) fn cut(&mut self, snapshot: Arc<Snapshot>, keep_after: LogIndex) {
        let keep_after = keep_after.min(snapshot.index);
        self.snapshot = snapshot;
        while self.entries.front().is_some_and(|e| e.index <= keep_after) {
            let dropped = self.entries.pop_front().expect("checked above");
            self.bytes -= dropped.size();
            self.base = (dropped.index, dropped.term);
        }
    }

    /// Index that leaves about `bytes` of entries between itself and `upto`.
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

    /// Replaces the log by a leader's snapshot. If the log holds the snapshot's last entry, the
    /// entries after it are kept.
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
