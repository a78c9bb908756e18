//! Batches that the leader proposes, and the ends that are acknowledged once they are committed.

use super::Dispatcher;
use crate::batch::ledger::{Batch, Ledger};
use crate::batch::model::MinionNumber;

impl Dispatcher {
    /// Returns the batch to propose, and notes which ends its commit acknowledges.
    pub(super) fn take_batch(&mut self, ledger: &Ledger) -> Option<Batch> {
        let mut batch = std::mem::take(&mut self.batch);
        self.count_gang_runs_once(&mut batch, ledger);
        let seen = self
            .unacknowledged
            .iter()
            .filter_map(|number| self.minions.get(number))
            .map(|m| (m.number, m.seen_end))
            .collect();
        if batch.is_empty() {
            if self.uncommitted_ends.is_empty() {
                self.acknowledge(seen);
            }
            return None;
        }
        self.uncommitted_ends.push_back(seen);
        Some(batch)
    }

    /// Acknowledges ends whose batch is committed. A minion drops acknowledged ends, so an end that
    /// only this process had would be lost with it, and its task would run again.
    pub(super) fn acknowledge(&mut self, seen: Vec<(MinionNumber, u64)>) {
        for (number, end) in seen {
            if let Some(minion) = self.minions.get_mut(&number) {
                minion.acked_end = minion.acked_end.max(end);
                if minion.acked_end < minion.seen_end {
                    continue;
                }
            }
            self.unacknowledged.remove(&number);
        }
    }
}
