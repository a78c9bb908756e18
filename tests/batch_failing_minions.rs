//! Minions that fail each run that they start, and tasks that fail by their own fault.

mod batch_world;

use std::time::Duration;

use batch_world::hosts::Cell;
use batch_world::{ms, step};
use rstest::rstest;
use yuccahold::batch::model::{JobId, JobState, StepSpec};

/// Minions of 32 cores each; the first one fails.
const PORTS: std::ops::Range<u16> = 1..7;
const FAULTY: u16 = 1;
const TASKS_PER_MINION: usize = 32;

/// One task on one core.
fn lone(estimate: Duration) -> StepSpec {
    StepSpec {
        estimate,
        ..step(1, 1_000)
    }
}

fn submit(cell: &mut Cell, jobs: std::ops::Range<JobId>, step: impl Fn(JobId) -> StepSpec) {
    for job in jobs {
        cell.submit(job, vec![step(job)]);
    }
}

/// A cell full of runs that end one after another over 3 to 12 s, and a stream of short jobs.
fn loaded() -> Cell {
    let mut cell = Cell::new(PORTS);
    submit(&mut cell, 1..193, |job| lone(ms(3_000 + job * 47 % 9_000)));
    cell.run(ms(2_900));
    cell
}

/// One task of 1 s every 10 ms.
fn run_with_short_jobs(cell: &mut Cell, first: JobId, span: Duration) {
    for job in first..first + span.as_millis() as u64 / 10 {
        submit(cell, job..job + 1, |_| lone(ms(1_000)));
        cell.run(ms(10));
    }
}

/// A minion fails all that it starts for 6 s while runs from before end as done there. Each of
/// these ends reset its count of failures, so it was given work all the time and used up the
/// attempts of jobs.
#[test]
fn ends_of_earlier_runs_do_not_hide_that_a_minion_fails_everything() {
    let mut cell = loaded();
    cell.failing.insert(FAULTY);
    run_with_short_jobs(&mut cell, 1_000, ms(6_000));
    let failed = cell.failed;
    cell.failing.clear();
    cell.run(ms(20_000));
    assert!((2..=8).contains(&failed), "it failed {failed} tasks");
    for job in (1..193).chain(1_000..1_600) {
        assert_eq!(cell.state(job), Some(JobState::Done), "job {job}");
    }
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// A task that fails by its own fault must not keep its minion from work: not at all after one
/// failure, and for the pause and one trial of 1 s after two.
#[rstest]
#[case(1, ms(100))]
#[case(2, ms(3_000))]
fn a_minion_is_soon_in_full_use_after_failures_of_a_task(
    #[case] failures: u32,
    #[case] within: Duration,
) {
    let mut cell = Cell::new(FAULTY..FAULTY + 1);
    cell.failing.insert(FAULTY);
    submit(&mut cell, 1..2, |_| lone(ms(60_000)));
    cell.run_until("failures", |cell| {
        cell.failed == failures && cell.runs_on(FAULTY) == 0
    });
    cell.failing.clear();
    // The leader learns of the last failure.
    cell.run(ms(20));
    submit(&mut cell, 2..100, |_| lone(ms(60_000)));
    let took = cell.run_until("full use", |cell| cell.runs_on(FAULTY) == TASKS_PER_MINION);
    assert!(took <= within, "full use after {took:?}");
}

/// A minion that recovers is in full use within 11 s: the longest pause of 8 s, and one trial, of
/// which the leader learns from a listing. The work that waits is long, so that the trial can't be
/// its end.
#[test]
fn a_minion_that_recovers_is_in_full_use_again_within_11_s() {
    let mut cell = loaded();
    cell.failing.insert(FAULTY);
    run_with_short_jobs(&mut cell, 1_000, ms(6_000));
    submit(&mut cell, 2_000..2_300, |_| lone(ms(60_000)));
    cell.failing.clear();
    let took = cell.run_until("full use", |cell| cell.runs_on(FAULTY) == TASKS_PER_MINION);
    assert!(took <= ms(11_000), "full use after {took:?}");
    assert_eq!(cell.violations, Vec::<String>::new());
}
