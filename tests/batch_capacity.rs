//! Minions whose capacity changes while they are up.

mod batch_world;

use batch_world::{JOB, World, draining, gang, ms, report, step};
use rstest::rstest;
use yuccahold::batch::dispatch::{Answer, HoldAnswer};
use yuccahold::batch::ledger::{Batch, Command};
use yuccahold::batch::model::{EndKind, JobState, MinionReport};
use yuccahold::resources::Resources;

/// A report of minion `i-{port}` with this sequence number and number of cores.
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

fn deliver(world: &mut World, report: MinionReport) {
    world.leader.report(world.now, report);
    world.decide();
}

/// A minion that shrank gets no more work than fits its new capacity, and more once it has grown.
#[test]
fn a_minion_that_shrank_is_not_overfilled() {
    let mut world = World::new();
    world.join("i-1", 1);
    deliver(&mut world, sized(1, 2, 16));
    world.submit(JOB, vec![step(5, 5_000)]);
    let shrunk = world.start_all().len();
    // A report that was delayed on the network has an outdated capacity.
    deliver(&mut world, sized(1, 1, 32));
    let late = world.start_all().len();
    deliver(&mut world, sized(1, 3, 32));
    let grown = world.start_all().len();
    assert_eq!((shrunk, late, grown), (3, 0, 2));
}

/// A new leader uses the last capacity from the ledger for a minion that has not reported to it
/// yet.
#[rstest]
#[case::that_shrank(&[16], 3)]
#[case::that_shrank_and_grew(&[16, 26], 5)]
fn a_new_leader_uses_the_last_reported_capacity(#[case] sizes: &[u32], #[case] fits: usize) {
    let mut world = World::new();
    world.join("i-1", 1);
    for (i, cores) in sizes.iter().enumerate() {
        deliver(&mut world, sized(1, 2 + i as u64, *cores));
    }
    world.new_leader(2);
    world.answer_first_hold_of("i-1");
    world.submit(JOB, vec![step(6, 5_000)]);
    assert_eq!(world.start_all().len(), fits);
}

/// A start that was committed only after its minion shrank or began to drain is not sent, and the
/// task is placed again.
#[rstest]
#[case::it_shrank(sized(1, 2, 16))]
#[case::it_leaves(draining("i-1", 1))]
fn a_start_that_was_committed_late_is_not_sent(#[case] report_before_commit: MinionReport) {
    let mut world = World::new();
    world.join("i-1", 1);
    world.submit_only(JOB, vec![step(1, 20_000)]);
    let batch = world.propose_only().expect("a start");
    world.leader.report(world.now, report_before_commit);
    world.now += ms(5_000);
    world.commit(batch);
    assert_eq!(world.take_starts().len(), 0);
    world.join("i-2", 2);
    world.decide();
    let starts = world.take_starts();
    let again: Vec<_> = starts.iter().map(|(_, start)| start.run).collect();
    assert_eq!(again, [2]);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
}

/// Three minions and a gang that fills them, with the batch of its starts, which is not committed
/// yet.
fn gang_proposed() -> (World, Batch) {
    let mut world = World::new();
    world.join_all("i", 1..4);
    world.submit_only(JOB, vec![gang(3, 20_000)]);
    let batch = world.propose_only().expect("starts");
    (world, batch)
}

/// If one member of a gang cannot start because its minion drains, none is started; otherwise the
/// others would wait for it in vain.
#[test]
fn no_member_of_a_gang_starts_when_one_of_its_minions_leaves() {
    let (mut world, batch) = gang_proposed();
    world.leader.report(world.now, draining("i-2", 2));
    world.commit(batch);
    assert_eq!(world.take_starts().len(), 0);
    world.join("i-4", 4);
    world.decide();
    assert_eq!(world.take_starts().len(), 3);
}

/// The same if another incarnation answers for a minion before the starts are committed.
#[test]
fn no_member_of_a_gang_starts_when_one_of_its_minions_is_gone() {
    let (mut world, batch) = gang_proposed();
    let gone = world.ledger.minion_number(&"i-2".into());
    let gone = gone.expect("it joined");
    let (now, answer) = (world.now, HoldAnswer::OtherIncarnation);
    world
        .leader
        .hold_answered(now, gone, now, answer, &world.ledger);
    world.commit(batch);
    assert_eq!(world.take_starts().len(), 0);
    world.join("i-4", 4);
    world.advance(ms(200));
    assert_eq!(world.take_starts().len(), 3);
}

/// A run that is being stopped counts against its minion until the minion lists its end, also if
/// the minion has shrunk in between.
#[test]
fn room_of_a_run_that_is_being_stopped_counts_on_a_minion_that_shrank() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.submit(JOB, vec![step(1, 12_000)]);
    let (_, run) = world.start_all().remove(0);
    world.apply(&Command::Cancel { job: JOB });
    deliver(&mut world, sized(1, 2, 16));
    world.submit(JOB + 1, vec![step(1, 6_000)]);
    let clock = Some(world.now);
    let sent = world.now;
    world.leader.stop_answered(
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
