//! Hosts that are cut off from the leader while their minions go on.

use yuccahold::batch::dispatch::{CallFailure, HoldAnswer, MinionAnswer, OrderKind};

use super::{CALL_TIMEOUT, Cell};

impl Cell {
    /// Cuts the host at a port off: neither orders nor answers nor reports get through.
    pub fn cut(&mut self, port: u16) {
        self.cut.insert(port);
        let pending = self.hosts.get_mut(&port).and_then(|h| h.inc.as_mut());
        if let Some(hold) = pending.and_then(|inc| inc.pending.take()) {
            let lost = MinionAnswer::Hold(HoldAnswer::Silent(CallFailure::Lost));
            let at = hold.until + CALL_TIMEOUT;
            self.answer(at, hold.to, OrderKind::Hold, hold.sent, lost);
        }
    }

    /// The ports of the hosts with the most resources in use.
    pub fn busiest(&self, count: usize) -> Vec<u16> {
        let used = |port: &u16| {
            self.hosts[port]
                .inc
                .as_ref()
                .map(|inc| inc.used().millicores)
        };
        let mut ports: Vec<_> = self.hosts.keys().copied().collect();
        ports.sort_by_key(|port| std::cmp::Reverse(used(port)));
        ports.truncate(count);
        ports
    }

    /// Connects the host at a port again.
    pub fn reconnect(&mut self, port: u16) {
        self.cut.remove(&port);
    }
}
