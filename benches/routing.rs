//! Waiting times of requests with the router, one shared queue and baseline policies, and the CPU
//! time of one routing decision.
//!
//! `cargo bench --bench routing` prints a table of waiting times for the same arrival rates, then
//! the time of one decision.

#[allow(
    dead_code,
    reason = "the failures are injected by tests/routing_cell.rs"
)]
mod routing_model;

use std::collections::BinaryHeap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing_model::{Caller, Simulation};
use yuccahold::document::{Document, QueuePriority, Service};
use yuccahold::routing::{
    AttemptEnd, Candidate, Choose, Effect, Event, LeastBusy, Origin, RandomChoice, Request, Router,
    RouterConfig, TwoChoice,
};
use yuccahold::wire::{Feed, MinionAnnouncement, OwnedMinion};

/// Mean service time of the simulated minions in seconds.
const SERVICE_TIME_S: f64 = 0.010;
/// One-way network delay in seconds, as in the simulation. A slot is used for both ways.
const NETWORK_DELAY_S: f64 = 0.0005;
/// Duration of the simulated load.
const LOAD_DURATION: Duration = Duration::from_secs(20);

fn document(slots: u32) -> Document {
    let service = Service {
        deadline: Duration::from_secs(10),
        queue: 10_000,
        slots,
        connections: 64,
        body_limit: 1 << 20,
        ..Service::default()
    };
    let mut document = Document::default();
    document.services.insert("desk".into(), service);
    document
}

/// Waiting times with a FIFO queue for each minion, selected on arrival. With one minion that has
/// all slots, they are a lower bound.
fn waits_per_minion_queues(
    seed: u64,
    minions: usize,
    slots: u32,
    load: f64,
    choose: &impl Choose,
) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rate = arrival_rate(minions, slots, load);
    // For each minion, the times in nanoseconds at which its slots become free, earliest first.
    let free = || {
        (0..slots)
            .map(|_| std::cmp::Reverse(0))
            .collect::<BinaryHeap<_>>()
    };
    let mut minions: Vec<_> = (0..minions).map(|_| free()).collect();
    let (mut now, mut waits) = (0.0, Vec::new());
    while now < LOAD_DURATION.as_secs_f64() {
        now += exponential(&mut rng, 1.0 / rate);
        let at = (now * 1e9) as u64;
        let candidates: Vec<_> = minions
            .iter()
            .enumerate()
            .map(|(i, m)| candidate(i, m, at))
            .collect();
        let slots = &mut minions[choose.choose(&candidates, &mut rng).unwrap_or(0)];
        let start = slots
            .pop()
            .map_or(at, |s: std::cmp::Reverse<u64>| s.0.max(at));
        let service = exponential(&mut rng, SERVICE_TIME_S);
        let held = service + 2.0 * NETWORK_DELAY_S;
        slots.push(std::cmp::Reverse(start + (held * 1e9) as u64));
        waits.push((start - at) as f64 / 1e9 + NETWORK_DELAY_S);
    }
    waits
}

/// A minion as a candidate. Its remaining work, queue included, counts in hundredths of the mean
/// service time.
fn candidate(index: usize, slots: &BinaryHeap<std::cmp::Reverse<u64>>, at: u64) -> Candidate {
    let work: u64 = slots.iter().map(|s| s.0.saturating_sub(at)).sum();
    let in_use = (work as f64 / 1e9 / SERVICE_TIME_S * 100.0) as u32;
    Candidate {
        index,
        in_use,
        limit: slots.len() as u32,
        local: true,
    }
}

/// Arrivals per second at a share of the capacity of the slots, network delay included.
fn arrival_rate(minions: usize, slots: u32, load: f64) -> f64 {
    load * minions as f64 * f64::from(slots) / (SERVICE_TIME_S + 2.0 * NETWORK_DELAY_S)
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -rng.random::<f64>().max(1e-12).ln() * mean
}

