//! Load-balancing policies that select a minion or peer; baselines implement the same trait.

use rand::{Rng, RngExt};

/// A minion or peer with a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Position in the caller's list of minions or peers, returned when this one is selected.
    pub index: usize,
    /// Slots in use.
    pub in_use: u32,
    /// Slots that may be in use at once.
    pub limit: u32,
    /// Whether it is in the entry host's own availability zone.
    pub local: bool,
}

/// A load-balancing policy.
pub trait Choose {
    /// Returns the index of the selected candidate; none when the list is empty.
    fn choose(&self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize>;
}

/// Prefers the local availability zone, then the smallest share of slots in use.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastBusy;

/// A uniformly random candidate, as a baseline for benchmarks.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

/// The less busy of two random candidates, as a baseline for benchmarks.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoice;

impl Choose for LeastBusy {
    fn choose(&self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
        // The scan starts at a random position to break ties: with a fixed order all entry hosts
        // would pick the same peer at the same time.
        let len = candidates.len();
        let start = if len > 1 { rng.random_range(0..len) } else { 0 };
        (0..len)
            .map(|i| &candidates[(start + i) % len])
            .min_by_key(|c| (!c.local, utilization(c)))
            .map(|c| c.index)
    }
}

impl Choose for RandomChoice {
    fn choose(&self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[rng.random_range(0..candidates.len())].index)
    }
}

impl Choose for TwoChoice {
    fn choose(&self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let a = &candidates[rng.random_range(0..candidates.len())];
        let b = &candidates[rng.random_range(0..candidates.len())];
        Some(
            if utilization(a) <= utilization(b) {
                a
            } else {
                b
            }
            .index,
        )
    }
}

fn utilization(c: &Candidate) -> u64 {
    u64::from(c.in_use) * 1000 / u64::from(c.limit.max(1))
}
