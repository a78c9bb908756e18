//! Work of the leader's decisions in cells of several sizes, counted in minions examined.

mod batch_world;

use std::collections::BTreeSet;

use batch_world::{JOB, World, gang, listed, ms, one_per_minion, queue, report, step};
use rstest::rstest;
use yuccahold::batch::dispatch::{Advice, Listing};
use yuccahold::batch::model::{PolicyConfig, Queue};

/// How much more work a decision may take in a cell that is five times as large.
const MAX_GROWTH: f64 = 1.3;

fn advised_queue() -> Queue {
    Queue {
        advice: Some(PolicyConfig {
            base: ms(30),
            per_minion: ms(1),
            validity: ms(2500),
        }),
        ..queue()
    }
}

fn world_of(minions: u16) -> World {
    let mut world = World::new();
    for i in 0..minions {
        world.join_as(report(&format!("i-{i}"), i));
    }
    world.leader.set_agents(usize::from(minions / 10));
    world.take_holds();
    world
}

/// Minions examined for each task until the tasks of 20 jobs have started. The minions are nearly
/// full if `load` says so.
fn examined_per_start(minions: u16, load: Load) -> f64 {
    let mut world = world_of(minions);
    if load == Load::NearlyFull {
        world.submit(JOB, vec![step(u32::from(minions) * 9 / 10, 30_000)]);
        for _ in 0..minions / 500 {
            world.start_all();
            world.advance(ms(10));
        }
        world.take_holds();
    }
    let before = world.leader.minions_examined();
    let mut starts = 0;
    for job in 1..=20 {
        let tasks = match load {
            Load::Gangs => gang(13, 6_400),
            Load::Empty | Load::NearlyFull => step(13, 6_400),
        };
        world.submit_to(job, advised_queue(), vec![tasks]);
        for question in world.take_questions() {
            let good = question
                .minions
                .iter()
                .map(|m| (m.clone(), "ticket".into()));
            let advice = Advice {
                good: good.collect(),
            };
            world
                .leader
                .advice_received(world.now, question.id, Some(advice));
            world.decide();
        }
        starts += world.start_all().len();
    }
    assert_eq!(starts, 20 * 13);
    (world.leader.minions_examined() - before) as f64 / starts as f64
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    Empty,
    NearlyFull,
    /// An empty cell and gangs.
    Gangs,
}

/// With each question about a step examining all minions, the leader of 12,000 minions needed a
/// whole core for half of the users' load a minion.
#[rstest]
#[case::empty(Load::Empty)]
#[case::nearly_full(Load::NearlyFull)]
#[case::gangs(Load::Gangs)]
fn the_work_for_a_start_does_not_grow_with_the_cell(#[case] load: Load) {
    let small = examined_per_start(1_000, load);
    let large = examined_per_start(5_000, load);
    assert!(large <= small * MAX_GROWTH, "{small} and {large}");
}

/// With all minions examined every few milliseconds, idle ones and those whose hold is pending used
/// most of the leader's time in a large cell.
#[test]
fn minions_with_nothing_due_are_not_examined() {
    let mut world = world_of(500);
    world.submit(JOB, vec![step(500, 30_000)]);
    let starts = world.start_all();
    for (minion, _) in world.take_holds() {
        let running = starts.iter().filter(|(m, _)| *m == minion);
        let listing = Listing {
            clock: world.now,
            running: running.map(|(_, start)| listed(start)).collect(),
            ..Listing::default()
        };
        world.listing(minion, listing);
    }
    world.take_holds();
    let before = world.leader.minions_examined();
    for _ in 0..20 {
        world.advance(ms(5));
    }
    assert_eq!(world.leader.minions_examined(), before);
}

/// A new leader is elected. With a hold sent to each minion at once, the few agents that had
/// connected answered most of them too late, and the answers through many agents kept the leader
/// from taking requests for half a second.
#[rstest]
#[case::few_agents(3, 24)]
#[case::many_agents(600, 128)]
fn a_new_leader_holds_minions_with_runs_first_and_few_at_a_time(
    #[case] agents: usize,
    #[case] most: usize,
) {
    let mut world = world_of(200);
    world.submit(JOB, vec![one_per_minion(20, 1_000)]);
    let busy: BTreeSet<_> = world.start_all().iter().map(|(m, _)| *m).collect();
    world.new_leader(2);
    world.leader.set_agents(agents);
    let mut held = BTreeSet::new();
    for round in 0..100 {
        world.advance(ms(5));
        let holds: BTreeSet<_> = world.take_holds().into_iter().map(|(m, _)| m).collect();
        let first = holds.difference(&held).count();
        assert!(first <= most, "{first} at once");
        if round == 0 {
            assert!(busy.is_subset(&holds));
        }
        for minion in holds {
            held.insert(minion);
            let clock = world.now;
            world.listing(
                minion,
                Listing {
                    clock,
                    ..Listing::default()
                },
            );
        }
    }
    assert_eq!(held.len(), 200);
}

/// Minions that wait for their first hold must not be examined every few milliseconds: of 6,000, that
/// would use half of a new leader's time.
#[test]
fn minions_that_wait_for_their_first_hold_are_not_examined() {
    let mut world = world_of(200);
    world.new_leader(2);
    let before = world.leader.minions_examined();
    for _ in 0..20 {
        world.advance(ms(5));
    }
    assert_eq!(world.take_holds().len(), 8);
    assert_eq!(world.leader.minions_examined(), before);
}
