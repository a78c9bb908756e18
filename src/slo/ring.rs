//! Event counts over time in ring buffers of buckets at four resolutions, of fixed total size.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Timestamp;

/// Numbers of events by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Answered or started in time.
    pub good: u64,
    /// Failed, refused or late.
    pub bad: u64,
    /// Outcome not known: the request or task may or may not have run.
    pub unknown: u64,
}

impl Counts {
    pub(crate) const GOOD: Self = Self::of(1, 0, 0);
    pub(crate) const BAD: Self = Self::of(0, 1, 0);
    pub(crate) const UNKNOWN: Self = Self::of(0, 0, 1);

    /// Creates counts from numbers of good, bad and unknown events.
    pub const fn of(good: u64, bad: u64, unknown: u64) -> Self {
        Self { good, bad, unknown }
    }

    /// Adds other counts to these.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.unknown += other.unknown;
    }

    /// Returns the number of all events.
    pub const fn total(&self) -> u64 {
        self.good + self.burned()
    }

    /// Returns the number of events that burn the error budget. Unknown outcomes count like bad
    /// ones.
    pub const fn burned(&self) -> u64 {
        self.bad + self.unknown
    }
}

/// Number of buckets of each ring and the objective's window divided by their width, finest first.
///
/// For a window of 30 days the buckets are 1 minute, 5 minutes, 1 hour and 12 hours wide, and the
/// rings cover 72 minutes, 7 hours, 74 hours and 30.5 days. So each span of an alert is covered by
/// a ring whose buckets are at most a fifth of the span.
const RINGS: [(usize, u32); 4] = [(72, 43_200), (84, 8_640), (74, 720), (61, 60)];

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Ring {
    /// Length of time that one bucket counts.
    width: Duration,
    /// Each bucket with its slot number; a bucket is reused when a newer slot maps to it.
    buckets: Vec<(u64, Counts)>,
}

impl Ring {
    fn new(len: usize, width: Duration) -> Self {
        Self {
            width,
            buckets: vec![(0, Counts::default()); len],
        }
    }

    /// Returns the slot number of a time: Unix time divided by the width.
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

    /// Sums the newest buckets that together cover at least `span`.
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

/// Event counts of one objective over its window.
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

    /// Sums the events of the last `span`, from the finest ring that covers it.
    pub(crate) fn sum(&self, now: Timestamp, span: Duration) -> Counts {
        let ring = self.rings.iter().find(|ring| ring.covers(span));
        let ring = ring.or(self.rings.last());
        ring.map(|ring| ring.sum(now, span)).unwrap_or_default()
    }

    /// Returns the buckets of the coarsest ring, oldest first, each with its start as Unix time.
    pub(crate) fn series(&self, now: Timestamp) -> Vec<(Timestamp, Counts)> {
        let Some(ring) = self.rings.last() else {
            return Vec::new();
        };
        let newest = ring.slot(now);
        let len = ring.buckets.len() as u64;
        let slots = newest.saturating_sub(len - 1)..=newest;
        let bucket = |slot: u64| {
            let (stored_slot, counts) = ring.buckets[(slot % len) as usize];
            let counts = if stored_slot == slot {
                counts
            } else {
                Counts::default()
            };
            (ring.width.mul_f64(slot as f64), counts)
        };
        slots.map(bucket).collect()
    }
}
