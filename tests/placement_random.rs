//! Invariants of placement, checked after every event of random histories.

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use yuccahold::placement::{FirstFit, Placer, RandomOfK, Scheduler};
use yuccahold::replay::{
    self, Change, FORMAT, Header, JobLine, KindLine, Line, Outcome, TeamLine, Trace, WorkerLine,
};
use yuccahold::resources::Resources;
use yuccahold::workload::{Band, MemberLoss, Spread, WorkClass};

/// Number of workers in the cell.
const WORKERS: u32 = 6;
/// Time after the last event within which all jobs have to end.
const TAIL_MS: u64 = 600_000;

/// A random event; the numbers are worker indices, milliseconds, counts or percentages.
#[derive(Clone, Debug)]
enum Op {
    Job {
        kind: u8,
        tasks: u32,
        size: u32,
        fails: bool,
    },
    Cancel(usize),
    Lost(u32),
    Cut(u32, u64),
    Drain(u32, u64),
    Undrain(u32),
    Breaks(u32),
    Mends(u32),
    Lies(u32, u32),
    Resize(u32),
    Refuse(u32),
    Weight(u32),
    Failover,
}

fn op() -> impl Strategy<Value = Op> {
    let worker = 0..WORKERS;
    prop_oneof![
        12 => (0..KINDS as u8, 1..6_u32, 1..30_u32, prop::bool::weighted(0.05))
            .prop_map(|(kind, tasks, size, fails)| Op::Job { kind, tasks, size, fails }),
        2 => (0..60_usize).prop_map(Op::Cancel),
        1 => worker.clone().prop_map(Op::Lost),
        1 => (worker.clone(), 500..30_000_u64).prop_map(|(w, ms)| Op::Cut(w, ms)),
        1 => (worker.clone(), 500..30_000_u64).prop_map(|(w, ms)| Op::Drain(w, ms)),
        1 => worker.clone().prop_map(Op::Undrain),
        1 => worker.clone().prop_map(Op::Breaks),
        1 => worker.clone().prop_map(Op::Mends),
        1 => (worker, 0..1000_u32).prop_map(|(w, p)| Op::Lies(w, p)),
        1 => (1..5_u32).prop_map(Op::Resize),
        1 => (1..4_u32).prop_map(Op::Refuse),
        1 => (0..=100_u32).prop_map(Op::Weight),
        1 => Just(Op::Failover),
    ]
}

const KINDS: usize = 10;

fn kinds() -> [KindLine; KINDS] {
    let kind = |class, band, cores, idempotent, checkpoint| KindLine {
        team: "a".into(),
        class,
        band,
        need: Resources::new(cores, cores * 2000, 0),
        run_ms: if class == WorkClass::Batch || class == WorkClass::Gang {
            8000
        } else {
            0
        },
        idempotent,
        checkpoint,
        max_unavailable: 1,
        ..KindLine::default()
    };
    let replaced = KindLine {
        on_member_loss: MemberLoss::Replace,
        ..kind(WorkClass::Gang, Band::Normal, 3, true, true)
    };
    let failing = KindLine {
        on_member_loss: MemberLoss::Fail,
        team: "b".into(),
        ..kind(WorkClass::Gang, Band::Normal, 2, true, false)
    };
    let spread = KindLine {
        spread: Spread::Worker,
        team: "b".into(),
        ..kind(WorkClass::Batch, Band::Normal, 2, true, false)
    };
    [
        kind(WorkClass::Batch, Band::Spare, 2, true, true),
        kind(WorkClass::Batch, Band::Normal, 4, false, false),
        spread,
        kind(WorkClass::Batch, Band::High, 1, true, false),
        kind(WorkClass::Batch, Band::Urgent, 4, true, false),
        kind(WorkClass::Gang, Band::Normal, 4, true, true),
        replaced,
        failing,
        kind(WorkClass::Watcher, Band::High, 1, false, true),
        kind(WorkClass::Service, Band::High, 1, true, false),
    ]
}

fn worker(i: u32) -> WorkerLine {
    WorkerLine {
        id: format!("w{i}").into(),
        zone: ["bern-a", "bern-b", "olten"][(i % 3) as usize].into(),
        rack: format!("r{}", i / 3).into(),
        capacity: Resources::new(8, 16_000, 0),
        accelerator: None,
    }
}

