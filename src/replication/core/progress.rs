//! Replication progress of one other member, tracked by the leader.

use std::collections::VecDeque;

use super::HeartbeatMark;
use crate::ids::{LogIndex, Timestamp};

/// Most unacknowledged messages with entries to one member.
pub(super) const MAX_IN_FLIGHT: usize = 8;

/// How a member is being brought up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// One message at a time, until the last matching entry is found.
    Probe,
    /// Pipelined: entries are sent without waiting for replies.
    Stream,
    /// A snapshot, one part at a time.
    Snapshot {
        /// Index of the last entry in the snapshot.
        index: LogIndex,
        /// Position of the next part, in bytes.
        offset: u64,
    },
}

/// Replication state of one member.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Last entry known to be in the member's log, synced.
    pub(super) matched: LogIndex,
    /// Next entry to send.
    pub(super) next: LogIndex,
    pub(super) mode: Mode,
    /// Index of the last entry in each unacknowledged message.
    pub(super) in_flight: VecDeque<LogIndex>,
    /// A probe or a part of a snapshot was sent and not answered.
    pub(super) awaiting_reply: bool,
    /// Newest mark that the member has echoed.
    pub(super) mark: HeartbeatMark,
    /// When the last reply arrived; before any, when tracking began.
    pub(super) active_at: Timestamp,
}

impl Progress {
    pub(super) fn new(last_index: LogIndex, now: Timestamp) -> Self {
        Self {
            matched: 0,
            next: last_index + 1,
            mode: Mode::Probe,
            in_flight: VecDeque::new(),
            awaiting_reply: false,
            mark: HeartbeatMark::default(),
            active_at: now,
        }
    }

    pub(super) fn accepted(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        while self.in_flight.front().is_some_and(|i| *i <= self.matched) {
            self.in_flight.pop_front();
        }
        let finished = match self.mode {
            Mode::Probe => true,
            Mode::Snapshot { index, .. } => self.matched >= index,
            Mode::Stream => false,
        };
        if finished {
            self.mode = Mode::Stream;
            self.next = self.matched + 1;
            self.in_flight.clear();
        }
        self.awaiting_reply = false;
    }

    pub(super) fn rejected(&mut self, prev_index: LogIndex, hint: LogIndex) {
        if prev_index < self.matched || matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        let probing = self.mode == Mode::Probe;
        if probing && prev_index + 1 != self.next {
            return;
        }
        let before = self.next;
        self.next = (hint + 1).min(prev_index.max(1)).max(self.matched + 1);
        self.mode = Mode::Probe;
        self.in_flight.clear();
        // A rejection that does not move `next` must not trigger another probe: if the network
        // duplicates messages, probes and rejections would multiply. The heartbeats probe on.
        self.awaiting_reply = probing && self.next == before;
    }
}
