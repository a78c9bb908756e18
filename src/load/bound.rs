//! The least waiting that any router could reach over given arrivals, and simple routers to
//! compare with.

use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How a request finds its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// One queue for all servers, first come first served: the bound.
    Shared,
    /// Any server at random, with a queue of its own.
    Random,
    /// The one of two random servers that is free sooner.
    TwoChoice,
}

/// Gives the waiting of each request. `requests` are arrivals, by rising time, with the time
/// the work takes; `slots` is the number of requests worked on at once in all.
pub fn waiting(
    requests: &[(Duration, Duration)],
    slots: usize,
    choice: Choice,
    seed: u64,
) -> Vec<Duration> {
    match choice {
        Choice::Shared => shared(requests, slots),
        Choice::Random => apart(requests, slots, seed, |rng, _| rng.random_range(0..slots)),
        Choice::TwoChoice => apart(requests, slots, seed, |rng, free_at| {
            let (a, b) = (rng.random_range(0..slots), rng.random_range(0..slots));
            if free_at[a] <= free_at[b] { a } else { b }
        }),
    }
}

fn shared(requests: &[(Duration, Duration)], slots: usize) -> Vec<Duration> {
    let mut free_at: BinaryHeap<_> = vec![std::cmp::Reverse(Duration::ZERO); slots].into();
    let mut wait = |(at, work): &(Duration, Duration)| {
        let soonest = free_at.pop().map_or(Duration::ZERO, |free| free.0);
        let start = soonest.max(*at);
        free_at.push(std::cmp::Reverse(start + *work));
        start - *at
    };
    requests.iter().map(&mut wait).collect()
}

fn apart(
    requests: &[(Duration, Duration)],
    slots: usize,
    seed: u64,
    choose: impl Fn(&mut ChaCha8Rng, &[Duration]) -> usize,
) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut free_at = vec![Duration::ZERO; slots];
    let mut wait = |(at, work): &(Duration, Duration)| {
        let slot = choose(&mut rng, &free_at);
        let start = free_at[slot].max(*at);
        free_at[slot] = start + *work;
        start - *at
    };
    requests.iter().map(&mut wait).collect()
}
