//! Waiting times of a workspace within its weight while another one submits more than its own
//! weight.

mod batch_world;

use std::collections::BTreeMap;
use std::time::Duration;

use batch_world::cell::Cell;
use batch_world::{World, ms, queue, step};
use yuccahold::batch::model::JobId;

const TICK: Duration = ms(20);
/// Interval between two jobs of a workspace that submits exactly its weight, 4 a second; in ms.
const INTERVAL_MS: u32 = 250;
const LENGTH: Duration = ms(20_000);
/// Longest wait with which these jobs still meet their objective of 1.5 times a run of 1 s plus 250
/// ms.
const SLACK: Duration = ms(750);
/// First job id; jobs of the workspace within its weight have even ids.
const FIRST: JobId = 1_000;

/// Sorted waiting times of a workspace that submits exactly its weight, while another one submits
/// `times` its weight.
fn waits(times: u32) -> Vec<Duration> {
    let mut world = World::new();
    world.join_all("i", 1..3);
    world.set_weights(1, &[("calm", 4.0), ("eager", 4.0)]);
    let mut cell = Cell::default();
    let mut handed_in: BTreeMap<JobId, Duration> = BTreeMap::new();
    let begun = world.now;
    let mut next = FIRST;
    let mut sent = 0;
    while world.now < begun + LENGTH {
        let passed = (world.now - begun).as_millis() as u32;
        while sent * INTERVAL_MS <= passed * times.max(1) {
            if sent % times.max(1) == 0 {
                handed_in.insert(next, world.now);
                world.submit_for("calm", next, queue(), vec![step(6, 1_000)]);
                next += 2;
            }
            if times > 0 {
                world.submit_for("eager", next + 1, queue(), vec![step(6, 1_000)]);
                next += 2;
            }
            sent += 1;
        }
        cell.work(&mut world, |start| {
            let draw = (start.task.step.job ^ u64::from(start.task.index))
                .wrapping_mul(0x9E37_79B9_7F4A_7C15);
            Some(ms(600 + (draw >> 33) % 800))
        });
        world.advance(TICK);
    }
    let last = world.now - ms(3_000);
    let mut waits = Vec::new();
    for (job, at) in handed_in.into_iter().filter(|(_, at)| *at < last) {
        let started = cell.started.iter().find(|(_, t)| t.step.job == job);
        waits.push(started.map_or(LENGTH, |(started, _)| *started - at));
    }
    waits.sort_unstable();
    waits
}

/// One workspace submits ten times its weight. Guards against jobs of another workspace, which is
/// within its weight, that wait behind the excess.
#[test]
fn a_workspace_within_its_weight_is_served_as_if_alone() {
    let alone = waits(0);
    let beside = waits(10);
    assert_eq!(beside.len(), alone.len());
    let longest = |waits: &[Duration]| waits.last().copied().expect("it sends");
    assert!(longest(&alone) <= TICK, "{alone:?}");
    assert!(longest(&beside) <= SLACK, "{beside:?}");
}
