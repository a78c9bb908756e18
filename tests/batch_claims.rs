//! Reservations of room for large tasks and gangs, and preemption for them.

mod batch_world;

use batch_world::{World, first_step, ms, queue, report, step};
use yuccahold::batch::dispatch::{ListedEnd, ListedRun, StartOrder};
use yuccahold::batch::model::{
    EndKind, Grouping, JobId, MinionNumber, MinionReport, Queue, StepSpec, TaskId,
};
use yuccahold::resources::Resources;

const ACCELERATORS: u32 = 8;

fn accelerator_minion(id: &str, port: u16) -> MinionReport {
    MinionReport {
        capacity: Resources::new(64, 128_000, ACCELERATORS),
        ..report(id, port)
    }
}

fn renders() -> Queue {
    Queue {
        name: "renders".into(),
        prefix: "/renders/".into(),
        priority: 1,
        slo: ms(1_000),
        slo_multiple: 2.2,
        ..queue()
    }
}

fn overlays() -> Queue {
    Queue {
        name: "overlays".into(),
        prefix: "/overlays/".into(),
        priority: 2,
        slo: ms(3_000),
        slo_multiple: 4.0,
        ..queue()
    }
}

fn on_accelerators(count: u32, accelerators: u32, lasts: u64) -> StepSpec {
    StepSpec {
        need: Resources::new(4, 10_000, accelerators),
        estimate: ms(lasts),
        saves_progress: true,
        ..step(count, 0)
    }
}

/// A task of the only step of a job that runs once.
fn task(job: JobId, index: u32) -> TaskId {
    first_step(job).task(index)
}

/// Ends of runs given as job, task index and run number, on one minion, numbered upwards from
/// `from`.
fn ends(runs: &[(JobId, u32, u32)], from: u64, kind: EndKind) -> Vec<ListedEnd> {
    let end = |(i, (job, index, run)): (usize, &(JobId, u32, u32))| ListedEnd {
        number: from + i as u64,
        task: task(*job, *index),
        run: *run,
        kind,
        checkpoint: "saved".into(),
    };
    runs.iter().enumerate().map(end).collect()
}

/// The first runs of these tasks of a job, as their minion lists them.
fn running(job: JobId, indices: impl IntoIterator<Item = u32>) -> Vec<ListedRun> {
    let listed = |index| ListedRun {
        task: task(job, index),
        run: 1,
        checkpoint: "saved".into(),
        percent: 0,
        load: 0,
    };
    indices.into_iter().map(listed).collect()
}

fn jobs_of(starts: &[(MinionNumber, StartOrder)]) -> Vec<JobId> {
    starts
        .iter()
        .map(|(_, start)| start.task.step.job)
        .collect()
}

/// A minion is full of small overlays when a render is submitted that needs all of it. The overlays
/// would run so long that the render would be late, so they are preempted. Their room comes free
/// piece by piece, and each preempted overlay waits to resume and would fit there. The room must
/// stay reserved until all of it is free: the render starts, and no overlay is preempted twice.
#[test]
fn room_freed_by_preemption_stays_reserved_until_it_suffices() {
    let mut world = World::new();
    let minion = world.join_as(accelerator_minion("i-1", 1));
    world.submit_to(1, overlays(), vec![on_accelerators(8, 1, 20_000)]);
    assert_eq!(world.start_all().len(), 8);
    world.advance(ms(3_000));
    world.submit_to(2, renders(), vec![on_accelerators(1, 8, 4_000)]);
    let stops = world.take_stops();
    assert_eq!(stops.len(), 8);
    for (i, (_, task, run)) in stops.iter().enumerate() {
        let one = ends(&[(1, task.index, *run)], i as u64 + 1, EndKind::Stopped);
        let left = stops[i + 1..].iter().map(|(_, task, _)| task.index);
        world.list(minion, running(1, left), one);
        let started = jobs_of(&world.start_all());
        let expected: &[JobId] = if i == 7 { &[2] } else { &[] };
        assert_eq!(started, expected, "after {} ends", i + 1);
        world.advance(ms(20));
        assert_eq!(world.take_stops().len(), 0);
    }
}

/// The same, but the render would be late even if it started as soon as the overlays were stopped.
/// Preempting them would waste their time and gain nothing.
#[test]
fn nothing_is_stopped_for_work_that_would_be_late_all_the_same() {
    let mut world = World::new();
    world.join_as(accelerator_minion("i-1", 1));
    world.submit_to(1, overlays(), vec![on_accelerators(8, 1, 20_000)]);
    world.start_all();
    world.advance(ms(3_000));
    let tight_objective = Queue {
        slo: ms(0),
        slo_multiple: 0.85,
        ..renders()
    };
    world.submit_to(2, tight_objective, vec![on_accelerators(1, 8, 4_000)]);
    world.advance(ms(100));
    assert_eq!(world.take_stops().len(), 0);
}