/// Turns random events into a trace. At the end every worker is repaired, up and not draining, and
/// long-running jobs are cancelled, so that all other jobs can end.
fn trace(ops: &[(u64, Op)]) -> Trace {
    let mut at_ms = 0;
    let mut lines: Vec<Line> = (0..WORKERS)
        .map(|i| Line {
            at_ms,
            change: Change::Worker(worker(i)),
        })
        .collect();
    let service = JobLine {
        name: "desk".into(),
        kind: "k9".into(),
        tasks: 3,
        ..JobLine::default()
    };
    lines.push(Line {
        at_ms,
        change: Change::Job(service),
    });
    for (n, (gap, op)) in ops.iter().enumerate() {
        at_ms += gap;
        lines.push(Line {
            at_ms,
            change: change(n, at_ms, op),
        });
    }
    at_ms += 40_000;
    for (n, (_, op)) in ops.iter().enumerate() {
        if matches!(op, Op::Job { kind: 8.., .. }) {
            let job = format!("j{n}").into();
            lines.push(Line {
                at_ms,
                change: Change::Cancel(job),
            });
        }
    }
    for i in 0..WORKERS {
        let id = worker(i).id;
        lines.push(Line {
            at_ms,
            change: Change::Mends(id.clone()),
        });
        lines.push(Line {
            at_ms,
            change: Change::Undrain(id),
        });
        lines.push(Line {
            at_ms,
            change: Change::Worker(worker(i)),
        });
    }
    let kinds = kinds().into_iter().enumerate();
    let quota = Resources::new(16, 32_000, 0);
    let team = TeamLine { quota, weight: 1 };
    Trace {
        header: Header {
            format: FORMAT,
            trace: "random".into(),
            until_ms: at_ms + TAIL_MS,
            waiting_weight: 50,
            teams: [("a".into(), team.clone()), ("b".into(), team)].into(),
            kinds: kinds
                .map(|(i, kind)| (format!("k{i}").into(), kind))
                .collect(),
            ..Header::default()
        },
        lines,
    }
}

fn change(n: usize, at_ms: u64, op: &Op) -> Change {
    let id = |i: u32| worker(i).id;
    match *op {
        Op::Job {
            kind,
            tasks,
            size,
            fails,
        } => {
            let use_of = &kinds()[kind as usize].need;
            let part = |r: u32| r / 10 * size;
            Change::Job(JobLine {
                name: format!("j{n}").into(),
                kind: format!("k{kind}").into(),
                tasks: if kind == 8 { 1 } else { tasks },
                team: None,
                true_run_ms: Some(u64::from(size) * 500),
                true_use: Some(Resources {
                    millicores: part(use_of.millicores),
                    memory_mb: part(use_of.memory_mb),
                    accelerators: 0,
                }),
                // A long-running job that always fails would never end.
                fails: fails && kind < 8,
            })
        }
        Op::Cancel(i) => Change::Cancel(format!("j{i}").into()),
        Op::Lost(i) => Change::Lost(id(i)),
        Op::Cut(i, ms) => Change::Cut {
            worker: id(i),
            back_ms: at_ms + ms,
        },
        Op::Drain(i, within_ms) => Change::Drain {
            worker: id(i),
            within_ms,
        },
        Op::Undrain(i) => Change::Undrain(id(i)),
        Op::Breaks(i) => Change::Breaks(id(i)),
        Op::Mends(i) => Change::Mends(id(i)),
        Op::Lies(i, percent) => Change::Lies {
            worker: id(i),
            percent,
        },
        Op::Resize(tasks) => Change::Resize {
            job: "desk".into(),
            tasks,
        },
        Op::Refuse(n) => Change::Refuse(n),
        Op::Weight(weight) => Change::Weight(weight),
        Op::Failover => Change::Failover,
    }
}

/// Replays random histories; panics with the invariants violated by the smallest failing one.
fn check_invariants<P: Placer>(
    cases: u32,
    make: impl Fn() -> P,
    all_jobs_end: bool,
    check_drains: bool,
) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, fixed_rng());
    let history = prop::collection::vec((0..4000_u64, op()), 1..60);
    let checked = runner.run(&history, |ops| {
        let trace = trace(&ops);
        let got = replay::run(&trace, &make).unwrap();
        let mut missed = Outcome::unbounded().missed(&got);
        missed.retain(|m| check_drains || !m.contains("was not empty"));
        prop_assert!(missed.is_empty(), "{missed:#?}");
        let ended = !all_jobs_end || got.unfinished == 0;
        prop_assert!(ended, "{} did not end: {:#?}", got.unfinished, got.reasons);
        Ok(())
    });
    if let Err(e) = checked {
        panic!("{e}");
    }
}

fn fixed_rng() -> proptest::test_runner::TestRng {
    let algorithm = proptest::test_runner::RngAlgorithm::ChaCha;
    proptest::test_runner::TestRng::from_seed(algorithm, &[17; 32])
}

// Workers fail, are partitioned, report false usage, fail their tasks and are drained; jobs of
// every class and band arrive and are cancelled; leaders change. No task may run twice, no worker
// be overcommitted and no gang run partially; drained workers are empty in time, and all jobs end.
#[test]
fn scheduler_invariants_hold_in_random_histories() {
    check_invariants(500, || Scheduler::new(3), true, true);
}

// The baselines have to follow the same rules for the comparison to be fair, except that they let
// runs on draining workers finish.
#[test]
fn baseline_invariants_hold_in_random_histories() {
    check_invariants(40, FirstFit::new, false, false);
    check_invariants(40, || RandomOfK::new(3, 2, 4), false, false);
}
