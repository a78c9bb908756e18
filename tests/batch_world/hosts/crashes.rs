//! Crashes of minions.

use yuccahold::batch::dispatch::{CallFailure, HoldAnswer, MinionAnswer, OrderKind};

use super::{Cell, NET_DELAY};

impl Cell {
    /// Crashes the minion at a port; it restarts after `restart_delay`.
    pub fn crash(&mut self, port: u16) {
        let now = self.world.now;
        let Some(host) = self.hosts.get_mut(&port) else {
            return;
        };
        let Some(inc) = host.inc.take() else {
            return;
        };
        let host_name = host.name.clone();
        host.departure = None;
        host.restarts_at = now + self.restart_delay;
        self.crashed += 1;
        for task in inc.tasks() {
            *self.crashes.entry(task).or_default() += 1;
        }
        let broken = MinionAnswer::Hold(HoldAnswer::Silent(CallFailure::Broken));
        if let Some(hold) = inc.pending {
            self.answer(now + NET_DELAY, hold.to, OrderKind::Hold, hold.sent, broken);
        } else if self.crash_loses_listings {
            let number = self.world.ledger.minion_number(&host_name.into());
            let holds = self.deliveries.iter_mut();
            let holds = holds.filter(|d| d.kind == OrderKind::Hold && Some(d.minion) == number);
            for delivery in holds {
                delivery.at = now + NET_DELAY;
                delivery.answer = broken.clone();
            }
        }
    }
}
