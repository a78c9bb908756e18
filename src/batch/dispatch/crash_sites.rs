//! Addresses at which one incarnation of a minion after another crashes, whatever it runs.
//!
//! A crash soon after a start is evidence against the started task. At an address whose incarnations
//! all live for a moment only, each start is followed by a crash, so such a minion gets no work until
//! it has stayed up for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::minion::Minion;
use crate::ids::Timestamp;

/// Life of an incarnation up to which its crash counts as one of a series.
const SHORT_LIFE: Duration = Duration::from_secs(2);
/// Short lives in a row from which on the next incarnation gets no work at first.
const AVOID_FROM: u32 = 2;
/// First time without work; it doubles with each further short life.
const AVOID_MIN: Duration = Duration::from_secs(1);
/// Upper bound of that time.
const AVOID_MAX: Duration = Duration::from_secs(8);
/// Time after a crash in which tasks that may crash minions are rather tried elsewhere: another crash
/// at the same address would count against the task.
const AVOID_TRIALS_FOR: Duration = Duration::from_secs(3);
/// Time after which a crash is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The last crash at an address.
#[derive(Clone, Copy, Debug)]
struct Site {
    crashed: Timestamp,
    /// Crashes in a row after short lives.
    short_lives: u32,
}

/// Crashes by address.
#[derive(Debug, Default)]
pub(super) struct CrashSites(HashMap<SocketAddr, Site>);

impl CrashSites {
    fn record(&mut self, now: Timestamp, addr: SocketAddr, life: Duration) {
        self.0.retain(|_, site| now < site.crashed + FORGET_AFTER);
        let before = self.0.get(&addr).map_or(0, |site| site.short_lives);
        let short_lives = if life < SHORT_LIFE { before + 1 } else { 0 };
        let crashed = now;
        self.0.insert(
            addr,
            Site {
                crashed,
                short_lives,
            },
        );
    }

    /// Until when a minion at this address gets no work.
    fn avoid_until(&self, addr: SocketAddr) -> Timestamp {
        let site = self.0.get(&addr).filter(|s| s.short_lives >= AVOID_FROM);
        site.map_or(Timestamp::ZERO, |site| {
            let doublings = (site.short_lives - AVOID_FROM).min(8);
            site.crashed + (AVOID_MIN * (1 << doublings)).min(AVOID_MAX)
        })
    }

    fn has_crashed_lately(&self, now: Timestamp, addr: SocketAddr) -> bool {
        let site = self.0.get(&addr);
        site.is_some_and(|site| now < site.crashed + AVOID_TRIALS_FOR)
    }
}

impl Dispatcher {
    /// Records that an incarnation has crashed; its successor may be known already.
    pub(super) fn record_crash_site(&mut self, now: Timestamp, crashed: &Minion) {
        let addr = crashed.report.addr;
        self.crash_sites.record(now, addr, crashed.lived());
        let until = self.crash_sites.avoid_until(addr);
        for number in self.by_addr.get(&addr).into_iter().flatten() {
            if let Some(minion) = self.minions.get_mut(number) {
                minion.avoid_until = until;
            }
        }
    }

    /// Until when a new incarnation at this address gets no work.
    pub(super) fn avoided_until(&self, addr: SocketAddr) -> Timestamp {
        self.crash_sites.avoid_until(addr)
    }

    /// Whether a task that may crash minions is rather tried elsewhere than on this one.
    pub(super) fn has_crashed_lately(&self, now: Timestamp, minion: &Minion) -> bool {
        self.crash_sites.has_crashed_lately(now, minion.report.addr)
    }
}
