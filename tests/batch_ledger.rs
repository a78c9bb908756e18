//! The ledger under repeated, reordered and lost messages, and its stored formats.

mod batch_world;

use std::sync::Arc;

use batch_world::{JOB, World, lasting, ms, queue, step};
use rstest::rstest;
use yuccahold::batch::dispatch::{Answer, ListedEnd, Listing};
use yuccahold::batch::ledger::{Command, Ledger};
use yuccahold::batch::model::{Configuration, EndKind, JobState, StepSpec};

fn put(version: u64, text: &str) -> Command {
    Command::PutConfig {
        version,
        document: text.to_owned().into(),
        parsed: Arc::new(Configuration::default()),
    }
}

/// Two operators race and responses are lost, so configurations arrive repeatedly and in any order.
/// The highest version must stay in force, and different content with the same version must be
/// ignored.
#[test]
fn the_highest_configuration_stays() {
    let mut ledger = Ledger::default();
    for (version, text) in [
        (3, "three"),
        (2, "two"),
        (3, "other"),
        (5, "five"),
        (3, "three"),
    ] {
        ledger.apply(ms(1), &put(version, text));
    }
    let snapshot = Ledger::from_bytes(&ledger.to_bytes().expect("writes")).expect("reads");
    assert_eq!(snapshot, ledger);
    insta::assert_debug_snapshot!(snapshot);
}

/// Guards against snapshots and commands from before workspaces existed becoming unreadable.
#[test]
fn files_of_format_2_are_read() {
    let ledger = Ledger::from_bytes(include_bytes!("cases/ledger/format-2-snapshot.bin"));
    let ledger = ledger.expect("a snapshot");
    let states = (0..4).map(|i| ledger.job_state(JOB + i));
    let put = Command::from_bytes(include_bytes!("cases/ledger/format-2-put-config.bin"));
    let submit = Command::from_bytes(include_bytes!("cases/ledger/format-2-submit.bin"));
    let commands = [put.expect("a command"), submit.expect("a command")];
    insta::assert_debug_snapshot!((states.collect::<Vec<_>>(), commands));
    let again = Ledger::from_bytes(&ledger.to_bytes().expect("writes")).expect("reads");
    assert_eq!(again, ledger);
}

/// Guards against snapshots and commands of earlier formats becoming unreadable. Each format appended
/// to the one before: 4 the copies, 5 the early cancellations, 6 the failed
/// runs of gangs.
#[rstest]
#[case::format_3(3, 7, 1)]
#[case::format_4(4, 6, 0)]
#[case::format_5(5, 1, 0)]
fn files_of_earlier_formats_are_read(
    #[case] format: u8,
    #[case] added_to_snapshot: usize,
    #[case] added_to_batch: usize,
) {
    let as_format = |mut bytes: Vec<u8>, added: usize| {
        let kept = bytes.len() - added;
        assert!(bytes[kept..].iter().all(|b| *b == 0), "nothing in them");
        bytes.truncate(kept);
        bytes[0] = format;
        bytes
    };
    let mut world = World::new();
    world.join("i-1", 1);
    world.submit(JOB, vec![step(2, 1_000)]);
    let snapshot = world.ledger.to_bytes().expect("writes");
    let snapshot = as_format(snapshot, added_to_snapshot);
    assert_eq!(Ledger::from_bytes(&snapshot).expect("reads"), world.ledger);
    let batch = Command::Batch(Default::default());
    let command = as_format(batch.to_bytes().expect("writes"), added_to_batch);
    assert_eq!(Command::from_bytes(&command).expect("reads"), batch);
}

/// Guards against replicas of the version before skipping commands that they have.
#[test]
fn commands_are_written_in_the_first_format_that_has_them() {
    let formats = [
        Command::Batch(Default::default()),
        Command::Cancel { job: JOB },
        Command::CancelUnknown {
            job: JOB,
            queue: queue().key(),
            owner: None,
        },
    ];
    let formats = formats.map(|command| command.to_bytes().expect("writes")[0]);
    assert_eq!(formats, [4, 4, 5]);
}

/// Guards against jobs submitted before workspaces existed never being scheduled.
#[test]
fn jobs_of_format_2_continue_to_run() {
    let mut world = World::new();
    let snapshot = include_bytes!("cases/ledger/format-2-snapshot.bin");
    world.ledger = Ledger::from_bytes(snapshot).expect("a snapshot");
    world.set_limits(8, &[("a", 1)]);
    world.new_leader(2);
    world.join("i-3", 3);
    world.submit(JOB + 9, vec![step(2, 1000)]);
    assert_eq!(world.take_starts().len(), 2);
    let runs = world.ledger.ready_steps(JOB + 1);
    assert_eq!(runs.len(), 1, "its tasks run or wait");
}

/// The error for a snapshot of an unsupported format must name the version.
#[test]
fn an_unknown_format_is_refused_with_its_number() {
    let mut bytes = Ledger::default().to_bytes().expect("writes");
    bytes[0] = 9;
    let e = Ledger::from_bytes(&bytes).expect_err("another format");
    assert!(e.to_string().contains("format 9"), "{e}");
}

/// Starts the only task and reports the given end of its run, with this end number.
fn end_once(world: &mut World, number: u64, kind: EndKind) {
    let (minion, start) = world.start_all().pop().expect("a start");
    world.take_holds();
    world.end(minion, number, &start, kind);
    // A minion with two consecutive failures gets no runs for a second.
    world.advance(ms(9_000));
}

