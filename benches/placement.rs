//! Decisions per second and time per decision at 50, 500 and 1,900 workers, for the scheduler and
//! both baselines. Each step ends one run in a cell that is 90% full, adds a job of one task and
//! calls `decide`; both events and the call are timed together.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahold::ids::WorkerId;
use yuccahold::placement::{Decision, Event, FirstFit, Placer, RandomOfK, Scheduler};
use yuccahold::resources::Resources;
use yuccahold::workload::{JobSpec, RunEnd, TaskRun, WorkerSpec};

/// Number of steps measured.
const STEPS: u32 = 30_000;
/// Number of tasks per worker that fill 90% of it.
const PER_WORKER: u32 = 18;
/// Number of teams that submit jobs.
const TEAMS: u32 = 160;

fn spec(name: String, tasks: u32, rng: &mut ChaCha8Rng) -> Arc<JobSpec> {
    let cores = rng.random_range(1..=4);
    Arc::new(JobSpec {
        name: name.into(),
        kind: format!("kind-{cores}").into(),
        team: format!("team-{}", rng.random_range(0..TEAMS)).into(),
        tasks,
        need: Resources::new(cores, cores * 3000, 0),
        run_time: Duration::from_secs(25),
        idempotent: true,
        max_attempts: 3,
        ..JobSpec::default()
    })
}

fn worker(i: u32) -> WorkerSpec {
    WorkerSpec {
        id: format!("w{i}").into(),
        zone: format!("z{}", i % 14).into(),
        rack: format!("r{}", i / 20).into(),
        capacity: Resources::new(if i.is_multiple_of(4) { 40 } else { 52 }, 200_000, 0),
        accelerator: None,
    }
}

fn collect_starts(out: &mut Vec<Decision>, runs: &mut Vec<(TaskRun, WorkerId)>) {
    runs.extend(out.drain(..).filter_map(|decision| match decision {
        Decision::Start { run, worker, .. } => Some((run, worker)),
        _ => None,
    }));
}

fn measure(name: &str, workers: u32, mut placer: impl Placer) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut now = Duration::from_secs(1000);
    let (mut out, mut runs) = (Vec::new(), Vec::new());
    for i in 0..workers {
        placer.apply(now, Event::WorkerUp(worker(i)));
    }
    for i in 0..workers * PER_WORKER / 10 {
        let spec = spec(format!("fill-{i}"), 10, &mut rng);
        placer.apply(now, Event::JobArrived { spec, at: now });
    }
    while {
        placer.decide(now, 4096, &mut out);
        !out.is_empty()
    } {
        collect_starts(&mut out, &mut runs);
    }
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3).expect("bounds");
    let (mut spent, mut starts) = (Duration::ZERO, 0_usize);
    for i in 0..STEPS {
        now += Duration::from_micros(900);
        let (run, worker) = runs.swap_remove(rng.random_range(0..runs.len()));
        let spec = spec(format!("job-{i}"), 1, &mut rng);
        let began = Instant::now();
        let end = RunEnd::Done;
        placer.apply(now, Event::RunEnded { run, worker, end });
        placer.apply(now, Event::JobArrived { spec, at: now });
        placer.decide(now, 4096, &mut out);
        let took = began.elapsed();
        spent += took;
        times.saturating_record(took.as_nanos() as u64);
        let before = runs.len();
        collect_starts(black_box(&mut out), &mut runs);
        starts += runs.len() - before;
    }
    let micros = |q| times.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "{name:<12} {workers:>5} workers {:>6} running {:>8.0} starts/s  p50 {:>7.1}  p99 {:>7.1}  p99.9 {:>7.1} us",
        runs.len(),
        starts as f64 / spent.as_secs_f64(),
        micros(0.5),
        micros(0.99),
        micros(0.999),
    );
}

fn main() {
    for workers in [50, 500, 1900] {
        measure("scheduler", workers, Scheduler::new(1));
        measure("first-fit", workers, FirstFit::new());
        measure("random-of-2", workers, RandomOfK::new(1, 2, 8));
    }
}
