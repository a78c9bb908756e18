//! State read from disk at a start.

use super::{Entry, HardState, Snapshot};
use crate::ids::{LogIndex, Term};

/// Persistent state that is read from disk at a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Term and vote.
    pub hard: HardState,
    /// Newest snapshot; its index is 0 when there is none.
    pub snapshot: Snapshot,
    /// Index and term of the entry before the first one in `entries`.
    pub base: (LogIndex, Term),
    /// Consecutive entries that follow `base`.
    pub entries: Vec<Entry>,
}

/// Whether a log is still in use beside a newer snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogState {
    /// The log holds the snapshot's last entry and remains in use.
    Current,
    /// The snapshot of a leader replaces all of the log.
    Superseded,
}

impl Recovered {
    /// Merges a newer snapshot whose log was not written yet, as a crash between the two leaves it.
    pub(crate) fn merge(&mut self, snapshot: Snapshot) -> LogState {
        let last = (snapshot.index, snapshot.term);
        let is_in_log = || self.entries.iter().any(|e| (e.index, e.term) == last);
        if last == self.base || is_in_log() {
            self.snapshot = snapshot;
            return LogState::Current;
        }
        // The term of the leader that sent the snapshot was to be written with the new log.
        if self.hard.term < snapshot.term {
            self.hard = HardState {
                term: snapshot.term,
                voted_for: None,
            };
        }
        self.base = last;
        self.entries.clear();
        self.snapshot = snapshot;
        LogState::Superseded
    }
}
