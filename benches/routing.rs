//! Cost of the router's decisions, and its waiting against the shared queue and the baselines.
//!
//! `cargo bench --bench routing` prints a table of waiting times over the same arrivals, then
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
use routing_model::{Caller, World};
use yuccahold::document::{Document, QueuePriority, Service};
use yuccahold::routing::{
    AttemptEnd, Candidate, Choose, Effect, Event, LeastBusy, Origin, RandomChoice, Request, Router,
    RouterConfig, TwoChoice,
};
use yuccahold::wire::{Feed, MinionAnnouncement, OwnedMinion};

/// Mean service time of the simulated minions in seconds.
const SERVICE: f64 = 0.010;
/// Way between two hosts in seconds, as in the model. A slot is taken for the way there and back.
const HOP: f64 = 0.0005;
/// Span of the simulated load.
const SPAN: Duration = Duration::from_secs(20);

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

/// Waits of a first-come queue for each minion, with the choice made at arrival; one queue of
/// all slots gives the bound.
fn queued(seed: u64, minions: usize, slots: u32, load: f64, choose: &impl Choose) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rate = rate(minions, slots, load);
    // For each minion the times at which its slots are free, earliest first, in nanoseconds.
    let free = || {
        (0..slots)
            .map(|_| std::cmp::Reverse(0))
            .collect::<BinaryHeap<_>>()
    };
    let mut minions: Vec<_> = (0..minions).map(|_| free()).collect();
    let (mut now, mut waits) = (0.0, Vec::new());
    while now < SPAN.as_secs_f64() {
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
        let service = exponential(&mut rng, SERVICE);
        let held = service + 2.0 * HOP;
        slots.push(std::cmp::Reverse(start + (held * 1e9) as u64));
        waits.push((start - at) as f64 / 1e9 + HOP);
    }
    waits
}

/// A minion's work as a chooser sees it: slots taken, and the queue by its length in time.
fn candidate(index: usize, slots: &BinaryHeap<std::cmp::Reverse<u64>>, at: u64) -> Candidate {
    let work: u64 = slots.iter().map(|s| s.0.saturating_sub(at)).sum();
    let in_use = (work as f64 / 1e9 / SERVICE * 100.0) as u32;
    Candidate {
        index,
        in_use,
        limit: slots.len() as u32,
        local: true,
    }
}

/// Arrivals a second at a share of what the slots can do, the ways there and back included.
fn rate(minions: usize, slots: u32, load: f64) -> f64 {
    load * minions as f64 * f64::from(slots) / (SERVICE + 2.0 * HOP)
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -rng.random::<f64>().max(1e-12).ln() * mean
}

/// Waits in the model of seven entry hosts, with half a millisecond between hosts.
fn routed(seed: u64, minions: usize, slots: u32, load: f64) -> Vec<f64> {
    let mut world = World::new(seed, document(slots), 7, minions, slots);
    world.run(Duration::from_secs(2));
    let caller = Caller {
        key: 0,
        entry: 0,
        service: "desk",
        idempotent: true,
        deadline: Duration::from_secs(10),
    };
    let rate = rate(minions, slots, load);
    world.load(1, rate, SPAN, &caller);
    world.run(SPAN + Duration::from_secs(12));
    world.check(slots);
    world.waits.iter().map(Duration::as_secs_f64).collect()
}

fn row(name: &str, mut waits: Vec<f64>) {
    waits.sort_by(f64::total_cmp);
    let mean = waits.iter().sum::<f64>() / waits.len() as f64;
    let p99 = waits[waits.len() * 99 / 100];
    println!("{name:34} {:10.3} {:10.3}", mean * 1e3, p99 * 1e3);
}

/// Prints waits in milliseconds from arrival to start.
fn waiting(_: &mut Criterion) {
    for (minions, slots, load) in [(50, 8, 0.8), (14, 8, 0.8), (14, 8, 0.95), (7, 1, 0.8)] {
        println!("\n{minions} minions of {slots} slots at {load}: wait in ms, mean and p99");
        row(
            "one shared queue (bound)",
            queued(1, 1, slots * minions as u32, load, &LeastBusy),
        );
        row(
            "this router, seven entry hosts",
            routed(1, minions, slots, load),
        );
        row("two-choice", queued(1, minions, slots, load, &TwoChoice));
        row(
            "random choice",
            queued(1, minions, slots, load, &RandomChoice),
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

/// One request from arrival to its delivered answer, at an entry host that owns this many.
fn decisions(c: &mut Criterion) {
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

criterion_group!(benches, waiting, decisions);
criterion_main!(benches);
