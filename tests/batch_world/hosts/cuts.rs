//! Hosts that are cut off from the leader while their minions go on, and minions that leave.

use std::time::Duration;

use yuccahold::batch::dispatch::{CallFailure, HoldAnswer, MinionAnswer, OrderKind};
use yuccahold::batch::model::MinionReport;

use super::{CALL_TIMEOUT, Cell, NET_DELAY};

/// What a cut does to the calls of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing gets through, either way.
    Silent,
    /// Calls to the host bring nothing; what it sends arrives.
    OneWay,
    /// Connections to the host are refused; what it sends arrives.
    Refusing,
}

impl Cut {
    /// How a call to the host fails, and after which time.
    pub(super) fn failure(self) -> (Duration, CallFailure) {
        match self {
            Self::Silent | Self::OneWay => (CALL_TIMEOUT, CallFailure::Lost),
            Self::Refusing => (NET_DELAY, CallFailure::Refused),
        }
    }
}

/// The end of a minion, as it announces it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    /// When it sends its final message.
    pub(super) announced: Duration,
    /// When it ends if no answer to that reaches it; otherwise it ends at once.
    pub(super) ends: Duration,
    pub(super) has_announced: bool,
}

impl Cell {
    /// Lets the minion at a port drain for `stay` and leave; it ends `unanswered` later if nobody
    /// answers its final message.
    pub fn leave(&mut self, port: u16, stay: Duration, unanswered: Duration) {
        let now = self.world.now;
        if let Some(host) = self.hosts.get_mut(&port)
            && host.inc.is_some()
            && host.departure.is_none()
        {
            host.departure = Some(Departure {
                announced: now + stay,
                ends: now + stay + unanswered,
                has_announced: false,
            });
            host.reports_at = now;
        }
    }

    /// Delivers a report of a former incarnation again.
    pub fn repeat_report(&mut self, report: MinionReport) {
        self.world.leader.report(self.world.now, report);
    }

    /// Sends the final message of a minion that leaves, and ends it when it is time.
    pub(super) fn advance_departure(&mut self, port: u16, now: Duration) {
        let cut = self.cut.get(&port).copied();
        let Some(host) = self.hosts.get_mut(&port) else {
            return;
        };
        let Some(departure) = host.departure.as_mut().filter(|d| d.announced <= now) else {
            return;
        };
        if !departure.has_announced {
            departure.has_announced = true;
            let id = host.name.as_str().into();
            if cut != Some(Cut::Silent) {
                self.world.leader.minion_left(now, &id);
            }
        }
        if cut.is_none() || departure.ends <= now {
            self.crash(port);
        }
    }

    /// Cuts the host at a port off in this way.
    pub fn cut_by(&mut self, port: u16, cut: Cut) {
        self.cut(port);
        self.cut.insert(port, cut);
    }

    /// Cuts the host at a port off: neither orders nor answers nor reports get through.
    pub fn cut(&mut self, port: u16) {
        self.cut.insert(port, Cut::Silent);
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
