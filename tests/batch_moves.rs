//! Runs on minions that leave: moved in time, and never run twice while departures, crashes and cuts
//! overlap.

mod batch_world;

use std::time::Duration;

use batch_world::hosts::{Cell, Cut};
use batch_world::{JOB, World, config, draining, first_step, gang, lasting, listed, ms, step};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use yuccahold::batch::dispatch::{DispatchConfig, ListedRun, StartOrder};
use yuccahold::batch::model::{EndKind, JobState, MinionNumber, MinionReport, Readiness, StepSpec};

fn long_leases() -> DispatchConfig {
    DispatchConfig {
        lease_max: ms(10_000),
        stop_time: ms(900),
        ..config()
    }
}

/// Time that a minion says it stays when it reports that it drains.
const STAY: Duration = ms(6_000);

fn draining_for(id: &str, port: u16, left: Duration) -> MinionReport {
    MinionReport {
        readiness: Readiness::Draining {
            remaining: Some(left),
        },
        ..draining(id, port)
    }
}

/// Lists a run as at work every 100 ms, for a while or until its work is done, which takes
/// `estimate`. Returns when it was told to stop.
fn times_of_stops(
    world: &mut World,
    minion: MinionNumber,
    start: &StartOrder,
    (began, estimate): (Duration, Duration),
    span: Duration,
) -> Vec<Duration> {
    let until = (world.now + span).min(began + estimate - ms(100));
    let mut stopped = Vec::new();
    while world.now < until {
        world.advance(ms(100));
        let done = (world.now - began).as_secs_f64() / estimate.as_secs_f64();
        let run = ListedRun {
            percent: (done * 100.0) as u32,
            ..listed(start)
        };
        world.list(minion, vec![run], Vec::new());
        let stops = world.take_stops();
        stopped.extend(stops.iter().map(|_| world.now));
    }
    stopped
}

fn saving(step: StepSpec) -> StepSpec {
    StepSpec {
        saves_progress: true,
        ..step
    }
}

fn taking(estimate: Duration) -> StepSpec {
    StepSpec {
        estimate,
        ..step(1, 1_000)
    }
}

/// The tasks of a minion that ended as announced were down until its lease was over, although it had
/// said when it would end.
#[rstest]
#[case::lasting(StepSpec { estimate: ms(60_000), ..lasting(1, 1_000) }, true)]
#[case::saves_progress(saving(taking(ms(60_000))), true)]
#[case::loses_its_work(taking(ms(60_000)), false)]
#[case::ends_in_time(saving(taking(ms(7_000))), false)]
#[case::gang(saving(StepSpec { estimate: ms(60_000), ..gang(1, 1_000) }), false)]
fn runs_that_lose_nothing_are_stopped_before_their_minion_ends(
    #[case] spec: StepSpec,
    #[case] is_moved: bool,
) {
    let mut world = World::with(long_leases());
    let minion = world.join("i-1", 1);
    let estimate = spec.estimate;
    world.submit(JOB, vec![spec]);
    let work = (world.now, estimate);
    let (_, start) = world.start_all().remove(0);
    let early = times_of_stops(&mut world, minion, &start, work, ms(2_000));
    assert!(early.is_empty(), "stopped at {early:?}");
    let end = world.now + STAY;
    world.leader.report(world.now, draining_for("i-1", 1, STAY));
    let stopped = times_of_stops(&mut world, minion, &start, work, STAY);
    assert_eq!(!stopped.is_empty(), is_moved, "{stopped:?}");
    for at in stopped {
        assert!(at + long_leases().stop_time < end, "at {at:?} of {end:?}");
        assert!(at + STAY / 2 > end, "at {at:?} of {end:?}");
    }
}

/// A run that was stopped before its minion ended starts elsewhere once the minion lists its end.
#[test]
fn a_moved_task_starts_elsewhere_when_its_stop_is_listed() {
    let mut world = World::with(long_leases());
    let minion = world.join("i-1", 1);
    world.submit(JOB, vec![lasting(1, 1_000)]);
    let (_, start) = world.start_all().remove(0);
    world.join("i-2", 2);
    world
        .leader
        .report(world.now, draining_for("i-1", 1, ms(500)));
    world.list(minion, vec![listed(&start)], Vec::new());
    assert_eq!(world.take_stops().len(), 1);
    assert_eq!(world.take_starts(), []);
    world.end(minion, 1, &start, EndKind::Stopped);
    assert_eq!(world.take_starts().len(), 1);
}

/// Plays jobs while minions leave, crash and are cut off in all ways, and late reports of former
/// incarnations arrive; all are connected again at the end.
fn play_departures(seed: u64) -> Cell {
    let ports = 1..9;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cell = Cell::new(ports.clone());
    let mut former = Vec::new();
    for i in 0..40 {
        let millicores = rng.random_range(500..6_000);
        let step = match i % 3 {
            0 => lasting(2, millicores),
            _ => saving(step(rng.random_range(1..6), millicores)),
        };
        cell.submit(JOB + i, vec![step]);
        let port = rng.random_range(ports.clone());
        match rng.random_range(0..10) {
            0 | 1 => {
                let stay = ms(rng.random_range(500..4_000));
                cell.leave(port, stay, ms(rng.random_range(1_000..5_000)));
            }
            2 => {
                former.extend(cell.report_of(port));
                cell.crash(port);
            }
            3 => cell.cut_by(port, Cut::Silent),
            4 => cell.cut_by(port, Cut::OneWay),
            5 => cell.cut_by(port, Cut::Refusing),
            6 => ports.clone().for_each(|port| cell.reconnect(port)),
            7 => former
                .drain(..)
                .for_each(|report| cell.repeat_report(report)),
            _ => {}
        }
        cell.run(ms(rng.random_range(100..1_200)));
    }
    ports.for_each(|port| cell.reconnect(port));
    cell.run(ms(60_000));
    cell
}

/// Guards against two runs of a task at once, and against tasks that are never started again, while
/// departures, crashes and cuts overlap.
#[test]
fn departures_behind_cuts_run_nothing_twice_and_lose_nothing() {
    for seed in 1..=60 {
        let cell = play_departures(seed);
        assert_eq!(cell.violations, [""; 0], "seed {seed}");
        for i in 0..40 {
            let state = cell.state(JOB + i);
            let is_at_work = |n| !cell.ports_of(first_step(JOB + i).task(n)).is_empty();
            match i % 3 {
                0 => assert!((0..2).all(is_at_work), "seed {seed}, job {i}: {state:?}"),
                _ => assert_eq!(state, Some(JobState::Done), "seed {seed}, job {i}"),
            }
        }
    }
}
