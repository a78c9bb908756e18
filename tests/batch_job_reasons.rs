//! What the leader's events say about the end of a job and about the attempts that counted.

mod batch_world;

use std::io::Write;
use std::sync::{Arc, Mutex};

use batch_world::hosts::Cell;
use batch_world::{JOB, World, first_step, gang, lasting, ms, queue, step};
use rstest::rstest;
use serde_json::{Value, json};
use yuccahold::batch::dispatch::Order;
use yuccahold::batch::event::Event;
use yuccahold::batch::event_output::write_event;
use yuccahold::batch::job_end::{Attempts, JobEndReason};
use yuccahold::batch::ledger::{Batch, Certainty, Command, Crash, Crashes, End, Start};
use yuccahold::batch::model::{EndKind, Grouping, JobId, Queue, StepSpec, TaskId};
use yuccahold::telemetry::json_logger;

/// A change that is committed for the job, in a batch of its own unless it is in `Together`.
#[derive(Clone, Debug)]
enum Change {
    Submit(StepSpec),
    Cancel,
    /// A cancellation of a job that is not known.
    CancelUnknown,
    Start(u32, u32),
    End(u32, u32, EndKind),
    Crash(u32, u32, Certainty),
    Reset(u32),
    Together(Vec<Change>),
    NewLeader,
}

use Certainty::{Confirmed, InDoubt, Possible};
use Change::{Cancel, CancelUnknown, NewLeader, Reset, Submit, Together};
use EndKind::{Done, Failed, GangMemberLost};

fn start(task: u32, run: u32) -> Change {
    Change::Start(task, run)
}

fn end(task: u32, run: u32, kind: EndKind) -> Change {
    Change::End(task, run, kind)
}

fn crash(task: u32, run: u32, certainty: Certainty) -> Change {
    Change::Crash(task, run, certainty)
}

fn task(index: u32) -> TaskId {
    first_step(JOB).task(index)
}

fn two_attempts() -> Queue {
    Queue {
        attempts: 2,
        ..queue()
    }
}

fn add(batch: &mut Batch, change: &Change) {
    match change {
        Change::Start(index, run) => batch.starts.push(Start {
            task: task(*index),
            run: *run,
            minion: 1,
        }),
        Change::End(index, run, kind) => batch.ends.push(End {
            task: task(*index),
            run: *run,
            kind: *kind,
            checkpoint: Default::default(),
        }),
        Change::Crash(index, run, certainty) => batch.crashes.push(Crash {
            task: task(*index),
            run: *run,
            certainty: *certainty,
        }),
        Reset(index) => batch.crashes_reset.push(task(*index)),
        Together(changes) => changes.iter().for_each(|change| add(batch, change)),
        _ => panic!("{change:?} is not part of a batch"),
    }
}

fn make(world: &mut World, change: &Change) {
    // A job that ended at the time of the latest command counts as ended by that command.
    world.now += ms(1);
    match change {
        Submit(spec) => world.submit_to(JOB, two_attempts(), vec![spec.clone()]),
        Cancel => world.apply(&Command::Cancel { job: JOB }),
        CancelUnknown => world.apply(&Command::CancelUnknown {
            job: JOB,
            queue: two_attempts().key(),
            owner: None,
        }),
        NewLeader => world.new_leader(2),
        _ => {
            let mut batch = Batch::default();
            add(&mut batch, change);
            world.apply(&Command::Batch(batch));
        }
    }
    world.now += ms(1);
    world.decide();
}

fn events(orders: &[Order]) -> impl Iterator<Item = &Event> {
    orders.iter().filter_map(|order| match order {
        Order::Event(event) => Some(&**event),
        _ => None,
    })
}

/// State and reason of each end of a job.
fn ends(orders: &[Order], id: JobId) -> Vec<(&'static str, JobEndReason)> {
    let ends = events(orders).filter_map(|event| match event {
        Event::JobEnded {
            job, state, reason, ..
        } if *job == id => Some((*state, *reason)),
        _ => None,
    });
    ends.collect()
}

