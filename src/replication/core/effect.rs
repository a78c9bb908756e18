//! Actions that the core requests, and its refusals.

use std::sync::Arc;

use super::{Entry, HardState, Message, ReadId, Snapshot};
use crate::ids::{LogIndex, Term};

/// State to write to disk, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Save {
    /// Number to report to `Core::saved` once this save is synced.
    pub seq: u64,
    /// A new snapshot, with the whole log that remains.
    pub snapshot: Option<SaveSnapshot>,
    /// Term and vote; `None` when they did not change.
    pub hard: Option<HardState>,
    /// New entries; the first one replaces all entries from its index on.
    pub entries: Vec<Entry>,
}

/// A snapshot to write, and the log that remains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SaveSnapshot {
    /// The snapshot to write.
    pub snapshot: Arc<Snapshot>,
    /// Term and vote, which the new log segment must hold.
    pub hard: HardState,
    /// Index and term of the entry before the first one in `kept`.
    pub base: (LogIndex, Term),
    /// All entries that remain in the log.
    pub kept: Vec<Entry>,
}

/// An action that the core's owner must execute; effects are executed in order.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// Write and sync, then call `Core::saved`.
    Save(Save),
    /// Send to the replica in `to`.
    Send(Message),
    /// Send to every configured address, every member, and every peer that has connected.
    Announce(Message),
    /// Apply committed entries to the state machine.
    Apply(Vec<Entry>),
    /// Replace the state machine's state by the snapshot.
    Restore(Arc<Snapshot>),
    /// Leadership in this term started, after all entries up to its first one: tell the state
    /// machine, then call `Core::leadership_applied`. `None` when leadership ended.
    Leadership(Option<Term>),
    /// Reads up to this number may run now.
    ReadsReady(ReadId),
    /// Take a snapshot of the state applied up to this index and pass it to `snapshot_taken`.
    TakeSnapshot(LogIndex),
}

/// Why the core refuses a proposal or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    NotLeader,
    DiskFull,
}
