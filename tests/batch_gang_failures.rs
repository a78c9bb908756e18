//! Attempts of a gang whose members fail together.

mod batch_world;

use batch_world::{JOB, World, first_step, gang, ms, queue};
use rstest::rstest;
use yuccahold::batch::dispatch::{HoldAnswer, ListedEnd, ListedRun, Listing, StartOrder};
use yuccahold::batch::ledger::{Batch, Command, Ledger};
use yuccahold::batch::model::{EndKind, JobState, MinionNumber, Queue, StepSpec};

const ATTEMPTS: u32 = 2;

type Member = (MinionNumber, StartOrder);

/// Three members with `ATTEMPTS` attempts, at most `per_minion` of them on one of the four minions.
fn cell(per_minion: u32) -> World {
    cell_with(per_minion, ATTEMPTS)
}

fn cell_with(per_minion: u32, attempts: u32) -> World {
    let mut world = World::new();
    world.join_all("i", 1..5);
    let queue = Queue {
        attempts,
        ..queue()
    };
    let spec = StepSpec {
        max_per_minion: Some(per_minion),
        ..gang(3, 10_000)
    };
    world.submit_to(JOB, queue, vec![spec]);
    world
}

fn start(world: &mut World) -> Vec<Member> {
    let members = world.start_all();
    assert_eq!(members.len(), 3, "the gang starts");
    members
}

/// What a minion lists of its members. The first end of the `n`th run has the number `3 * n`.
fn listing(world: &World, members: &[Member], minion: MinionNumber, kinds: &[EndKind]) -> Listing {
    let of_minion = members
        .iter()
        .enumerate()
        .filter(|(_, (m, _))| *m == minion);
    let mut listing = Listing {
        clock: world.now,
        ..Listing::default()
    };
    for (i, (_, order)) in of_minion {
        match kinds.get(i) {
            Some(kind) => listing.ended.push(ListedEnd {
                number: u64::from(order.run) * 3 + i as u64,
                task: order.task,
                run: order.run,
                kind: *kind,
                checkpoint: Default::default(),
            }),
            None => listing.running.push(ListedRun {
                task: order.task,
                run: order.run,
                checkpoint: Default::default(),
                percent: 50,
                load: 0,
            }),
        }
    }
    listing
}

fn minions_of(members: &[Member]) -> Vec<MinionNumber> {
    let mut minions: Vec<_> = members.iter().map(|(minion, _)| *minion).collect();
    minions.sort_unstable();
    minions.dedup();
    minions
}

/// Lets each minion list the ends of its members; `between` runs after each listing.
fn end(
    world: &mut World,
    members: &[Member],
    kinds: &[EndKind],
    mut between: impl FnMut(&mut World),
) {
    for minion in minions_of(members) {
        world.take_holds();
        let listing = listing(world, members, minion, kinds);
        world.listing(minion, listing);
        between(world);
    }
    world.advance(ms(9_000));
}

fn nothing(_: &mut World) {}

/// Lets each minion show a new leader that nothing runs there.
fn answer_first_holds(world: &mut World) {
    for id in ["i-1", "i-2", "i-3", "i-4"] {
        world.answer_first_hold_of(id);
    }
    world.advance(ms(9_000));
}

fn restore(world: &mut World) {
    let snapshot = world.ledger.to_bytes().expect("writes");
    world.ledger = Ledger::from_bytes(&snapshot).expect("reads");
    change_leader(world);
}

/// A new leader. It asks all minions what runs there.
fn change_leader(world: &mut World) {
    let term = world.now.as_millis() as u64;
    world.new_leader(term);
    world.take_holds();
}

use EndKind::{Failed, GangMemberLost, Lapsed};

/// Guards against failing a job that has attempts left: each failed member of one run counted as a
/// failed run.
#[rstest]
#[case::all_on_one_minion(3, &[Failed, Failed, Failed])]
#[case::two_on_one_minion(2, &[Failed, Failed, Failed])]
#[case::on_three_minions(1, &[Failed, Failed, Failed])]
#[case::first_two(1, &[Failed, Failed, GangMemberLost])]
#[case::last_two(1, &[GangMemberLost, Failed, Failed])]
#[case::around_a_lost_one(1, &[Failed, Lapsed, Failed])]
#[case::one(1, &[GangMemberLost, Failed, GangMemberLost])]
fn members_that_fail_together_are_one_attempt(#[case] per_minion: u32, #[case] kinds: &[EndKind]) {
    let mut world = cell(per_minion);
    let members = start(&mut world);
    end(&mut world, &members, kinds, nothing);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
    let members = start(&mut world);
    end(&mut world, &members, kinds, nothing);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Failed));
}

/// Guards against a failed run being counted again by a leader that knows only the ledger.
#[rstest]
#[case::a_new_leader(change_leader)]
#[case::a_snapshot(restore)]
fn members_that_fail_around_a_restart_are_one_attempt(#[case] between: fn(&mut World)) {
    let mut world = cell(1);
    let members = start(&mut world);
    end(&mut world, &members, &[Failed; 3], between);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
    // The last leader starts the gang once each minion has shown that nothing runs there.
    answer_first_holds(&mut world);
    world.advance(ms(9_000));
    let members = start(&mut world);
    end(&mut world, &members, &[Failed; 3], between);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Failed));
}

/// Lets each minion list its failed members; returns the batches that the leader proposes.
fn propose_failures(world: &mut World, members: &[Member]) -> Vec<Batch> {
    let mut batches = Vec::new();
    for minion in minions_of(members) {
        let (sent, now) = (world.now, world.now + ms(2));
        let listing = listing(world, members, minion, &[Failed; 3]);
        let answer = HoldAnswer::Listing(listing);
        let ledger = &world.ledger;
        world
            .leader
            .hold_answered(now, minion, sent, answer, ledger);
        world.now = now;
        batches.extend(world.propose_only());
    }
    assert_eq!(batches.len(), 2, "two batches may be uncommitted");
    batches
}