/// Task, run, attempts used, and whether they are a gang's, of each attempt that counted.
fn attempts(orders: &[Order]) -> Vec<(u32, u32, u32, bool)> {
    let counted = events(orders).filter_map(|event| match event {
        Event::AttemptCounted {
            task,
            run,
            grouping,
            attempts,
        } => {
            assert_eq!(attempts.allowed, 2);
            let is_gang = *grouping == Grouping::Gang;
            Some((task.index, *run, attempts.used, is_gang))
        }
        _ => None,
    });
    counted.collect()
}

const SPENT: Attempts = Attempts {
    used: 2,
    allowed: 2,
};

fn crashed(index: u32, confirmed: u32, in_doubt: u32, possible: u32) -> JobEndReason {
    JobEndReason::Crashes {
        task: Some(task(index)),
        counts: Crashes {
            confirmed,
            in_doubt,
            possible,
        },
    }
}

/// Guards against a job that is reported as ended by each batch while the log's time stands still.
#[test]
fn a_job_that_ends_is_reported_once() {
    let mut world = World::new();
    world.submit_to(JOB, two_attempts(), vec![step(1, 1_000)]);
    world.apply(&Command::Cancel { job: JOB });
    world.apply(&Command::Batch(Batch::default()));
    world.decide();
    assert_eq!(ends(&world.orders, JOB).len(), 1);
}

/// Guards against a job that ends without its cause, or with that of another end.
#[rstest]
#[case::done("done", "done", JobEndReason::Done, vec![
    Submit(step(1, 1_000)), start(0, 1), end(0, 1, Failed), start(0, 2), end(0, 2, Done)])]
#[case::cancelled("canceled", "cancelled by caller", JobEndReason::Cancelled, vec![
    Submit(step(1, 1_000)), start(0, 1), end(0, 1, Failed), Cancel])]
#[case::cancelled_before_arrival("canceled", "cancelled before arrival",
    JobEndReason::CancelledBeforeArrival, vec![CancelUnknown, Submit(step(1, 1_000))])]
#[case::cancelled_before_the_leader_knew_the_job("canceled", "cancelled by caller",
    JobEndReason::Cancelled, vec![Submit(step(1, 1_000)), CancelUnknown])]
#[case::attempts_of_a_task("failed", "attempts used up", JobEndReason::TaskFailed(task(1), SPENT),
    vec![Submit(step(2, 1_000)), start(0, 1), end(0, 1, Failed),
    start(1, 1), end(1, 1, Failed), start(1, 2), end(1, 2, Failed)])]
#[case::attempts_beside_a_crash("failed", "attempts used up",
    JobEndReason::TaskFailed(task(0), SPENT),
    vec![Submit(step(1, 1_000)), start(0, 1), end(0, 1, Failed), start(0, 2),
    crash(0, 2, Confirmed), Together(vec![end(0, 2, Failed), crash(0, 2, Confirmed)])])]
#[case::attempts_under_two_leaders("failed", "attempts used up",
    JobEndReason::TaskFailed(task(0), SPENT), vec![Submit(step(1, 1_000)), start(0, 1),
    end(0, 1, Failed), NewLeader, start(0, 2), end(0, 2, Failed)])]
#[case::attempts_of_a_gang("failed", "attempts used up",
    JobEndReason::GangFailed(first_step(JOB), SPENT), vec![Submit(gang(2, 1_000)),
    Together(vec![start(0, 1), start(1, 1)]), end(0, 1, Failed), end(1, 1, GangMemberLost),
    Together(vec![start(0, 2), start(1, 2)]), end(1, 2, Failed)])]
#[case::crashes("failed", "crashes counted", crashed(1, 2, 0, 0), vec![Submit(step(2, 1_000)),
    crash(1, 1, Confirmed), crash(0, 1, Confirmed), crash(1, 2, Confirmed)])]
