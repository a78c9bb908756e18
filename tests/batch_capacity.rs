//! Minions whose capacity shrinks and grows while they run.

mod batch_world;

use batch_world::{JOB, World, draining, gang, ms, report, step};
use rstest::rstest;
use yuccahold::batch::dispatch::{Answer, HoldAnswer};
use yuccahold::batch::ledger::{Batch, Command};
use yuccahold::batch::model::{EndKind, JobState, MinionReport};
use yuccahold::resources::Resources;

/// A report of the minion at a port, with half of its cores or with another part of them.
fn sized(port: u16, sequence: u64, cores: u32) -> MinionReport {
    MinionReport {
        sequence,
        capacity: Resources {
            millicores: cores * 1_000,
            ..report("", port).capacity
        },
        ..report(&format!("i-{port}"), port)
    }
}

fn tell(world: &mut World, report: MinionReport) {
    world.leader.report(world.now, report);
    world.decide();
}

/// A minion that shrank is given no more than what is left, and all again once it has grown.
#[test]
fn a_minion_that_shrank_is_not_overfilled() {
    let mut world = World::new();
    world.join("i-1", 1);
    tell(&mut world, sized(1, 2, 16));
    world.submit(JOB, vec![step(5, 5_000)]);
    let shrunk = world.start_all().len();
    // A report that was delayed on its way says what is no longer true.
    tell(&mut world, sized(1, 1, 32));
    let late = world.start_all().len();
    tell(&mut world, sized(1, 3, 32));
    let grown = world.start_all().len();
    assert_eq!((shrunk, late, grown), (3, 0, 2));
}

/// The next leader knows the size of a minion that has not reported to it yet.
#[rstest]
#[case::that_shrank(&[16], 3)]
#[case::that_shrank_and_grew(&[16, 26], 5)]
fn the_next_leader_knows_a_minion(#[case] sizes: &[u32], #[case] fits: usize) {
    let mut world = World::new();
    world.join("i-1", 1);
    for (i, cores) in sizes.iter().enumerate() {
        tell(&mut world, sized(1, 2 + i as u64, *cores));
    }
    world.new_leader(2);
    world.answer_first_hold_of("i-1");
    world.submit(JOB, vec![step(6, 5_000)]);
    assert_eq!(world.start_all().len(), fits);
}

/// A start that waited for its agreement is not sent to a minion that no longer takes it.
#[rstest]
#[case::it_shrank(sized(1, 2, 16))]
#[case::it_leaves(draining("i-1", 1))]
fn a_start_that_was_agreed_late_is_not_sent(#[case] told: MinionReport) {
    let mut world = World::new();
    world.join("i-1", 1);
    world.submit_only(JOB, vec![step(1, 20_000)]);
    let batch = world.propose_only().expect("a start");
    world.leader.report(world.now, told);
    world.now += ms(5_000);
    world.agree(batch);
    assert_eq!(world.take_starts().len(), 0);
    world.join("i-2", 2);
    world.decide();
    let starts = world.take_starts();
    let again: Vec<_> = starts.iter().map(|(_, start)| start.run).collect();
    assert_eq!(again, [2]);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
}

/// Three minions and a gang that fills them, whose starts are proposed.
fn gang_proposed() -> (World, Batch) {
    let mut world = World::new();
    world.join_all("i", 1..4);
    world.submit_only(JOB, vec![gang(3, 20_000)]);
    let batch = world.propose_only().expect("starts");
    (world, batch)
}

/// A gang of which one member cannot start is not started at all.
#[test]
fn no_member_of_a_gang_starts_when_one_of_its_minions_leaves() {
    let (mut world, batch) = gang_proposed();
    world.leader.report(world.now, draining("i-2", 2));
    world.agree(batch);
    assert_eq!(world.take_starts().len(), 0);
    world.join("i-4", 4);
    world.decide();
    assert_eq!(world.take_starts().len(), 3);
}

/// The same when a minion turns out to be another incarnation before the starts are agreed.
#[test]
fn no_member_of_a_gang_starts_when_one_of_its_minions_is_gone() {
    let (mut world, batch) = gang_proposed();
    let gone = world.ledger.minion_number(&"i-2".into());
    let gone = gone.expect("it joined");
    let (now, answer) = (world.now, HoldAnswer::OtherIncarnation);
    world.leader.held(now, gone, now, answer, &world.ledger);
    world.agree(batch);
    assert_eq!(world.take_starts().len(), 0);
    world.join("i-4", 4);
    world.pass(ms(200));
    assert_eq!(world.take_starts().len(), 3);
}

/// What is being stopped keeps its room until its minion lists the end, however small it has become.
#[test]
fn room_of_a_run_that_is_being_stopped_counts_on_a_minion_that_shrank() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.submit(JOB, vec![step(1, 12_000)]);
    let (_, run) = world.start_all().remove(0);
    world.apply(&Command::Cancel { job: JOB });
    tell(&mut world, sized(1, 2, 16));
    world.submit(JOB + 1, vec![step(1, 6_000)]);
    let clock = Some(world.now);
    let sent = world.now;
    world.leader.stopped(
        world.now,
        minion,
        (run.task, run.run),
        sent,
        Answer::Done { clock },
    );
    world.decide();
    let before = world.take_starts().len();
    world.end(minion, 1, &run, EndKind::Stopped);
    assert_eq!((before, world.take_starts().len()), (0, 1));
}
