//! Order of service and preemption in a full cell, and the effect of measured run times and
//! failures on placement.

mod batch_world;

use batch_world::{JOB, World, checkpointed, lasting, ms, step};
use yuccahold::batch::dispatch::ListedEnd;
use yuccahold::batch::model::{EndKind, MinionNumber, Queue, StepSpec};

fn low_priority_queue() -> Queue {
    Queue {
        slo: ms(1200),
        slo_multiple: 2.2,
        ..batch_world::low_priority_queue()
    }
}

/// A burst of urgent checks arrives while the cell is full of plans. Plans that write checkpoints
/// are preempted and the checks start in their place; plans that would lose their work continue.
#[test]
fn urgent_work_takes_the_room_of_work_that_saves_its_progress() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    let unsaved = StepSpec {
        saves_progress: false,
        ..checkpointed(1, 16_000)
    };
    world.submit_to(1, low_priority_queue(), vec![checkpointed(1, 16_000)]);
    world.submit_to(2, low_priority_queue(), vec![unsaved]);
    world.start_all();
    world.submit(3, vec![step(1, 8_000)]);
    let stops = world.take_stops();
    let stopped: Vec<_> = stops.iter().map(|(_, task, _)| task.step.job).collect();
    assert_eq!((stopped, world.take_starts().len()), (vec![1], 0));

    let (_, task, run) = stops[0];
    world.list(
        minion,
        Vec::new(),
        vec![ListedEnd {
            number: 1,
            task,
            run,
            kind: EndKind::Stopped,
            checkpoint: "saved".into(),
        }],
    );
    let started: Vec<_> = world
        .take_starts()
        .iter()
        .map(|(_, s)| s.task.step.job)
        .collect();
    assert_eq!(started, [3]);
    assert_eq!(
        world.ledger.task(task).map(|t| t.checkpoint.as_str()),
        Some("saved")
    );
}

/// The load exceeds the capacity. A check that is already late must not go before one that can
/// still be in time: then both would be late.
#[test]
fn work_that_can_be_in_time_goes_before_work_that_is_late() {
    let mut world = World::new();
    world.submit(1, vec![step(1, 32_000)]);
    world.advance(ms(2_000));
    world.submit(2, vec![step(1, 32_000)]);
    world.join("i-1", 1);
    let started: Vec<_> = world
        .take_starts()
        .iter()
        .map(|(_, s)| s.task.step.job)
        .collect();
    assert_eq!(started, [2]);
}

/// One of two minions takes twice as long. After some runs the leader prefers the fast one for
/// urgent work, although both have free resources.
#[test]
fn urgent_work_goes_to_the_minion_that_proved_fast() {
    let mut world = World::new();
    let slow = world.join("i-slow", 1);
    let fast = world.join("i-fast", 2);
    let mut numbers = [0, 0];
    for round in 0..12 {
        // Each task takes a whole minion, so both run one.
        world.submit(100 + round, vec![step(2, 32_000)]);
        let starts = world.start_all();
        assert_eq!(starts.len(), 2);
        world.take_holds();
        world.advance(ms(500));
        for (minion, factor) in [(fast, 0), (slow, 1)] {
            world.now += ms(500 * factor);
            let (_, start) = starts.iter().find(|(m, _)| *m == minion).expect("one each");
            numbers[factor as usize] += 1;
            world.end(minion, numbers[factor as usize], start, EndKind::Done);
        }
        world.advance(ms(100));
    }
    world.submit(999, vec![step(1, 1_000)]);
    let chosen: Vec<_> = world.take_starts().iter().map(|(m, _)| *m).collect();
    assert_eq!(chosen, [fast]);
}

/// A plan that takes a whole minion.
fn plan(declared: u64) -> StepSpec {
    StepSpec {
        estimate: ms(declared),
        ..step(1, 32_000)
    }
}

/// A minion on which 24 plans were run: each took six seconds, whatever it had declared.
fn world_with_six_second_plans() -> (World, MinionNumber) {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    for (i, declared) in [600, 12_000, 900, 10_000]
        .iter()
        .cycle()
        .take(24)
        .enumerate()
    {
        let number = i as u64 + 1;
        world.submit_to(number, low_priority_queue(), vec![plan(*declared)]);
        let (_, start) = world.start_all().pop().expect("there is room");
        world.take_holds();
        world.advance(ms(6_000));
        world.end(minion, number, &start, EndKind::Done);
        world.advance(ms(100));
    }
    (world, minion)
}

