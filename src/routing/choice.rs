//! Choice of a minion or peer among candidates, behind one trait so that baselines run beside it.

use rand::{Rng, RngExt};

/// One minion or peer that could take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Position in the chooser's list.
    pub index: usize,
    /// Requests it has in work.
    pub in_use: u32,
    /// Requests it may have in work.
    pub limit: u32,
    /// Whether it is in the entry host's own availability zone.
    pub local: bool,
}

/// A way to choose.
pub trait Choose {
    /// Picks one candidate; none when the list is empty.
    fn choose(&self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize>;
}

/// The local zone first, then the one with the smallest share of its slots in use.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastBusy;

/// Any candidate; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

/// The less busy of two random candidates; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoice;

impl Choose for LeastBusy {
    fn choose(&self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
        // Equal candidates are tried from a random start: with a fixed order all entry hosts
        // would pick the same peer at once.
        let len = candidates.len();
        let start = if len > 1 { rng.random_range(0..len) } else { 0 };
        (0..len)
            .map(|i| &candidates[(start + i) % len])
            .min_by_key(|c| (!c.local, share(c)))
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
        Some(if share(a) <= share(b) { a } else { b }.index)
    }
}

fn share(c: &Candidate) -> u64 {
    u64::from(c.in_use) * 1000 / u64::from(c.limit.max(1))
}
