//! One owned minion: its slots, what may still be in work there, and its health.

use std::time::Duration;

use crate::ids::Timestamp;
use crate::routing::latency::Latency;
use crate::routing::model::SlotReport;
use crate::wire::OwnedMinion;

/// Failures in a row after which a minion that answers is ejected.
const EJECT_AFTER: u32 = 5;
/// First ejection; each further one without a success between is longer by the same.
const EJECT_STEP: Duration = Duration::from_secs(2);
/// Longest ejection.
const EJECT_MAX: Duration = Duration::from_secs(30);
/// First wait between probes of a minion that can't be reached.
const PROBE_FIRST: Duration = Duration::from_millis(100);
/// Longest wait between probes.
const PROBE_MAX: Duration = Duration::from_secs(2);
/// Time between probes of a minion with held slots, and age at which a hold can be corrected.
const RECHECK: Duration = Duration::from_millis(200);
/// Times slower than the service's mean at which a minion gets fewer requests at once.
const SLOW_FACTOR: u32 = 3;

/// Whether a minion gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It works; failures in a row so far.
    Up {
        /// Failures in a row.
        failures: u32,
    },
    /// It can't be reached and is probed.
    Down {
        /// Time until the next probe after the one under way.
        backoff: Duration,
    },
    /// It answers but fails, and gets nothing until then.
    Ejected {
        /// When it gets a trial.
        until: Timestamp,
        /// Ejections in a row.
        strikes: u32,
    },
    /// It gets one request at a time until one succeeds.
    Trial {
        /// Ejections in a row.
        strikes: u32,
    },
}

/// A slot kept held for a request that nobody waits for but that may still be in work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    /// When it was given up.
    since: Timestamp,
    /// When the slot is free without the minion's word.
    until: Timestamp,
}

/// One minion this entry host owns, or owned until its last request there ends.
#[derive(Clone, Debug)]
pub struct Minion {
    /// What control says of it.
    pub(super) owned: OwnedMinion,
    /// Slots in use by requests of which this process waits for the answer.
    pub(super) in_flight: u32,
    /// Requests that may still be in work though nobody waits.
    pub(super) holds: Vec<Hold>,
    /// Whether it is unknown what an earlier owner left in work.
    pub(super) settling: bool,
    /// Whether control names another owner or none.
    pub(super) gone: bool,
    /// Whether control was told that it is drained.
    pub(super) released: bool,
    pub(super) health: Health,
    pub(super) latency: Latency,
    pub(super) next_probe: Option<Timestamp>,
    slots: u32,
    pace: u32,
}

impl Minion {
    pub(super) fn new(owned: OwnedMinion, slots: u32) -> Self {
        Self {
            settling: owned.lapsed,
            owned,
            in_flight: 0,
            holds: Vec::new(),
            gone: false,
            released: false,
            health: Health::Up { failures: 0 },
            latency: Latency::default(),
            next_probe: None,
            slots,
            pace: slots,
        }
    }

    /// Slots it has, by its word or the service's.
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Requests that are or may be in work there.
    pub fn in_use(&self) -> u32 {
        self.in_flight + self.holds.len() as u32
    }

    /// Requests it may have in work now.
    pub fn limit(&self) -> u32 {
        let closed = self.gone || self.settling || self.owned.leaving || self.owned.release;
        match self.health {
            _ if closed => 0,
            Health::Up { .. } => self.pace.min(self.slots),
            Health::Trial { .. } => 1,
            Health::Down { .. } | Health::Ejected { .. } => 0,
        }
    }

    /// Slots that take a request now.
    pub fn free(&self) -> u32 {
        // A trial is one request, whatever else is held: its limit is not the minion's size.
        let room = self.slots.saturating_sub(self.in_use());
        room.min(self.limit().saturating_sub(self.in_use()))
    }

    /// Its health.
    pub const fn health(&self) -> Health {
        self.health
    }

    pub(super) fn resize(&mut self, slots: u32) {
        let full_pace = self.pace >= self.slots;
        self.slots = slots;
        if full_pace || self.pace > slots {
            self.pace = slots;
        }
    }

    /// Keeps a slot held after its answer was given up: the minion may still work on it.
    pub(super) fn hold(&mut self, now: Timestamp, until: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.holds.push(Hold { since: now, until });
        self.probe_by(now + RECHECK);
    }

    pub(super) fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Fewer requests at once for a minion much slower than the others, in proportion; more
    /// again as it recovers. Without it a slow minion holds slots that others would turn over.
    pub(super) fn pace_against(&mut self, service_mean: Option<Duration>) {
        let (Some(own), Some(service)) = (self.latency.mean(), service_mean) else {
            return;
        };
        let allowed = service * SLOW_FACTOR;
        if own <= allowed {
            self.pace = self.slots;
            return;
        }
        let share = allowed.as_micros() * u128::from(self.slots) / own.as_micros().max(1);
        self.pace = u32::try_from(share)
            .unwrap_or(1)
            .clamp(1, self.slots.max(1));
    }

    pub(super) fn succeeded(&mut self) {
        if !matches!(self.health, Health::Down { .. }) {
            self.health = Health::Up { failures: 0 };
        }
    }

    /// Counts a failure; true when it is enough for ejection.
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
        let strikes = match self.health {
            Health::Trial { strikes } => strikes + 1,
            _ => 1,
        };
        let until = now + (EJECT_STEP * strikes).min(EJECT_MAX);
        self.health = Health::Ejected { until, strikes };
    }

    pub(super) fn unreachable(&mut self, now: Timestamp) {
        let backoff = match self.health {
            Health::Down { backoff } => (backoff * 2).min(PROBE_MAX),
            _ => PROBE_FIRST,
        };
        self.health = Health::Down { backoff };
        self.probe_by(now + backoff);
    }

    /// Takes in a probe's result. `hold` is how long to wait for what a minion that reports no
    /// slots may have in work for an earlier owner.
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
            self.health = Health::Trial { strikes: 0 };
        }
        if self.settling {
            let in_use = match report {
                SlotReport::InUse(n) => n,
                SlotReport::Silent => self.slots,
            };
            let until = now + hold;
            self.holds
                .resize(in_use as usize, Hold { since: now, until });
            self.settling = false;
        } else if let SlotReport::InUse(n) = report {
            self.correct(sent, n);
        }
        if !self.holds.is_empty() {
            self.probe_by(now + RECHECK);
        }
    }

    /// Frees held slots beyond what the minion has in work. A request given up only just before
    /// the probe may have been on its way and not in the count, so its slot stays held.
    fn correct(&mut self, sent: Timestamp, in_use: u32) {
        let mut counted = 0;
        self.holds.retain(|hold| {
            if hold.since + RECHECK > sent {
                return true;
            }
            counted += 1;
            counted <= in_use
        });
    }

    /// Lets time pass: holds end, ejections become trials.
    pub(super) fn tick(&mut self, now: Timestamp) {
        self.holds.retain(|hold| hold.until > now);
        if let Health::Ejected { until, strikes } = self.health
            && until <= now
        {
            self.health = Health::Trial { strikes };
        }
    }

    /// Whether a probe is due; it counts as sent.
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