/// Guards against counting a run twice when its failures are in two batches that are both proposed
/// before the first is committed.
#[test]
fn members_that_fail_in_uncommitted_batches_are_one_attempt() {
    let mut world = cell(1);
    let members = start(&mut world);
    let batches = propose_failures(&mut world, &members);
    // Replicas of earlier versions count each end that the log has as failed.
    let failed = batches.iter().flat_map(|batch| &batch.ends);
    let failed = failed.filter(|end| end.kind == Failed).count();
    assert_eq!(failed, 1);
    for batch in batches {
        world.apply(&Command::Batch(batch));
    }
    world.advance(ms(9_000));
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
    let members = start(&mut world);
    end(&mut world, &members, &[Failed; 3], nothing);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Failed));
}

/// Guards against a run that counts twice or never when its batches commit only in part before a new
/// leader: minions list again what was not acknowledged.
#[rstest]
#[case::none(0)]
#[case::the_first(1)]
#[case::both(2)]
fn members_that_fail_around_lost_batches_are_one_attempt(#[case] committed: usize) {
    let mut world = cell(1);
    let members = start(&mut world);
    let batches = propose_failures(&mut world, &members);
    for batch in batches.into_iter().take(committed) {
        world.apply(&Command::Batch(batch));
    }
    change_leader(&mut world);
    end(&mut world, &members, &[Failed; 3], nothing);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
    answer_first_holds(&mut world);
    let members = start(&mut world);
    end(&mut world, &members, &[Failed; 3], nothing);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Failed));
    assert_eq!(world.ledger.last_failed_run(first_step(JOB)), 0);
}

/// Guards against an end that a minion lists only after the next run of the gang has begun being
/// counted for that run. Its lease lapsed before the end was acknowledged, so the end is void.
#[rstest]
#[case::of_a_run_that_has_counted([Failed, Failed, Failed])]
#[case::of_a_run_that_has_not([GangMemberLost, GangMemberLost, Failed])]
fn a_failed_member_that_is_listed_late_adds_no_attempt(#[case] prompt: [EndKind; 3]) {
    let mut world = cell(1);
    let members = start(&mut world);
    let late = members[2].0;
    for minion in minions_of(&members) {
        if minion != late {
            world.take_holds();
            let listing = listing(&world, &members, minion, &prompt);
            world.listing(minion, listing);
        }
    }
    // The third minion is silent until its lease is over.
    for _ in 0..40 {
        world.silent_hold(late);
        world.advance(ms(250));
        for minion in minions_of(&members).into_iter().filter(|m| *m != late) {
            world.list(minion, Vec::new(), Vec::new());
        }
    }
    let next = start(&mut world);
    assert!(minions_of(&next).iter().all(|m| *m != late));
    let listing = listing(&world, &members, late, &[Failed; 3]);
    world.listing(late, listing);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
    let attempts = u32::from(prompt[0] == Failed);
    for used in attempts..ATTEMPTS {
        let members = match used == attempts {
            true => next.clone(),
            false => start(&mut world),
        };
        assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
        end(&mut world, &members, &[Failed; 3], nothing);
    }
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Failed));
}

const RUNNING: &[u8] = include_bytes!("cases/ledger/format-5-gang-running.bin");
const FAILED: &[u8] = include_bytes!("cases/ledger/format-5-gang-failed.bin");
/// Two of three members ended as failed, which a leader of that version counted as two attempts.
const BATCH: &[u8] = include_bytes!("cases/ledger/format-4-gang-failed.bin");

/// Guards against replicas of two versions that differ in whether a job has failed: entries of
/// earlier versions keep their meaning, and so do counts in their snapshots.
#[rstest]
#[case::a_log(RUNNING, &[BATCH])]
#[case::a_snapshot(FAILED, &[])]
fn failures_that_earlier_versions_counted_stay(#[case] snapshot: &[u8], #[case] log: &[&[u8]]) {
    let mut world = World::new();
    world.ledger = Ledger::from_bytes(snapshot).expect("a snapshot");
    let at = world.unix();
    for command in log {
        let command = Command::from_bytes(command).expect("a command");
        world.ledger.apply(at, &command);
    }
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
    // It has three attempts, and two of them are counted.
    change_leader(&mut world);
    answer_first_holds(&mut world);
    let members = start(&mut world);
    end(
        &mut world,
        &members,
        &[GangMemberLost, GangMemberLost, Failed],
        nothing,
    );
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Failed));
}

/// Guards against a run that an earlier version has counted being counted again after an upgrade:
/// its snapshots don't have the counted runs.
#[test]
fn members_that_fail_around_an_upgrade_are_one_attempt() {
    let mut world = cell(1);
    let members = start(&mut world);
    let first = minions_of(&members)[0];
    world.take_holds();
    let failed = listing(&world, &members, first, &[Failed; 3]);
    world.listing(first, failed);
    let mut snapshot = world.ledger.to_bytes().expect("writes");
    // Format 6 added the counted runs: here their number, and the gang and run of one.
    snapshot.truncate(snapshot.len() - 13);
    snapshot[0] = 5;
    let restored = Ledger::from_bytes(&snapshot).expect("reads");
    assert_eq!(restored, world.ledger);
    world.ledger = restored;
    change_leader(&mut world);
    end(&mut world, &members, &[Failed; 3], nothing);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
    answer_first_holds(&mut world);
    let members = start(&mut world);
    end(&mut world, &members, &[Failed; 3], nothing);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Failed));
}
