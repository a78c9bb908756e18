//! Generators of the named traces.

use rand::RngExt;

use super::builder::{Builder, worker};
use super::profiles::{MASSFENSTER, Profile, TORRES, massfenster_kinds, teams, torres_kinds};
use super::trace::{Change, KindLine, Trace};
use crate::error::{Error, Result, Step};
use crate::resources::Resources;
use crate::workload::{Band, Spread, WorkClass};

/// Names and descriptions of the traces that can be generated.
pub const NAMES: [(&str, &str); 11] = [
    (
        "saturday",
        "Massfenster's Saturday with overnight cut plans",
    ),
    ("month-end", "Torres's month end"),
    ("zone-lost", "an availability zone lost at peak"),
    ("cancel-wave", "a wave of cancellations"),
    ("sizes-off", "declared sizes and run times off by ten"),
    ("bad-workers", "workers and jobs that fail everything"),
    (
        "crossing-gangs",
        "gangs that each hold what the other needs",
    ),
    ("full-urgent", "urgent work in a full cell"),
    ("quotas", "teams that lend and take back their quotas"),
    ("ninety", "quick work in a cell at 90% load"),
    (
        "large",
        "1,900 workers, 34,000 tasks, 1,100 starts a second",
    ),
];

/// Generates the trace `name` from a seed; fails if there is no trace of this name.
pub fn generate(name: &str, seed: u64) -> Result<Trace> {
    let make = match name {
        "saturday" => saturday,
        "month-end" => month_end,
        "zone-lost" => zone_lost,
        "cancel-wave" => cancel_wave,
        "sizes-off" => sizes_off,
        "bad-workers" => bad_workers,
        "crossing-gangs" => crossing_gangs,
        "full-urgent" => full_urgent,
        "quotas" => quotas,
        "ninety" => ninety,
        "large" => large,
        _ => {
            let known: Vec<&str> = NAMES.iter().map(|(name, _)| *name).collect();
            let what = format!("no trace is called {name}; known are {}", known.join(", "));
            return Err(Error::new(Step::Replay, what));
        }
    };
    Ok(make(seed))
}

fn massfenster(name: &str, seed: u64, until_s: u64) -> Builder {
    let mut b = Builder::new(name, seed, until_s, &MASSFENSTER);
    b.header.kinds = massfenster_kinds();
    b.header.teams = teams(&[("fitters", 400), ("workshop", 700), ("books", 100)]);
    b.workers(&MASSFENSTER);
    b.job(0, "massrechner", 24);
    b
}

fn torres(name: &str, seed: u64, until_s: u64) -> Builder {
    let mut b = Builder::new(name, seed, until_s, &TORRES);
    b.header.kinds = torres_kinds();
    b.header.teams = teams(&[("lease-desk", 200), ("structures", 800), ("rent", 300)]);
    b.workers(&TORRES);
    b.job(0, "leasedesk", 18);
    for _ in 0..40 {
        b.job(0, "watcher", 1);
    }
    b
}

/// Checks of high priority throughout, bursts of cut plans at normal and reconciliations at spare
/// priority.
fn saturday(seed: u64) -> Trace {
    let mut b = massfenster("saturday", seed, 900);
    b.poisson(1000..600_000, 1.2, "check", 1..=12);
    b.poisson(1000..600_000, 0.2, "photo", 1..=3);
    b.poisson(1000..200_000, 0.08, "cut-plan", 8..=24);
    for at in [200_000, 230_000, 260_000] {
        for _ in 0..14 {
            let n = b.rng.random_range(12..=36);
            b.job(at, "cut-plan", n);
        }
    }
    b.poisson(1000..400_000, 0.05, "reconcile", 10..=40);
    b.poisson(10_000..500_000, 0.03, "nesting", 4..=12);
    b.finish()
}

/// A backlog of reviews, payments and statements under a constant rate of site checks.
fn month_end(seed: u64) -> Trace {
    let mut b = torres("month-end", seed, 1200);
    b.poisson(1000..800_000, 1.0, "site-check", 1..=8);
    b.poisson(1000..500_000, 0.09, "review", 10..=40);
    b.poisson(60_000..400_000, 0.3, "payment", 5..=60);
    b.poisson(1000..500_000, 0.06, "statement", 10..=40);
    b.poisson(10_000..400_000, 0.02, "frame", 4..=10);
    b.finish()
}

/// Loss of an availability zone at peak load, then a failover of the leader, two workers that are
/// partitioned and return, and two drains.
fn zone_lost(seed: u64) -> Trace {
    let mut b = massfenster("zone-lost", seed, 900);
    b.poisson(1000..500_000, 1.0, "check", 1..=10);
    b.poisson(1000..300_000, 0.4, "cut-plan", 4..=16);
    b.poisson(1000..300_000, 0.04, "nesting", 4..=8);
    b.add(150_000, Change::LostZone("olten".into()));
    b.add(155_000, Change::Failover);
    let back_ms = 240_000;
    b.add(
        200_000,
        Change::Cut {
            worker: worker(0),
            back_ms,
        },
    );
    b.add(
        205_000,
        Change::Cut {
            worker: worker(4),
            back_ms: 209_000,
        },
    );
    for i in [5, 9] {
        b.add(
            260_000,
            Change::Drain {
                worker: worker(i),
                within_ms: 60_000,
            },
        );
    }
    b.add(400_000, Change::Undrain(worker(5)));
    b.finish()
}