/// Waiting times in the simulation of seven entry hosts with this router, with the same network
/// delay.
fn waits_with_router(seed: u64, minions: usize, slots: u32, load: f64) -> Vec<f64> {
    let mut sim = Simulation::new(seed, document(slots), 7, minions, slots);
    sim.run(Duration::from_secs(2));
    let caller = Caller {
        key: 0,
        entry: 0,
        service: "desk",
        idempotent: true,
        deadline: Duration::from_secs(10),
    };
    let rate = arrival_rate(minions, slots, load);
    sim.load(1, rate, LOAD_DURATION, &caller);
    sim.run(LOAD_DURATION + Duration::from_secs(12));
    sim.check_invariants(slots);
    sim.waits.iter().map(Duration::as_secs_f64).collect()
}

fn print_row(name: &str, mut waits: Vec<f64>) {
    waits.sort_by(f64::total_cmp);
    let mean = waits.iter().sum::<f64>() / waits.len() as f64;
    let p99 = waits[waits.len() * 99 / 100];
    println!("{name:34} {:10.3} {:10.3}", mean * 1e3, p99 * 1e3);
}

/// Prints mean and p99 of the time from arrival to start.
fn compare_waits(_: &mut Criterion) {
    for (minions, slots, load) in [(50, 8, 0.8), (14, 8, 0.8), (14, 8, 0.95), (7, 1, 0.8)] {
        println!("\n{minions} minions of {slots} slots at {load}: wait in ms, mean and p99");
        print_row(
            "one shared queue (bound)",
            waits_per_minion_queues(1, 1, slots * minions as u32, load, &LeastBusy),
        );
        print_row(
            "this router, seven entry hosts",
            waits_with_router(1, minions, slots, load),
        );
        print_row(
            "two-choice",
            waits_per_minion_queues(1, minions, slots, load, &TwoChoice),
        );
        print_row(
            "random choice",
            waits_per_minion_queues(1, minions, slots, load, &RandomChoice),
        );
    }
}

fn router(minions: usize) -> Router {
    let cfg = RouterConfig {
        entry: "entry-0".into(),
        zone: "zone-0".into(),
        seed: 1,
    };
    let mut router = Router::new(cfg, LeastBusy);
    let owned = |n: usize| OwnedMinion {
        minion: MinionAnnouncement {
            id: format!("minion-{n}").into(),
            process: 1,
            service: "desk".into(),
            addr: ([127, 0, 0, 1], 1).into(),
            zone: "zone-0".into(),
            slots: 8,
            connections: 64,
            ttl: Duration::from_secs(10),
        },
        owner: Some("entry-0".into()),
        epoch: 1,
        leaving: false,
        release: false,
        lapsed: false,
    };
    let feed = Feed {
        revision: 1,
        document: Some(Arc::new(document(8))),
        minions: (0..minions)
            .map(|n| (format!("minion-{n}").into(), owned(n)))
            .collect(),
        ..Feed::default()
    };
    let mut out = Vec::new();
    router.handle(Duration::ZERO, Event::Feed(Arc::new(feed)), &mut out);
    router.handle(
        Duration::ZERO,
        Event::Leased(Duration::from_secs(1 << 30)),
        &mut out,
    );
    router
}

/// Measures one request from arrival to delivery, by the number of minions the entry host owns.
fn route_request(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    for minions in [8, 1_000] {
        let mut router = router(minions);
        let (mut id, mut now, mut out) = (0, Duration::ZERO, Vec::new());
        group.bench_function(BenchmarkId::new("owned_minions", minions), |b| {
            b.iter(|| {
                id += 1;
                now += Duration::from_micros(100);
                let request = Request {
                    id,
                    service: "desk".into(),
                    team: "team".into(),
                    priority: QueuePriority::Normal,
                    arrived: now,
                    deadline: now + Duration::from_secs(1),
                    idempotent: true,
                    origin: Origin::Caller,
                };
                out.clear();
                router.handle(now, Event::Arrived(request), &mut out);
                let started = out.iter().find_map(|effect| match effect {
                    Effect::Start { attempt, .. } => Some(*attempt),
                    _ => None,
                });
                let end = AttemptEnd::Answered { failed: false };
                let attempt = started.expect("a slot is free");
                router.handle(now, Event::Ended { attempt, end }, &mut out);
                black_box(&out);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, compare_waits, route_request);
criterion_main!(benches);
