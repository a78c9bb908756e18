//! Who is served first when the cell is full, and whose room is taken.

mod batch_world;

use batch_world::{World, ms, queue, step};
use yuccahold::batch::dispatch::{ListedEnd, Listing};
use yuccahold::batch::model::{EndKind, Queue, StepSpec};

fn plans() -> Queue {
    Queue {
        name: "plans".into(),
        prefix: "/plans/".into(),
        priority: 2,
        slo: ms(1200),
        stretch: 2.2,
        ..queue()
    }
}

fn saving(count: u32, millicores: u32) -> StepSpec {
    StepSpec {
        saves_progress: true,
        estimate: ms(6000),
        ..step(count, millicores)
    }
}

/// A burst of checks finds the cell full of plans. Plans that save their progress are stopped, and
/// the checks start where they ended; plans that would lose their work go on.
#[test]
fn urgent_work_takes_the_room_of_work_that_saves_its_progress() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    let unsaved = StepSpec {
        saves_progress: false,
        ..saving(1, 16_000)
    };
    world.submit_to(1, plans(), vec![saving(1, 16_000)]);
    world.submit_to(2, plans(), vec![unsaved]);
    world.start_all();
    world.submit(3, vec![step(1, 8_000)]);
    let stops = world.take_stops();
    let stopped: Vec<_> = stops.iter().map(|(_, task, _)| task.step.job).collect();
    assert_eq!((stopped, world.take_starts().len()), (vec![1], 0));

    let (_, task, run) = stops[0];
    world.take_holds();
    world.listing(
        minion,
        Listing {
            clock: world.now,
            running: Vec::new(),
            ended: vec![ListedEnd {
                number: 1,
                task,
                run,
                kind: EndKind::Stopped,
                checkpoint: "saved".into(),
            }],
        },
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

/// The load is above the room. A check that is late already must not go before one that can still
/// be in time: both would be late then.
#[test]
fn work_that_can_be_in_time_goes_before_work_that_is_late() {
    let mut world = World::new();
    world.submit(1, vec![step(1, 32_000)]);
    world.pass(ms(2_000));
    world.submit(2, vec![step(1, 32_000)]);
    world.join("i-1", 1);
    let started: Vec<_> = world
        .take_starts()
        .iter()
        .map(|(_, s)| s.task.step.job)
        .collect();
    assert_eq!(started, [2]);
}
