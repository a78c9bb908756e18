//! Tests of the stand-in worker (lease, attempts, reports of ended runs) and of its ledger.

use std::time::Duration;

use yuccahold::resources::Resources;
use yuccahold::stand_in::{Behaviour, Ledger, RunEvent, WorkerState};
use yuccahold::wire::{AssignedRun, EndedRun, StopKind, StopRun, WorkerTasks};
use yuccahold::workload::{RunEnd, TaskId, TaskRun, WorkerSpec};

const LEASE: Duration = Duration::from_secs(10);
const WAIT: Duration = Duration::from_secs(3);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn run(attempt: u32) -> TaskRun {
    let task = TaskId {
        job: "plan".into(),
        index: 0,
    };
    TaskRun { task, attempt }
}

fn assigned(attempt: u32, run_time: Duration) -> AssignedRun {
    AssignedRun {
        run: run(attempt),
        kind: "cut-plan".into(),
        payload: "".into(),
        need: Resources::new(2, 4000, 0),
        keep_without_lease: false,
        run_time,
    }
}

fn tasks(assigned: Vec<AssignedRun>) -> WorkerTasks {
    WorkerTasks {
        lease: LEASE,
        assigned,
        ..WorkerTasks::default()
    }
}

fn spec(id: &str) -> WorkerSpec {
    WorkerSpec {
        id: id.into(),
        zone: "bern-a".into(),
        rack: "r1".into(),
        capacity: Resources::new(4, 8000, 0),
        accelerator: None,
    }
}

fn worker() -> WorkerState {
    WorkerState::new(spec("w1"), 1, Behaviour::default())
}

fn ended(worker: &mut WorkerState, now: Duration) -> Vec<(u32, RunEnd)> {
    let poll = worker.poll(now, WAIT, false);
    let pair = |e: &EndedRun| (e.run.attempt, e.end);
    poll.ended.iter().map(pair).collect()
}

#[test]
fn an_exclusive_run_stops_when_the_lease_expires() {
    // The worker loses its connection with a lease until 10 s. Control may then start the task on
    // another worker, so a run of 60 s must stop at 10 s or the task would run twice.
    let mut worker = worker();
    worker.apply_answer(at(0), at(1), tasks(vec![assigned(1, at(60))]));
    assert_eq!(worker.next_due(), Some(at(10)));
    worker.advance(at(9));
    assert_eq!(worker.running(), 1);
    worker.advance(at(30));
    let events = worker.take_events();
    let stopped = RunEvent::Ended {
        run: run(1),
        end: RunEnd::Stopped,
        at: at(10),
    };
    assert_eq!(events.last(), Some(&stopped));
}

#[test]
fn an_answer_received_after_its_lease_expired_starts_nothing() {
    // The process was paused for 11 s with an unread answer in its socket. Control may have placed
    // the task on another worker by then, so starting it here would run it twice.
    let mut worker = worker();
    worker.apply_answer(at(0), at(11), tasks(vec![assigned(1, at(60))]));
    assert_eq!(worker.running(), 0);
    assert_eq!(worker.take_events(), []);
}

#[test]
fn an_older_attempt_is_refused_and_an_equal_one_runs_once() {
    // A start from a replaced leader arrives after that of the new leader. The new start also
    // arrives twice, as control repeats it until a poll lists the run.
    let mut worker = worker();
    let both = vec![assigned(2, at(5)), assigned(2, at(5)), assigned(1, at(5))];
    worker.apply_answer(at(0), at(0), tasks(both));
    assert_eq!(worker.running(), 1);
    assert_eq!(ended(&mut worker, at(1)), [(1, RunEnd::NeverStarted)]);
    assert_eq!(
        ended(&mut worker, at(5)),
        [(1, RunEnd::NeverStarted), (2, RunEnd::Done)]
    );
}

#[test]
fn an_end_is_reported_until_it_is_acknowledged() {
    let mut worker = worker();
    worker.apply_answer(at(0), at(0), tasks(vec![assigned(1, at(5))]));
    assert_eq!(ended(&mut worker, at(6)), [(1, RunEnd::Done)]);
    assert_eq!(ended(&mut worker, at(7)), [(1, RunEnd::Done)]);
    let mut answer = tasks(vec![assigned(1, at(5))]);
    answer.acknowledged = vec![run(1)];
    worker.apply_answer(at(7), at(7), answer);
    assert_eq!(ended(&mut worker, at(8)), []);
    assert_eq!(worker.running(), 0);
}

#[test]
fn a_stop_received_before_its_start_prevents_the_run() {
    // The answer with the stop arrives before the one with the start. The worker reports the run
    // as never started, so it must not start it afterwards.
    let mut worker = worker();
    let stop = StopRun {
        run: run(1),
        how: StopKind::Stop,
    };
    let mut answer = tasks(vec![]);
    answer.stop = vec![stop];
    worker.apply_answer(at(0), at(0), answer);
    worker.apply_answer(at(0), at(1), tasks(vec![assigned(1, at(5))]));
    assert_eq!(worker.running(), 0);
    assert_eq!(ended(&mut worker, at(2)), [(1, RunEnd::NeverStarted)]);
}

#[test]
fn the_ledger_finds_doubles_and_overfill() {
    let ledger = Ledger::default();
    let start = |attempt, cores, at| RunEvent::Started {
        run: run(attempt),
        need: Resources::new(cores, 0, 0),
        exclusive: true,
        at,
    };
    let end = |attempt, at| RunEvent::Ended {
        run: run(attempt),
        end: RunEnd::Done,
        at,
    };
    ledger.record(&spec("w1"), [start(1, 2, at(0))]);
    ledger.record(&spec("w2"), [start(2, 5, at(4))]);
    ledger.record(&spec("w1"), [end(1, at(4))]);
    let counts = ledger.counts();
    assert_eq!(counts.doubles, []);
    assert_eq!(counts.overfills.len(), 1);
    assert_eq!(
        (counts.starts[&run(1).task], counts.done[&run(1).task]),
        (2, 1)
    );

    ledger.record(&spec("w3"), [start(3, 1, at(5))]);
    let doubles = ledger.counts().doubles;
    assert_eq!(doubles.len(), 1);
    assert_eq!(doubles[0].second, (3, "w3".into()));
}
