//! What the leader tells of lasting tasks without a run.

mod batch_world;

use batch_world::{JOB, World, lasting, ms, report, step};
use yuccahold::batch::dispatch::Order;
use yuccahold::batch::event::{Event, Exclusions};
use yuccahold::batch::model::{MinionReport, StepSpec};

/// The events of the last report.
fn events_after(world: &mut World, wait: u64) -> Vec<Event> {
    for _ in 0..wait / 100 {
        world.advance(ms(100));
    }
    world.orders.clear();
    for _ in 0..10 {
        world.advance(ms(100));
    }
    let events = world.orders.iter().filter_map(|order| match order {
        Order::Event(event) => Some((**event).clone()),
        _ => None,
    });
    events.collect()
}

fn overdue(events: &[Event]) -> Vec<usize> {
    let overdue = events.iter().filter_map(|event| match event {
        Event::Cell {
            lasting_overdue, ..
        } => Some(*lasting_overdue),
        _ => None,
    });
    overdue.collect()
}

/// Guards against a lasting task that waits without a line that says for what.
#[test]
fn a_waiting_lasting_step_is_reported_with_what_excludes_each_minion() {
    let mut world = World::new();
    let labelled = |id: &str, port, labels: &[&str]| MinionReport {
        labels: labels.iter().map(|l| (*l).into()).collect(),
        ..report(id, port)
    };
    world.join_as(labelled("i-1", 1, &["b"]));
    world.submit(JOB, vec![step(1, 20_000)]);
    world.start_all();
    world.join_as(labelled("i-2", 2, &["a"]));
    world.join_as(MinionReport {
        service: "other".into(),
        ..report("i-3", 3)
    });
    let spec = StepSpec {
        label: Some("b".into()),
        ..lasting(2, 20_000)
    };
    world.submit(JOB + 1, vec![spec]);
    let early = events_after(&mut world, 0);
    assert_eq!(overdue(&early), [0]);
    let late = events_after(&mut world, 7_000);
    assert_eq!(overdue(&late), [2]);
    let reported = late.iter().find_map(|event| match event {
        Event::LastingWaits {
            waiting, excluded, ..
        } => Some((*waiting, *excluded)),
        _ => None,
    });
    let excluded = Exclusions {
        service: 1,
        label: 1,
        room: 1,
        ..Exclusions::default()
    };
    assert_eq!(reported, Some((2, excluded)));
}

/// Guards against a wait for the lease of a silent minion that no line tells.
#[test]
fn a_lasting_run_on_a_silent_minion_is_reported_with_its_lease() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.submit(JOB, vec![lasting(1, 1_000)]);
    world.start_all();
    world.silent_hold(minion);
    let events = events_after(&mut world, 2_000);
    let reported = events.iter().find_map(|event| match event {
        Event::LastingWaits {
            silent,
            lease,
            without,
            ..
        } => Some((*silent, *lease, *without)),
        _ => None,
    });
    let (silent, lease, without) = reported.expect("it is reported");
    assert_eq!(silent, 1);
    assert!(lease > ms(1_000), "{lease:?}");
    assert!(without > ms(2_000), "{without:?}");
}