#[rstest]
#[case::done(&[EndKind::Done], JobState::Done)]
#[case::failed_three_times(&[EndKind::Failed, EndKind::Failed, EndKind::Failed], JobState::Failed)]
#[case::failed_twice_then_done(&[EndKind::Failed, EndKind::Failed, EndKind::Done], JobState::Done)]
#[case::only_failed_ends_count(
    &[EndKind::Stopped, EndKind::Lapsed, EndKind::GangMemberLost, EndKind::Failed, EndKind::Done],
    JobState::Done
)]
fn only_failed_runs_count_as_attempts(#[case] ends: &[EndKind], #[case] state: JobState) {
    let mut world = World::new();
    world.join("i-1", 1);
    world.submit(JOB, vec![step(1, 1000)]);
    for (i, kind) in ends.iter().enumerate() {
        end_once(&mut world, i as u64 + 1, *kind);
    }
    assert_eq!(world.ledger.job_state(JOB), Some(state));
}

/// A long-running task is restarted however it ends, even when it reports that it is done.
#[rstest]
#[case(EndKind::Done)]
#[case(EndKind::Failed)]
#[case(EndKind::Lapsed)]
fn a_lasting_task_is_started_again(#[case] kind: EndKind) {
    let mut world = World::new();
    world.join("i-1", 1);
    world.submit(JOB, vec![lasting(1, 1000)]);
    for number in 1..=5 {
        end_once(&mut world, number, kind);
    }
    assert_eq!(world.take_starts().len(), 1);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
}

/// A step starts only after every task of its dependencies is done.
#[test]
fn a_step_waits_for_the_steps_before_it() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1000)
    };
    world.submit(JOB, vec![step(2, 1000), second]);
    let starts = world.start_all();
    let mut begun = Vec::new();
    for (i, (_, start)) in starts.iter().enumerate() {
        begun.push(world.take_starts().len());
        world.take_holds();
        let running = starts[i + 1..]
            .iter()
            .map(|(_, s)| yuccahold::batch::dispatch::ListedRun {
                task: s.task,
                run: s.run,
                checkpoint: Default::default(),
                percent: 50,
                load: 0,
            });
        let listing = Listing {
            clock: world.now,
            running: running.collect(),
            ended: vec![ListedEnd {
                number: i as u64 + 1,
                task: start.task,
                run: start.run,
                kind: EndKind::Done,
                checkpoint: Default::default(),
            }],
            ..Listing::default()
        };
        world.listing(minion, listing);
    }
    begun.push(world.take_starts().len());
    assert_eq!(begun, [0, 0, 1]);
}

/// The leader fails right after a start is committed, so the next leader cannot tell whether the
/// order was sent. It must not start the task on another minion before the first minion, under the
/// new fencing token, reports that the task is not running there.
#[test]
fn a_new_leader_queries_the_minion_before_restarting_a_task() {
    let mut world = World::new();
    let first = world.join("i-1", 1);
    world.submit(JOB, vec![step(1, 1000)]);
    assert_eq!(world.take_starts().len(), 1);
    world.new_leader(2);
    world.join("i-2", 2);
    let before = world.take_starts().len();
    let clock = world.now;
    world.listing(
        first,
        Listing {
            clock,
            ..Listing::default()
        },
    );
    let after: Vec<_> = world
        .take_starts()
        .iter()
        .map(|(_, s)| (s.run, s.token))
        .collect();
    assert_eq!((before, after), (0, vec![(2, 2)]));
}

/// A start without an answer may still be executed seconds later. Its resources must stay reserved,
/// and the task must not start elsewhere, until a list made after its deadline does not contain it.
#[test]
fn a_task_with_an_unanswered_start_is_not_started_elsewhere() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.submit(JOB, vec![step(1, 32_000)]);
    let lost = Answer::Silent(yuccahold::batch::dispatch::CallFailure::Lost);
    let mut tries = 0;
    while let Some((_, start)) = world.take_starts().pop() {
        assert_eq!(start.run, 1);
        tries += 1;
        world.answer_start(minion, start.task, start.run, lost);
    }
    world.join("i-2", 2);
    let early = world.take_starts().len();
    world.take_holds();
    let clock = world.now;
    world.listing(
        minion,
        Listing {
            clock,
            ..Listing::default()
        },
    );
    let before_deadline = world.take_starts().len();
    world.advance(ms(2_000));
    world.take_holds();
    let clock = world.now;
    world.listing(
        minion,
        Listing {
            clock,
            ..Listing::default()
        },
    );
    let later: Vec<_> = world.take_starts().iter().map(|(_, s)| s.run).collect();
    assert_eq!((tries, early, before_deadline, later), (4, 0, 0, vec![2]));
}

/// A job is cancelled while its task runs. The run must be stopped, and no task of the job may
/// start again.
#[test]
fn a_cancelled_job_does_not_start_and_is_stopped() {
    let mut world = World::new();
    world.join("i-1", 1);
    world.submit_to(JOB, queue(), vec![step(1, 1000)]);
    world.start_all();
    world.apply(&Command::Cancel { job: JOB });
    world.decide();
    let stops = world.take_stops().len();
    world.advance(ms(500));
    assert_eq!((stops, world.take_starts().len()), (1, 0));
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Canceled));
}