/// Nothing is preempted if the overlays end early enough for the render to be in time.
#[test]
fn nothing_is_stopped_where_waiting_is_soon_enough() {
    let mut world = World::new();
    world.join_as(accelerator_minion("i-1", 1));
    world.submit_to(1, overlays(), vec![on_accelerators(8, 1, 5_000)]);
    world.start_all();
    world.advance(ms(3_000));
    world.submit_to(2, renders(), vec![on_accelerators(1, 8, 4_000)]);
    world.advance(ms(100));
    assert_eq!(world.take_stops().len(), 0);
}

/// A render waits for all of a minion on which one long run is left, while overlays are submitted.
/// Overlays that should end before the long run are backfilled into the idle room; longer ones
/// wait, as each would delay the render.
#[test]
fn reserved_room_is_backfilled_by_work_that_ends_in_time() {
    let mut world = World::new();
    world.join_as(accelerator_minion("i-1", 1));
    world.submit_to(1, renders(), vec![on_accelerators(1, 4, 6_000)]);
    world.start_all();
    world.submit_to(2, renders(), vec![on_accelerators(1, 8, 4_000)]);
    world.submit_to(3, overlays(), vec![on_accelerators(2, 1, 20_000)]);
    world.submit_to(4, overlays(), vec![on_accelerators(2, 1, 3_000)]);
    assert_eq!(jobs_of(&world.start_all()), [4, 4]);
}

/// A gang of two needs all of both minions, which run tasks that end at different times. The minion
/// that comes free first stays reserved; otherwise small work would take it before the other is
/// free.
#[test]
fn room_is_reserved_for_all_members_of_a_gang() {
    let mut world = World::new();
    let first = world.join_as(accelerator_minion("i-1", 1));
    world.join_as(accelerator_minion("i-2", 2));
    world.submit_to(1, renders(), vec![on_accelerators(1, 8, 2_000)]);
    let early = world.start_all();
    world.submit_to(2, renders(), vec![on_accelerators(1, 8, 5_000)]);
    world.start_all();
    let gang = StepSpec {
        grouping: Grouping::Gang,
        ..on_accelerators(2, 8, 4_000)
    };
    world.submit_to(3, renders(), vec![gang]);
    world.submit_to(4, overlays(), vec![on_accelerators(4, 1, 20_000)]);
    world.advance(ms(2_000));
    assert_eq!(early[0].0, first);
    let done = ends(&[(1, 0, 1)], 1, EndKind::Done);
    world.list(first, Vec::new(), done);
    assert_eq!(jobs_of(&world.start_all()), [] as [JobId; 0]);
}

/// A step that fits on no minion reserves no room and preempts nothing.
#[test]
fn a_task_larger_than_every_minion_reserves_no_room() {
    let mut world = World::new();
    world.join_as(accelerator_minion("i-1", 1));
    world.submit_to(1, renders(), vec![on_accelerators(1, 9, 4_000)]);
    world.submit_to(2, overlays(), vec![on_accelerators(8, 1, 20_000)]);
    assert_eq!(world.start_all().len(), 8);
    assert_eq!(world.take_stops().len(), 0);
}

/// Two minions have room for an overlay: one with many cores and half of its accelerators in use,
/// the other with few cores and all accelerators free. Accelerators are the scarce resource here,
/// so the overlay goes to the first one, and a render that needs eight accelerators still fits on
/// the other.
#[test]
fn a_small_task_leaves_the_minion_with_all_accelerators_whole() {
    let mut world = World::new();
    world.join_as(accelerator_minion("i-1", 1));
    world.submit_to(1, renders(), vec![on_accelerators(1, 4, 10_000)]);
    world.start_all();
    let unused = world.join_as(MinionReport {
        capacity: Resources::new(16, 128_000, ACCELERATORS),
        ..accelerator_minion("i-2", 2)
    });
    world.submit_to(2, overlays(), vec![on_accelerators(1, 1, 10_000)]);
    world.start_all();
    world.submit_to(3, renders(), vec![on_accelerators(1, 8, 4_000)]);
    let starts = world.start_all();
    let placed: Vec<_> = starts.iter().map(|(m, s)| (*m, s.task.step.job)).collect();
    assert_eq!(placed, [(unused, 3)]);
}

/// The same for the members of a gang: they are placed on the minion that is in use already.
#[test]
fn a_gang_leaves_the_minion_with_all_accelerators_whole() {
    let mut world = World::new();
    let unused = world.join_as(accelerator_minion("i-1", 1));
    let in_use = world.join_as(accelerator_minion("i-2", 2));
    let labelled_step = StepSpec {
        label: Some("b".into()),
        ..on_accelerators(1, 2, 10_000)
    };
    let labelled = MinionReport {
        labels: vec!["b".into(), "r1-2".into()],
        sequence: 2,
        ..accelerator_minion("i-2", 2)
    };
    world.leader.report(world.now, labelled);
    world.submit_to(1, renders(), vec![labelled_step]);
    world.start_all();
    let gang = StepSpec {
        grouping: Grouping::Gang,
        ..on_accelerators(3, 2, 4_000)
    };
    world.submit_to(2, renders(), vec![gang]);
    let placed: Vec<_> = world.start_all().iter().map(|(m, _)| *m).collect();
    assert_eq!((placed, unused != in_use), (vec![in_use; 3], true));
}
