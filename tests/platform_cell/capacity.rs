//! Capacity of a simulated minion that can be resized.

use std::time::{Duration, Instant};

use super::recorder::{FULL_CAPACITY, Resources};

/// Time after a resize during which runs may still use the previous, larger capacity.
const RESIZE_NOTICE: Duration = Duration::from_millis(3_300);

/// Current capacity of a minion, and the previous one while starts may still rely on it.
#[derive(Clone, Copy)]
pub struct MinionCapacity {
    pub now: Resources,
    before: Resources,
    /// Time from which the previous capacity no longer counts.
    until: Instant,
}

impl MinionCapacity {
    pub fn new(now: Instant) -> Self {
        Self {
            now: FULL_CAPACITY,
            before: FULL_CAPACITY,
            until: now,
        }
    }

    /// Sets the capacity to a percentage of the full capacity.
    pub fn resize(&mut self, percent: u32, now: Instant) {
        let part = |full: u32| full * percent / 100;
        self.before = self.granted(now);
        self.now = Resources {
            millicores: part(FULL_CAPACITY.millicores),
            memory_mb: part(FULL_CAPACITY.memory_mb),
        };
        self.until = now + RESIZE_NOTICE;
    }

    /// Capacity that starts may use at this time.
    pub fn granted(&self, now: Instant) -> Resources {
        if now >= self.until {
            return self.now;
        }
        Resources {
            millicores: self.now.millicores.max(self.before.millicores),
            memory_mb: self.now.memory_mb.max(self.before.memory_mb),
        }
    }
}
