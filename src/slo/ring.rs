//! Event counts over time in a fixed number of buckets at four widths.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Timestamp;

/// Events by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// In time.
    pub good: u64,
    /// Failed, refused or late.
    pub bad: u64,
    /// May have run.
    pub unknown: u64,
}

impl Counts {
    pub(crate) const GOOD: Self = Self::of(1, 0, 0);
    pub(crate) const BAD: Self = Self::of(0, 1, 0);
    pub(crate) const UNKNOWN: Self = Self::of(0, 0, 1);

    /// Counts from their numbers.
    pub const fn of(good: u64, bad: u64, unknown: u64) -> Self {
        Self { good, bad, unknown }
    }

    /// Adds another's numbers.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.unknown += other.unknown;
    }

    /// All events.
    pub const fn total(&self) -> u64 {
        self.good + self.burned()
    }

    /// Events that take from the error budget: an unknown outcome is no better than a bad one.
    pub const fn burned(&self) -> u64 {
        self.bad + self.unknown
    }
}

/// Number and share of the objective's window of each ring's buckets, finest first.
///
/// For a window of 30 days they are 1 minute, 5 minutes, 1 hour and 12 hours wide, and cover
/// 72 minutes, 7 hours, 74 hours and 30.5 days: each span of an alert is covered by a ring whose
/// buckets are at most a fifth of it.
const RINGS: [(usize, u32); 4] = [(72, 43_200), (84, 8_640), (74, 720), (61, 60)];

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Ring {
    width: Duration,
    buckets: Vec<(u64, Counts)>,
}

impl Ring {
    fn new(len: usize, width: Duration) -> Self {
        Self {
            width,
            buckets: vec![(0, Counts::default()); len],
        }
    }

    fn slot(&self, at: Timestamp) -> u64 {
        (at.as_nanos() / self.width.as_nanos().max(1)) as u64
    }

    fn add(&mut self, at: Timestamp, counts: &Counts) {
        let slot = self.slot(at);
        let len = self.buckets.len() as u64;
        let bucket = &mut self.buckets[(slot % len) as usize];
        if bucket.0 != slot {
            *bucket = (slot, Counts::default());
        }
        bucket.1.add(counts);
    }

    fn covers(&self, span: Duration) -> bool {
        self.width * (self.buckets.len() as u32 - 1) >= span
    }

    /// Sums the newest buckets that together span at least `span`.
    fn sum(&self, now: Timestamp, span: Duration) -> Counts {
        let newest = self.slot(now);
        let oldest = self.slot(now.saturating_sub(span));
        let mut sum = Counts::default();
        for (slot, counts) in &self.buckets {
            if (oldest..=newest).contains(slot) {
                sum.add(counts);
            }
        }
        sum
    }
}

/// Counts of one objective over its window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct History {
    rings: Vec<Ring>,
}

impl History {
    pub(crate) fn new(window: Duration) -> Self {
        let ring = |(len, parts)| Ring::new(len, window / parts);
        Self {
            rings: RINGS.into_iter().map(ring).collect(),
        }
    }

    pub(crate) fn add(&mut self, at: Timestamp, counts: &Counts) {
        for ring in &mut self.rings {
            ring.add(at, counts);
        }
    }

    /// Sums the last `span` from the finest ring that covers it.
    pub(crate) fn sum(&self, now: Timestamp, span: Duration) -> Counts {
        let ring = self.rings.iter().find(|ring| ring.covers(span));
        let ring = ring.or(self.rings.last());
        ring.map(|ring| ring.sum(now, span)).unwrap_or_default()
    }

    /// Gives the coarsest buckets of the window, oldest first, each with its start.
    pub(crate) fn series(&self, now: Timestamp) -> Vec<(Timestamp, Counts)> {
        let Some(ring) = self.rings.last() else {
            return Vec::new();
        };
        let newest = ring.slot(now);
        let len = ring.buckets.len() as u64;
        let slots = newest.saturating_sub(len - 1)..=newest;
        let bucket = |slot: u64| {
            let (held, counts) = ring.buckets[(slot % len) as usize];
            let counts = if held == slot {
                counts
            } else {
                Counts::default()
            };
            (ring.width.mul_f64(slot as f64), counts)
        };
        slots.map(bucket).collect()
    }
}