/// Thousands of tasks, some of them running, are cancelled within two seconds.
fn cancel_wave(seed: u64) -> Trace {
    let mut b = massfenster("cancel-wave", seed, 400);
    b.poisson(1000..300_000, 1.0, "check", 1..=6);
    let mut jobs = Vec::new();
    for i in 0..300 {
        let n = b.rng.random_range(10..=60);
        jobs.push(b.job(5000 + i * 50, "reconcile", n).name);
    }
    for _ in 0..20 {
        b.job(30_000, "cut-plan", 10);
    }
    for (i, name) in jobs.into_iter().enumerate() {
        if i % 10 != 0 {
            let at = 60_000 + b.rng.random_range(0..2000);
            b.add(at, Change::Cancel(name));
        }
    }
    b.finish()
}

/// Tasks use up to ten times their declared resources or run up to ten times longer, two workers
/// report false usage, and three jobs can never run.
fn sizes_off(seed: u64) -> Trace {
    let mut b = torres("sizes-off", seed, 1800);
    let scale_by_halves = |r: Resources, n: u32| Resources {
        millicores: r.millicores * n / 2,
        memory_mb: r.memory_mb * n / 2,
        accelerators: 0,
    };
    for i in 0..120_u64 {
        let kind = ["review", "statement", "site-check"][(i % 3) as usize];
        let n = b.rng.random_range(2..=12);
        b.job(2000 + i * 2500, kind, n);
        let factor = [1, 2, 4, 20][(i % 4) as usize];
        let need = b.header.kinds[kind].need;
        let overruns = (i / 3).is_multiple_of(4);
        let scaled = scale_by_halves(
            need,
            if kind == "site-check" {
                factor
            } else {
                factor.min(4)
            },
        );
        b.change_last(|job| {
            job.true_use = Some(scaled);
            if overruns {
                job.true_run_ms = job.true_run_ms.map(|ms| (ms * 10).min(200_000));
            }
        });
    }
    let too_big = KindLine {
        need: Resources::new(40, 20_000, 0),
        ..b.header.kinds["review"].clone()
    };
    b.header.kinds.insert("too-wide".into(), too_big);
    b.job(30_000, "too-wide", 3);
    let missing_accelerator = KindLine {
        accelerator: Some("h200".into()),
        need: Resources::new(2, 4000, 1),
        ..b.header.kinds["review"].clone()
    };
    b.header
        .kinds
        .insert("too-rare".into(), missing_accelerator);
    b.job(31_000, "too-rare", 1);
    b.job(32_000, "frame", 500);
    b.add(
        1000,
        Change::Lies {
            worker: worker(3),
            percent: 1,
        },
    );
    b.add(
        1000,
        Change::Lies {
            worker: worker(7),
            percent: 5000,
        },
    );
    b.finish()
}

/// Three workers fail all runs for a while; one kind fails on every worker.
fn bad_workers(seed: u64) -> Trace {
    let mut b = massfenster("bad-workers", seed, 900);
    let plan = KindLine {
        idempotent: true,
        max_attempts: Some(4),
        ..b.header.kinds["cut-plan"].clone()
    };
    b.header.kinds.insert("draft".into(), plan.clone());
    b.header.kinds.insert("faulty".into(), plan);
    for i in [2, 11, 30] {
        b.add(20_000, Change::Breaks(worker(i)));
        b.add(300_000, Change::Mends(worker(i)));
    }
    b.poisson(1000..500_000, 0.8, "check", 1..=8);
    b.poisson(1000..400_000, 1.3, "draft", 1..=8);
    for i in 0..6 {
        b.job(60_000 + i * 20_000, "faulty", 3);
        b.change_last(|job| job.fails = true);
    }
    b.finish()
}

/// Pairs of gangs that each need half of the cell or more. If a gang held resources while it waits
/// for the rest, the others would deadlock; small jobs have to run meanwhile.
fn crossing_gangs(seed: u64) -> Trace {
    let mut b = torres("crossing-gangs", seed, 1200);
    b.poisson(1000..400_000, 0.5, "site-check", 1..=8);
    b.poisson(1000..400_000, 0.25, "payment", 2..=20);
    b.poisson(1000..300_000, 0.06, "review", 10..=30);
    for i in 0..6 {
        b.job(30_000 + i * 20_000, "frame", 48);
        b.job(30_100 + i * 20_000, "frame", 60);
    }
    b.add(100_000, Change::Refuse(7));
    b.add(140_000, Change::Lost(worker(6)));
    b.add(180_000, Change::Lost(worker(13)));
    b.finish()
}

