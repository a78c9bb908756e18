//! What a leader knows of one other member.

use std::collections::VecDeque;

use super::Beat;
use crate::ids::{LogIndex, Timestamp};

/// Most messages with entries on the way to one member.
pub(super) const MAX_IN_FLIGHT: usize = 8;

/// How a member is being brought up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// One message at a time until the logs are known to agree.
    Probe,
    /// Entries follow each other without waiting.
    Stream,
    /// A snapshot, part by part.
    Snapshot {
        /// Which.
        index: LogIndex,
        /// Next part.
        offset: u64,
    },
}

/// State of one member in the leader's eyes.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) matched: LogIndex,
    pub(super) next: LogIndex,
    pub(super) mode: Mode,
    /// Last indices of the messages with entries on the way.
    pub(super) in_flight: VecDeque<LogIndex>,
    /// A probe or part is on the way.
    pub(super) waits: bool,
    /// Newest mark the member has answered.
    pub(super) beat: Beat,
    /// When its last answer came, or when this leader began.
    pub(super) active_at: Timestamp,
}

impl Progress {
    pub(super) fn new(last_index: LogIndex, now: Timestamp) -> Self {
        Self {
            matched: 0,
            next: last_index + 1,
            mode: Mode::Probe,
            in_flight: VecDeque::new(),
            waits: false,
            beat: Beat::default(),
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
        self.waits = false;
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
        // An answer that taught nothing must not cause the next question: repeated by the
        // network, the two would multiply. The next heartbeat asks again.
        self.waits = probing && self.next == before;
    }
}
