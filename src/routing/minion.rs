//! Slots, held slots and health of one owned minion.

use std::time::Duration;

use crate::ids::Timestamp;
use crate::routing::latency::Latency;
use crate::routing::model::SlotReport;
use crate::wire::OwnedMinion;

/// Consecutive failures after which a reachable minion is ejected.
const EJECT_AFTER: u32 = 5;
/// Duration of the first ejection; each consecutive one is longer by the same amount.
const EJECT_STEP: Duration = Duration::from_secs(2);
/// Maximum duration of an ejection.
const EJECT_MAX: Duration = Duration::from_secs(30);
/// Initial backoff between probes of an unreachable minion, doubled on each failure.
const PROBE_FIRST: Duration = Duration::from_millis(100);
/// Maximum backoff between probes of an unreachable minion.
const PROBE_MAX: Duration = Duration::from_secs(2);
/// Interval between probes of a minion with held slots. A slot held for less than this when the
/// probe was sent is not released by it.
const HOLD_RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A minion gets fewer concurrent requests when its mean service time exceeds this multiple of the
/// service's mean.
const SLOW_FACTOR: u32 = 3;

/// Health of a minion, which decides whether it gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Reachable and not ejected.
    Up {
        /// Consecutive failures.
        failures: u32,
    },
    /// Unreachable; it gets no requests and is probed until a probe succeeds.
    Down {
        /// Delay before the probe that is scheduled; doubled when that one fails.
        backoff: Duration,
    },
    /// Reachable but failing; it gets no requests for a limited time.
    Ejected {
        /// When the trial starts.
        until: Timestamp,
        /// Consecutive ejections, this one included.
        ejections: u32,
    },
    /// After an ejection or an outage: one request at a time until one succeeds.
    Trial {
        /// Consecutive ejections before the trial; 0 after an outage.
        ejections: u32,
    },
}

/// A slot reserved for an abandoned request that the minion may still be processing.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldSlot {
    /// When the request was abandoned.
    since: Timestamp,
    /// When the slot is released without confirmation by the minion.
    until: Timestamp,
}

/// A minion owned by this entry host, or owned before and kept until its last request here ends.
#[derive(Clone, Debug)]
pub struct Minion {
    /// Announcement and ownership from the latest feed.
    pub(super) owned: OwnedMinion,
    /// Slots used by requests whose response this process awaits.
    pub(super) in_flight: u32,
    /// Slots reserved for abandoned requests that may still be running.
    pub(super) holds: Vec<HeldSlot>,
    /// Whether requests of an earlier owner may still be running, in unknown number. The minion
    /// gets no requests until a probe has answered.
    pub(super) settling: bool,
    /// Whether the latest feed names another owner or none.
    pub(super) disowned: bool,
    /// Whether the minion is drained and was reported to the control plane as released.
    pub(super) released: bool,
    pub(super) health: Health,
    pub(super) latency: Latency,
    pub(super) next_probe: Option<Timestamp>,
    slots: u32,
    /// Concurrent requests allowed; below `slots` while the minion is slow.
    concurrency: u32,
}

impl Minion {
    pub(super) fn new(owned: OwnedMinion, slots: u32) -> Self {
        Self {
            settling: owned.lapsed,
            owned,
            in_flight: 0,
            holds: Vec::new(),
            disowned: false,
            released: false,
            health: Health::Up { failures: 0 },
            latency: Latency::default(),
            next_probe: None,
            slots,
            concurrency: slots,
        }
    }

    /// Slots as announced by the minion or else declared by the service, at most its connections.
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Slots used or held: requests that are or may be running on the minion.
    pub fn in_use(&self) -> u32 {
        self.in_flight + self.holds.len() as u32
    }

    /// Requests that may run on the minion at once, given its health and ownership.
    pub fn limit(&self) -> u32 {
        let excluded = self.disowned || self.settling || self.owned.leaving || self.owned.release;
        match self.health {
            _ if excluded => 0,
            Health::Up { .. } => self.concurrency.min(self.slots),
            Health::Trial { .. } => 1,
            Health::Down { .. } | Health::Ejected { .. } => 0,
        }
    }

    /// Free slots, within the limit.
    pub fn free(&self) -> u32 {
        // Used and held slots count against the limit too: during a trial the limit is 1, however
        // many slots the minion has.
        let free_slots = self.slots.saturating_sub(self.in_use());
        free_slots.min(self.limit().saturating_sub(self.in_use()))
    }

    /// Health by the requests and probes of this entry host alone.
    pub const fn health(&self) -> Health {
        self.health
    }

