//! The entry host's lease on the minions it owns.

use std::time::Duration;

use crate::ids::Timestamp;

/// Fraction of the lease, as a divisor, left unused in case the clocks run at different rates.
const DRIFT_DIVISOR: u32 = 100;

/// A lease whose duration counts from the time the renewal was sent.
///
/// The control plane counts from the time it received the renewal, which is later. So it assigns
/// a minion to another entry host only after this one has stopped using it, whatever the network
/// delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    until: Timestamp,
}

impl Lease {
    /// Records a granted renewal. A late response to an old renewal never shortens the lease.
    pub fn renewed(&mut self, sent: Timestamp, length: Duration) {
        let usable = length - length / DRIFT_DIVISOR;
        self.until = self.until.max(sent + usable);
    }

    /// Expiry on the router's clock; zero before the first renewal.
    pub const fn until(&self) -> Timestamp {
        self.until
    }

    /// Whether the lease has not expired.
    pub fn holds(&self, now: Timestamp) -> bool {
        now < self.until
    }
}