#[case::crashes_in_doubt("failed", "crashes counted", crashed(0, 1, 2, 0), vec![
    Submit(step(1, 1_000)), crash(0, 1, Confirmed), crash(0, 2, InDoubt), crash(0, 3, InDoubt)])]
#[case::possible_crashes_of_a_gang("failed", "crashes counted", crashed(1, 0, 1, 3), vec![
    Submit(gang(2, 1_000)), crash(1, 1, Possible), crash(1, 2, Possible), crash(1, 3, InDoubt),
    crash(1, 4, Possible)])]
#[case::crashes_beside_an_attempt("failed", "crashes counted", crashed(0, 2, 0, 0), vec![
    Submit(step(1, 1_000)), start(0, 1), end(0, 1, Failed), crash(0, 2, Confirmed),
    crash(0, 3, Confirmed)])]
#[case::crashes_that_are_reset_with_the_last("failed", "crashes counted",
    JobEndReason::Crashes { task: None, counts: Crashes::default() }, vec![
    Submit(step(1, 1_000)), crash(0, 1, Confirmed),
    Together(vec![crash(0, 2, Confirmed), Reset(0)])])]
fn the_end_of_a_job_has_its_cause(
    #[case] state: &'static str,
    #[case] why: &str,
    #[case] reason: JobEndReason,
    #[case] changes: Vec<Change>,
) {
    let mut world = World::new();
    for change in &changes {
        make(&mut world, change);
    }
    assert_eq!(ends(&world.orders, JOB), [(state, reason)]);
    assert_eq!(reason.as_str(), why);
}

/// Guards against a failed end that counts and isn't reported, and against one that is reported and
/// doesn't count: the job has ended, the step is lasting, or the end is that of an earlier run.
#[rstest]
#[case::of_one_task(step(1, 1_000), &[(0, 1, 1, false), (0, 2, 2, false)],
    vec![start(0, 1), end(0, 1, Failed), start(0, 2), end(0, 2, Failed)])]
#[case::of_each_task(step(2, 1_000), &[(0, 1, 1, false), (1, 1, 1, false)],
    vec![Together(vec![start(0, 1), start(1, 1)]),
    Together(vec![end(0, 1, Failed), end(1, 1, Failed)])])]
#[case::of_a_gang(gang(2, 1_000), &[(0, 1, 1, true), (1, 2, 2, true)],
    vec![Together(vec![start(0, 1), start(1, 1)]),
    Together(vec![end(0, 1, Failed), end(1, 1, GangMemberLost)]),
    Together(vec![start(0, 2), start(1, 2)]),
    Together(vec![end(0, 2, GangMemberLost), end(1, 2, Failed)])])]
#[case::under_a_new_leader(step(1, 1_000), &[(0, 2, 2, false)],
    vec![start(0, 1), end(0, 1, Failed), NewLeader, start(0, 2), end(0, 2, Failed)])]
#[case::of_a_job_that_failed_in_the_batch(step(2, 1_000), &[(0, 1, 1, false), (0, 2, 2, false)],
    vec![start(0, 1), end(0, 1, Failed), Together(vec![start(0, 2), start(1, 1)]),
    Together(vec![end(0, 2, Failed), end(1, 1, Failed)])])]
#[case::of_a_cancelled_job(step(1, 1_000), &[(0, 1, 1, false)],
    vec![start(0, 1), end(0, 1, Failed), start(0, 2), Cancel, end(0, 2, Failed)])]
#[case::of_a_lasting_task(lasting(1, 1_000), &[], vec![start(0, 1), end(0, 1, Failed)])]
#[case::of_an_earlier_run(step(1, 1_000), &[(0, 1, 1, false)],
    vec![start(0, 1), end(0, 1, Failed), start(0, 2), end(0, 1, Failed)])]
#[case::beside_other_ends(step(1, 1_000), &[],
    vec![start(0, 1), end(0, 1, EndKind::Lapsed), start(0, 2), end(0, 2, EndKind::Crashed)])]