    pub(super) fn resize(&mut self, slots: u32) {
        let unlimited = self.concurrency >= self.slots;
        self.slots = slots;
        if unlimited || self.concurrency > slots {
            self.concurrency = slots;
        }
    }

    /// Turns a used slot into a held one after its request was abandoned: the minion may still be
    /// processing it.
    pub(super) fn hold(&mut self, now: Timestamp, until: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.holds.push(HeldSlot { since: now, until });
        self.probe_by(now + HOLD_RECHECK_INTERVAL);
    }

    pub(super) fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Reduces the concurrency of a minion much slower than the service's mean, in proportion, and
    /// restores it as the minion recovers. Otherwise requests occupy the slots of a slow minion
    /// that faster ones could have completed.
    pub(super) fn limit_concurrency(&mut self, service_mean: Option<Duration>) {
        let (Some(own), Some(service)) = (self.latency.mean(), service_mean) else {
            return;
        };
        let allowed = service * SLOW_FACTOR;
        if own <= allowed {
            self.concurrency = self.slots;
            return;
        }
        let share = allowed.as_micros() * u128::from(self.slots) / own.as_micros().max(1);
        self.concurrency = u32::try_from(share)
            .unwrap_or(1)
            .clamp(1, self.slots.max(1));
    }

    pub(super) fn succeeded(&mut self) {
        if !matches!(self.health, Health::Down { .. }) {
            self.health = Health::Up { failures: 0 };
        }
    }

    /// Counts a failure; true when the minion should be ejected.
    pub(super) fn failed(&mut self) -> bool {
        match &mut self.health {
            Health::Up { failures } => {
                *failures += 1;
                *failures >= EJECT_AFTER
            }
            Health::Trial { .. } => true,
            Health::Down { .. } | Health::Ejected { .. } => false,
        }
    }

    pub(super) fn eject(&mut self, now: Timestamp) {
        let ejections = match self.health {
            Health::Trial { ejections } => ejections + 1,
            _ => 1,
        };
        let until = now + (EJECT_STEP * ejections).min(EJECT_MAX);
        self.health = Health::Ejected { until, ejections };
    }

    pub(super) fn unreachable(&mut self, now: Timestamp) {
        let backoff = match self.health {
            Health::Down { backoff } => (backoff * 2).min(PROBE_MAX),
            _ => PROBE_FIRST,
        };
        self.health = Health::Down { backoff };
        self.probe_by(now + backoff);
    }

    /// Handles the result of a probe. `hold` is how long slots stay held for requests of an earlier
    /// owner. A minion that doesn't report its slots in use has all of them held.
    pub(super) fn probed(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        report: Option<SlotReport>,
        hold: Duration,
    ) {
        let Some(report) = report else {
            self.unreachable(now);
            return;
        };
        if matches!(self.health, Health::Down { .. }) {
            self.health = Health::Trial { ejections: 0 };
        }
        if self.settling {
            let in_use = match report {
                SlotReport::InUse(n) => n,
                SlotReport::Unknown => self.slots,
            };
            let until = now + hold;
            self.holds
                .resize(in_use as usize, HeldSlot { since: now, until });
            self.settling = false;
        } else if let SlotReport::InUse(n) = report {
            self.release_finished_holds(sent, n);
        }
        if !self.holds.is_empty() {
            self.probe_by(now + HOLD_RECHECK_INTERVAL);
        }
    }

    /// Releases held slots beyond the number that the minion reports in use. A request abandoned
    /// just before the probe may still have been in transit and missing from that number, so its
    /// slot stays held.
    fn release_finished_holds(&mut self, sent: Timestamp, in_use: u32) {
        let mut counted = 0;
        self.holds.retain(|hold| {
            if hold.since + HOLD_RECHECK_INTERVAL > sent {
                return true;
            }
            counted += 1;
            counted <= in_use
        });
    }

    /// Releases expired held slots and turns an expired ejection into a trial.
    pub(super) fn tick(&mut self, now: Timestamp) {
        self.holds.retain(|hold| hold.until > now);
        if let Health::Ejected { until, ejections } = self.health
            && until <= now
        {
            self.health = Health::Trial { ejections };
        }
    }

    /// Whether a probe is due. If so, it is unscheduled: the caller must send it.
    pub(super) fn take_probe(&mut self, now: Timestamp) -> bool {
        if self.next_probe.is_some_and(|at| at <= now) {
            self.next_probe = None;
            return true;
        }
        false
    }

    pub(super) fn probe_by(&mut self, at: Timestamp) {
        self.next_probe = Some(self.next_probe.map_or(at, |old| old.min(at)));
    }
}