/// Declared times of plans are inaccurate: most take 6 s, whatever they declare. By its declared
/// time, a plan that declares a tenth of that would be late a second after its submission. It must
/// not be ordered behind later plans, or it would wait as long as new ones are submitted.
#[test]
fn a_job_that_declares_far_too_little_does_not_count_as_late() {
    let (mut world, minion) = world_with_six_second_plans();
    world.submit_to(101, low_priority_queue(), vec![plan(12_000)]);
    let (_, running) = world.start_all().pop().expect("there is room");
    world.submit_to(102, low_priority_queue(), vec![plan(600)]);
    world.advance(ms(4_000));
    world.submit_to(103, low_priority_queue(), vec![plan(5_000)]);
    world.take_holds();
    world.end(minion, 25, &running, EndKind::Done);
    let next: Vec<_> = world
        .take_starts()
        .iter()
        .map(|(_, s)| s.task.step.job)
        .collect();
    assert_eq!(next, [102]);
}

/// Declared times of plans are inaccurate, and one plan declares seven times what all of them take.
/// By its declared time it would be due long after later plans, and wait as long as new ones are
/// submitted. It must run before them.
#[test]
fn a_job_that_declares_far_too_much_is_not_put_behind_all_others() {
    let (mut world, minion) = world_with_six_second_plans();
    world.submit_to(101, low_priority_queue(), vec![plan(6_000)]);
    let (_, running) = world.start_all().pop().expect("there is room");
    world.submit_to(102, low_priority_queue(), vec![plan(43_000)]);
    world.advance(ms(2_000));
    world.submit_to(103, low_priority_queue(), vec![plan(3_000)]);
    world.take_holds();
    world.end(minion, 25, &running, EndKind::Done);
    let started: Vec<_> = world
        .take_starts()
        .iter()
        .map(|(_, s)| s.task.step.job)
        .collect();
    assert_eq!(started, [102]);
}

/// A job of two tasks declares a tenth of their run time, and only one fits at a time. After the
/// first has ended, its run time replaces the declared one, so the job doesn't count as late and
/// goes before a plan that was submitted later.
#[test]
fn lateness_of_a_job_uses_the_run_times_of_its_own_tasks() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    let long = StepSpec {
        estimate: ms(600),
        ..step(2, 32_000)
    };
    world.submit_to(1, low_priority_queue(), vec![long]);
    let (_, first) = world.start_all().pop().expect("there is room");
    world.advance(ms(5_900));
    let later = StepSpec {
        estimate: ms(30_000),
        ..step(1, 32_000)
    };
    world.submit_to(2, low_priority_queue(), vec![later]);
    world.take_holds();
    world.advance(ms(100));
    world.end(minion, 1, &first, EndKind::Done);
    let started: Vec<_> = world
        .take_starts()
        .iter()
        .map(|(_, s)| s.task.step.job)
        .collect();
    assert_eq!(started, [1]);
}

/// A lasting task fails by its own fault once a minute, on the only minion that may run it. It has
/// worked each time, so the minion is healthy and the task must restart at once. Its failures were
/// added up without end, because only a completed run reset the count: from the third failure on
/// the task was down for 2, 4 and then 8 s.
#[test]
fn a_lasting_task_that_worked_before_it_failed_restarts_at_once() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.submit(JOB, vec![lasting(1, 1_000)]);
    for failure in 1..=5 {
        let started = world.start_all();
        assert_eq!(started.len(), 1, "after {failure} failures");
        world.advance(ms(60_000));
        world.end(minion, failure, &started[0].1, EndKind::Failed);
        world.advance(ms(100));
    }
}

/// A lasting task fails within a second of each start. The minion may be failing everything, so it
/// gets no work for a while.
#[test]
fn a_minion_on_which_lasting_tasks_fail_at_once_gets_no_work_for_a_while() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.submit(JOB, vec![lasting(1, 1_000)]);
    for failure in 1..=2 {
        let started = world.start_all();
        world.advance(ms(500));
        world.end(minion, failure, &started[0].1, EndKind::Failed);
        world.advance(ms(100));
    }
    assert_eq!(world.take_starts(), []);
}