fn attempts_are_reported_as_they_count(
    #[case] spec: StepSpec,
    #[case] expected: &[(u32, u32, u32, bool)],
    #[case] changes: Vec<Change>,
) {
    let mut world = World::new();
    make(&mut world, &Submit(spec));
    for change in &changes {
        make(&mut world, change);
    }
    assert_eq!(attempts(&world.orders), expected);
}

/// Guards against causes that hold only for batches written by hand: here minions run the task and
/// the leader writes the batches.
#[rstest]
#[case::attempts(true, "attempts used up")]
#[case::crashes(false, "crashes counted")]
fn a_cell_reports_why_a_job_failed(#[case] fails: bool, #[case] why: &str) {
    let mut cell = Cell::new(1..5);
    if fails {
        cell.failing.extend(1..5);
    } else {
        cell.crashers.insert(task(0));
    }
    cell.submit_to(JOB, two_attempts(), vec![step(1, 1_000)]);
    cell.run(ms(30_000));
    let ends = ends(&cell.orders, JOB);
    assert!(!ends.is_empty());
    for (state, reason) in ends {
        assert_eq!((state, reason.as_str()), ("failed", why));
    }
    let counted: Vec<_> = attempts(&cell.orders).iter().map(|a| a.2).collect();
    let expected: &[u32] = if fails { &[1, 2] } else { &[] };
    assert_eq!(counted, expected);
}

#[derive(Clone, Default)]
struct SharedBuf(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuf {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The log line of an event, without its time, level and daemon.
fn line(event: &Event) -> Value {
    let out = SharedBuf::default();
    write_event(&json_logger("control", out.clone()), event);
    let mut line: Value = serde_json::from_slice(&out.0.lock().unwrap()).expect("one line");
    let fields = line.as_object_mut().expect("an object");
    fields.retain(|name, _| !["at", "level", "daemon"].contains(&name.as_str()));
    line
}

/// Guards against a line that lacks the fields of docs/LOGS.md.
#[rstest]
#[case::done(JobEndReason::Done, json!({"why": "done"}))]
#[case::a_task(JobEndReason::TaskFailed(task(1), SPENT), json!({"why": "attempts used up",
    "task": "5c0e7a21d94b36f8.0.0.1", "attempts_used": 2, "attempts_allowed": 2}))]
#[case::a_gang(JobEndReason::GangFailed(first_step(JOB), SPENT), json!({"why": "attempts used up",
    "step": "5c0e7a21d94b36f8.0.0", "attempts_used": 2, "attempts_allowed": 2}))]
#[case::crashes(crashed(0, 1, 2, 0), json!({"why": "crashes counted",
    "task": "5c0e7a21d94b36f8.0.0.0", "crashes_begun": 1, "crashes_in_doubt": 2,
    "crashes_possible": 0}))]
fn the_line_of_an_ended_job_tells_what_decided(
    #[case] reason: JobEndReason,
    #[case] fields: Value,
) {
    let event = Event::JobEnded {
        job: JOB,
        state: "failed",
        reason,
        age: ms(2_203),
    };
    let mut expected = json!({"message": "job ended", "job": "5c0e7a21d94b36f8",
        "state": "failed", "age_ms": 2_203});
    let fields = fields.as_object().expect("an object").clone();
    expected.as_object_mut().expect("an object").extend(fields);
    assert_eq!(line(&event), expected);
}

/// Guards against a line that lacks the fields of docs/LOGS.md.
#[test]
fn the_line_of_a_counted_attempt_has_its_fields() {
    let event = Event::AttemptCounted {
        task: task(1),
        run: 3,
        grouping: Grouping::Gang,
        attempts: SPENT,
    };
    let expected = json!({"message": "attempt counted", "task": "5c0e7a21d94b36f8.0.0.1",
        "run": 3, "grouping": "gang", "used": 2, "allowed": 2});
    assert_eq!(line(&event), expected);
}
