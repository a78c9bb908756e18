//! The entry host's lease on the minions it owns.

use std::time::Duration;

use crate::ids::Timestamp;

/// Share of the lease given up for clocks that run at different speeds, as a divisor.
const DRIFT_DIVISOR: u32 = 100;

/// A lease counted from the moment each renewal was sent.
///
/// Control counts from the moment it received the renewal, which is later. So it gives a minion
/// to another entry host only after this one has stopped using it, whatever the network delayed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    until: Timestamp,
}

impl Lease {
    /// Takes in a granted renewal. An old renewal answered late never shortens the lease.
    pub fn renewed(&mut self, sent: Timestamp, length: Duration) {
        let usable = length - length / DRIFT_DIVISOR;
        self.until = self.until.max(sent + usable);
    }

    /// When it ends.
    pub const fn until(&self) -> Timestamp {
        self.until
    }

    /// Whether it holds.
    pub fn holds(&self, now: Timestamp) -> bool {
        now < self.until
    }
}
