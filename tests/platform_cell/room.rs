//! Room of a minion that shrinks and grows.

use std::time::{Duration, Instant};

use super::book::{CAPACITY, Need};

/// Time for which room that has shrunk may still be filled.
const RESIZE_NOTICE: Duration = Duration::from_millis(3_300);

/// What a minion has room for, and what it had before that still counts.
#[derive(Clone, Copy)]
pub struct Room {
    pub now: Need,
    before: Need,
    /// When the former room counts no longer.
    until: Instant,
}

impl Room {
    pub fn new(now: Instant) -> Self {
        Self {
            now: CAPACITY,
            before: CAPACITY,
            until: now,
        }
    }

    /// It becomes a part of what it was at first.
    pub fn resize(&mut self, percent: u32, now: Instant) {
        let part = |full: u32| full * percent / 100;
        self.before = self.granted(now);
        self.now = Need {
            millicores: part(CAPACITY.millicores),
            memory_mb: part(CAPACITY.memory_mb),
        };
        self.until = now + RESIZE_NOTICE;
    }

    /// What a start may fill.
    pub fn granted(&self, now: Instant) -> Need {
        if now >= self.until {
            return self.now;
        }
        Need {
            millicores: self.now.millicores.max(self.before.millicores),
            memory_mb: self.now.memory_mb.max(self.before.memory_mb),
        }
    }
}
