//! Limits of workspaces under faults: changes of leader, crashes of minions, orders that are
//! carried out late, and lowered limits.

mod batch_world;

use std::ops::Range;
use std::time::Duration;

use batch_world::hosts::{Cell, Restart};
use batch_world::{checkpointed, gang, lasting, low_priority_queue, ms, queue, step};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahold::batch::ledger::Command;
use yuccahold::batch::model::{JobId, StepSpec};

const LENGTH: Duration = ms(30_000);
const SEEDS: Range<u64> = 1..31;
/// Range of limits, in cores. The largest task of the load takes 6.
const LIMITS: Range<u32> = 8..60;

fn draw_step(rng: &mut ChaCha8Rng) -> (bool, StepSpec) {
    let (count, need) = (rng.random_range(1..12), rng.random_range(500..6_000));
    match rng.random_range(0..8) {
        0 => (false, gang(count, need)),
        1 => (false, lasting(count.min(2), need)),
        2..=4 => (false, checkpointed(count, need)),
        _ => (true, step(count, need)),
    }
}

/// Runs one seed; returns the number of starts and the peak usage as a part of the highest limit.
fn run_seed(seed: u64) -> (usize, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cell = Cell::new(0..6);
    let mut limits = [40, 20];
    let mut set_limits = |cell: &mut Cell, version, workspace: usize, cores| {
        limits[workspace] = cores;
        cell.set_limits(version, &[("a", limits[0]), ("b", limits[1])]);
    };
    set_limits(&mut cell, 1, 0, 40);
    let (mut version, mut term, mut job): (u64, u64, JobId) = (1, 1, 100);
    let end = cell.world.now + LENGTH;
    while cell.world.now < end {
        match rng.random_range(0..40) {
            0 => {
                term += 1;
                cell.new_leader(term);
            }
            1 => {
                cell.restart = [Restart::NewName, Restart::SameName][rng.random_range(0..2)];
                cell.restart_delay = ms(rng.random_range(100..8_000));
                cell.crash(rng.random_range(0..6));
            }
            2 | 3 => {
                version += 1;
                let cores = rng.random_range(LIMITS);
                set_limits(&mut cell, version, rng.random_range(0..2), cores);
            }
            4 => cell.start_delay = ms(rng.random_range(300..3_000)),
            5 | 6 => cell.start_delay = Duration::ZERO,
            7 => cell.listing_delay = ms(rng.random_range(0..400)),
            8 if job > 100 => {
                let job = rng.random_range(100..job);
                cell.world.apply(&Command::Cancel { job });
            }
            9..22 => {
                let owner = ["a", "b"][rng.random_range(0..2)];
                let (urgent, spec) = draw_step(&mut rng);
                let queue = if urgent {
                    queue()
                } else {
                    low_priority_queue()
                };
                cell.submit_for(owner, job, queue, vec![spec]);
                job += 1;
            }
            _ => {}
        }
        cell.run(ms(rng.random_range(5..150)));
    }
    assert_eq!(cell.violations, [""; 0], "seed {seed}");
    let peak = cell
        .limits
        .peaks
        .values()
        .max()
        .copied()
        .unwrap_or_default();
    (
        cell.starts.len(),
        f64::from(peak) / f64::from(LIMITS.end * 1_000),
    )
}

/// Guards against workspaces whose active runs, as counted on the minions, exceed their limits.
#[test]
fn limits_hold_under_faults() {
    for seed in SEEDS {
        let (starts, used) = run_seed(seed);
        assert!(starts > 50 && used > 0.2, "seed {seed}: {starts}, {used}");
    }
}
