//! Start orders that are executed late, on minions that restart under their ids.

mod batch_world;

use std::time::Duration;

use batch_world::hosts::{Cell, Restart};
use batch_world::{JOB, ms, step};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use yuccahold::batch::model::JobId;

const PORTS: std::ops::Range<u16> = 1..7;

/// Guards against a task that runs twice because a restarted minion executes a late order for a run
/// that counts as over: it had confirmed that it would not start the run, the deadline of the run had
/// passed on its former clock, or the run had ended.
#[rstest]
#[case::a_minion_restarts_again(188)]
#[case::a_later_run_is_done(185)]
#[case::a_minion_restarts_once(208)]
#[case::a_run_is_given_up(209)]
#[case::the_run_itself_is_done(67)]
fn late_orders_run_nothing_twice_on_minions_that_restart(#[case] seed: u64) {
    assert_eq!(violations(seed), [""; 0]);
}

/// Plays 60 jobs while minions restart and execute orders late; returns what was violated.
fn violations(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cell = Cell::new(PORTS);
    cell.restart = Restart::SameName;
    cell.restart_delay = ms(100);
    for number in 0..60 {
        let job: JobId = JOB + number;
        let millicores = rng.random_range(1_000..12_000);
        cell.submit(job, vec![step(rng.random_range(1..=4), millicores)]);
        let port = rng.random_range(PORTS);
        match rng.random_range(0..4) {
            0 => drop(cell.start_delays.insert(port, random_delay(&mut rng))),
            1 => drop(cell.start_delays.remove(&port)),
            _ => cell.crash(port),
        }
        cell.run(ms(rng.random_range(20..200)));
    }
    cell.start_delays.clear();
    cell.run(ms(30_000));
    cell.violations
}

fn random_delay(rng: &mut ChaCha8Rng) -> Duration {
    ms(rng.random_range(500..3_000))
}
