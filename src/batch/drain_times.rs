//! When this replica learned that minions are draining.

use std::collections::BTreeMap;

use super::ledger::{Batch, Ledger};
use super::model::MinionNumber;
use crate::ids::Timestamp;

/// Times from which minions are known to drain, by this replica's monotonic clock. Not replicated: a
/// replica without an entry assumes the longest lease.
#[derive(Clone, Debug, Default)]
pub struct DrainTimes(BTreeMap<MinionNumber, Timestamp>);

impl DrainTimes {
    /// Records the changes in a batch that is applied at `now`.
    pub fn record(&mut self, now: Timestamp, batch: &Batch) {
        for (number, _) in &batch.joined {
            self.0.remove(number);
        }
        for number in &batch.draining {
            self.0.entry(*number).or_insert(now);
        }
        for number in &batch.gone {
            self.0.remove(number);
        }
    }

    /// Follows a ledger that a snapshot replaced at `now`. The entries of the log that it covers may
    /// have returned a minion to service, and it may have had long leases until just now.
    pub fn restored(&mut self, now: Timestamp, ledger: &Ledger) {
        let drains = |number: &MinionNumber| ledger.minions.get(number).is_some_and(|m| m.draining);
        self.0.retain(|number, _| drains(number));
        self.0.values_mut().for_each(|since| *since = now);
    }

    /// The time for each minion that drains.
    pub(super) fn since(&self) -> &BTreeMap<MinionNumber, Timestamp> {
        &self.0
    }
}
