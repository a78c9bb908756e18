//! Minions that crash again and again by a cause of their own, under tasks that all work.

mod batch_world;

use batch_world::hosts::Cell;
use batch_world::{JOB, first_step, lasting, ms, step};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use yuccahold::batch::model::{JobId, JobState, StepSpec};

const MINIONS: u16 = 24;
const CRASHES: usize = 240;
/// Longest time between two crashes: each minion crashes once in 4 s on average.
const CRASH_WITHIN: u64 = 330;
/// Most starts of a task that crashes its minions.
const MOST_STARTS: u32 = 5;

/// Crashes minions that are drawn at random, with jobs of lasting, short and longer tasks. Returns
/// the jobs.
fn crash_at_a_high_rate(cell: &mut Cell, seed: u64) -> Vec<JobId> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    cell.restart_delay = ms(450);
    let kinds = [ms(1_000), ms(4_000)].map(|estimate| StepSpec {
        estimate,
        ..step(4, 2_500)
    });
    let mut jobs: Vec<JobId> = (0..36).map(|i| JOB + i).collect();
    for job in &jobs {
        cell.submit(*job, vec![lasting(8, 1_000)]);
    }
    cell.run(ms(2_000));
    let ports: Vec<u16> = (1..=MINIONS).collect();
    for kind in kinds.iter().cycle().take(CRASHES) {
        cell.crash(*ports.choose(&mut rng).expect("a port"));
        let job = JOB + jobs.len() as u64;
        cell.submit(job, vec![kind.clone()]);
        jobs.push(job);
        cell.run(ms(rng.random_range(0..=CRASH_WITHIN)));
    }
    cell.run(ms(20_000));
    jobs
}

/// Guards against jobs that are failed although their tasks crashed nothing: runs that were started
/// again shortly before the next crash of their minions counted as the cause, four times in a row.
#[rstest]
fn no_job_is_failed_by_crashes_with_another_cause(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cell = Cell::new(1..MINIONS + 1);
    let jobs = crash_at_a_high_rate(&mut cell, seed);
    let failed: Vec<_> = jobs
        .into_iter()
        .filter(|job| cell.state(*job) == Some(JobState::Failed))
        .collect();
    assert_eq!(failed, [0; 0]);
}

/// Guards against a task that crashes its minions and is started without end because other crashes
/// hide its own.
#[rstest]
fn a_crashing_task_is_given_up_among_crashes_with_another_cause(#[values(7, 8, 9)] seed: u64) {
    let mut cell = Cell::new(1..MINIONS + 1);
    let crashing: Vec<JobId> = (0..4).map(|i| JOB + 40 + 10 * i).collect();
    for job in &crashing {
        cell.crashers.insert(first_step(*job).task(1));
    }
    crash_at_a_high_rate(&mut cell, seed);
    for job in crashing {
        assert_eq!(cell.state(job), Some(JobState::Failed));
        assert!(cell.starts[&first_step(job).task(1)] <= MOST_STARTS);
    }
}