/// Urgent jobs arrive in a cell full of jobs of which some can be checkpointed and some cannot.
fn full_urgent(seed: u64) -> Trace {
    let mut b = massfenster("full-urgent", seed, 600);
    for i in 0..40 {
        b.job(1000 + i * 10, "reconcile", 30);
    }
    for i in 0..20 {
        b.job(1000 + i * 10, "cut-plan", 20);
    }
    b.poisson(30_000..300_000, 0.3, "rush", 1..=6);
    b.job(150_000, "rush", 40);
    b.poisson(30_000..300_000, 0.5, "check", 1..=6);
    b.finish()
}

/// Three teams with a quota of a third each. One fills the cell alone; the others arrive later and
/// reclaim their quotas.
fn quotas(seed: u64) -> Trace {
    let mut b = Builder::new("quotas", seed, 900, &TORRES);
    b.workers(&TORRES);
    b.header.teams = teams(&[("north", 500), ("middle", 500), ("south", 500)]);
    for team in ["north", "middle", "south"] {
        let kind = KindLine {
            team: team.into(),
            need: Resources::new(4, 8000, 0),
            run_ms: 60_000,
            idempotent: true,
            checkpoint: true,
            ..KindLine::default()
        };
        b.header.kinds.insert(team.into(), kind);
    }
    for i in 0..80 {
        b.job(1000 + i * 100, "north", 60);
    }
    for i in 0..60 {
        b.job(90_000 + i * 100, "middle", 60);
        b.job(90_000 + i * 100, "south", 60);
    }
    b.finish()
}

/// Load of 90% of the cell, most of it from long jobs, with short checks in between. The load
/// without the checks is 86% and varies, so that the cell is full for part of the time.
fn ninety(seed: u64) -> Trace {
    let mut b = massfenster("ninety", seed, 1500);
    let total_cores = 1520.0_f64;
    // The 24 tasks of the service, of 4 cores each, run all the time.
    let batch_cores = total_cores * 0.86 - 96.0;
    // A task has 4 cores for 60 s times 0.9, the mean factor of the run time; a job has 30 tasks
    // on average.
    let per_task = 4.0 * 60.0 * 0.9;
    let rate = batch_cores / per_task / 30.0;
    b.poisson(0..1_200_000, rate, "cut-plan", 10..=50);
    b.poisson(60_000..1_200_000, 2.0, "check", 1..=20);
    b.poisson(60_000..1_200_000, 0.05, "rush", 1..=4);
    b.finish()
}

const LARGE: Profile = Profile {
    zones: &[
        "z01", "z02", "z03", "z04", "z05", "z06", "z07", "z08", "z09", "z10", "z11", "z12", "z13",
        "z14",
    ],
    workers: 1900,
    per_rack: 20,
    cores: 64,
    memory_mb: 256_000,
    old_every: 4,
    accelerated_every: 2,
    waiting_weight: 50,
};

/// The size that the scheduler is designed for: 160 teams, 34,000 tasks of which a fifth are
/// long-running, and 1,100 starts a second.
fn large(seed: u64) -> Trace {
    let mut b = Builder::new("large", seed, 60, &LARGE);
    b.workers(&LARGE);
    b.header.teams = (0..160)
        .map(|i| {
            let quota = Resources::new(600, 2_000_000, 0);
            let line = super::trace::TeamLine { quota, weight: 1 };
            (format!("team-{i:03}").into(), line)
        })
        .collect();
    let sizes = [(1, 4000), (2, 6000), (3, 16_000), (4, 8000)];
    for (i, (cores, memory)) in sizes.into_iter().enumerate() {
        for (class, band) in [
            (WorkClass::Batch, Band::Normal),
            (WorkClass::Service, Band::High),
        ] {
            let long = class == WorkClass::Service;
            let kind = KindLine {
                class,
                band,
                team: "team-000".into(),
                need: Resources::new(cores, memory, 0),
                run_ms: if long { 0 } else { 25_000 },
                idempotent: true,
                spread: if long { Spread::Zone } else { Spread::None },
                max_unavailable: 1,
                ..KindLine::default()
            };
            let name = if long { "service" } else { "batch" };
            b.header.kinds.insert(format!("{name}-{i}").into(), kind);
        }
    }
    for i in 0..340 {
        b.job(100, &format!("service-{}", i % 4), 20);
        b.change_last(|job| job.team = Some(format!("team-{:03}", i % 160).into()));
    }
    // 110 jobs a second of ten tasks on average, each for about 25 s, so 27,000 tasks run at once.
    for i in 0..6000_u64 {
        let n = b.rng.random_range(5..=15);
        b.job(1000 + i * 9, &format!("batch-{}", i % 4), n);
        let team = b.rng.random_range(0..160);
        b.change_last(|job| job.team = Some(format!("team-{team:03}").into()));
    }
    b.finish()
}
