//! Attempts of gangs that restart as a whole: each run of the gang is one attempt.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use yuccahold::document::Policy;
use yuccahold::ids::Timestamp;
use yuccahold::placement::{Decision, Event, Placer, Scheduler};
use yuccahold::resources::Resources;
use yuccahold::workload::{JobSpec, MemberLoss, RunEnd, TaskRun, WorkClass, WorkerSpec};

/// Longer than any backoff.
const PAUSE: Duration = Duration::from_secs(200);
const T0: Timestamp = Duration::from_secs(1000);

struct Cell {
    placer: Scheduler,
    now: Timestamp,
    failed: Vec<String>,
}

impl Cell {
    /// Workers that hold one task each.
    fn new(workers: u32) -> Self {
        let mut placer = Scheduler::new(1);
        for number in 0..workers {
            let spec = WorkerSpec {
                id: format!("w{number}").as_str().into(),
                zone: "bern-a".into(),
                rack: "r1".into(),
                capacity: Resources::new(8, 8000, 0),
                accelerator: None,
            };
            placer.apply(T0, Event::WorkerUp(spec));
        }
        Self {
            placer,
            now: T0,
            failed: Vec::new(),
        }
    }

    fn submit(&mut self, name: &str, tasks: u32, on_member_loss: MemberLoss) {
        let spec = JobSpec {
            name: name.into(),
            kind: name.into(),
            team: "workshop".into(),
            class: WorkClass::Gang,
            tasks,
            need: Resources::new(8, 1000, 0),
            run_time: Duration::from_secs(60),
            idempotent: true,
            max_attempts: 2,
            on_member_loss,
            ..JobSpec::default()
        };
        let (spec, at) = (Arc::new(spec), self.now);
        self.placer.apply(at, Event::JobArrived { spec, at });
    }

    /// Waits for longer than any backoff; returns the starts, by the index of the task.
    fn starts(&mut self) -> Vec<(TaskRun, String)> {
        self.now += PAUSE;
        self.starts_now()
    }

    fn starts_now(&mut self) -> Vec<(TaskRun, String)> {
        let mut out = Vec::new();
        self.placer.decide(self.now, 1000, &mut out);
        let mut starts = Vec::new();
        for decision in out {
            match decision {
                Decision::Start { run, worker, .. } => starts.push((run, worker.to_string())),
                Decision::FailJob { reason, .. } => self.failed.push(reason),
                _ => {}
            }
        }
        starts.sort_by_key(|(run, _)| run.task.index);
        starts
    }

    fn end(&mut self, (run, worker): &(TaskRun, String), end: RunEnd) {
        let (run, worker) = (run.clone(), worker.as_str().into());
        let event = Event::RunEnded { run, worker, end };
        self.placer.apply(self.now, event);
    }

    /// Ends a run of a gang: these members fail, in this order, and the others are stopped.
    fn break_run(&mut self, starts: &[(TaskRun, String)], failed: &[usize]) {
        for member in failed {
            self.end(&starts[*member], RunEnd::Failed);
        }
        let others = (0..starts.len()).filter(|member| !failed.contains(member));
        for member in others {
            self.end(&starts[member], RunEnd::Stopped);
        }
    }
}

/// Guards against a gang that runs more often than it may: each run fails by another member, and
/// each member alone has an attempt left. Members that fail together use up one attempt.
#[rstest]
#[case::in_turn([vec![0], vec![1]])]
#[case::in_turn_from_the_last([vec![2], vec![0]])]
#[case::together([vec![0, 1, 2], vec![2, 1]])]
#[case::together_then_another([vec![0, 1], vec![2]])]
fn each_failed_run_of_a_gang_is_one_attempt(#[case] runs: [Vec<usize>; 2]) {
    let mut cell = Cell::new(3);
    cell.submit("sew", 3, MemberLoss::RestartAll);
    for failed in runs {
        let starts = cell.starts();
        assert_eq!((starts.len(), &cell.failed[..]), (3, &[][..]));
        cell.break_run(&starts, &failed);
    }
    assert_eq!(cell.starts(), []);
    assert_eq!(cell.failed.len(), 1, "{:?}", cell.failed);
}

/// Guards against a gang whose members are replaced one by one being failed by its size: there each
/// member has attempts of its own.
#[test]
fn members_that_are_replaced_have_attempts_of_their_own() {
    let mut cell = Cell::new(3);
    cell.submit("sew", 3, MemberLoss::Replace);
    let starts = cell.starts();
    for start in &starts {
        cell.end(start, RunEnd::Failed);
    }
    assert_eq!((cell.starts().len(), &cell.failed[..]), (3, &[][..]));
}

/// Guards against attempts that a broken worker uses up: once enough jobs have failed there, it is
/// put into quarantine, and the gangs get the attempt back.
#[test]
fn a_gang_gets_back_the_attempt_that_a_quarantined_worker_used_up() {
    let mut cell = Cell::new(1);
    cell.placer.apply(
        T0,
        Event::Policy(Policy {
            quarantine_failures: 2,
            ..Policy::default()
        }),
    );
    for name in ["sew", "press"] {
        cell.submit(name, 1, MemberLoss::RestartAll);
        // The earlier gang is in its backoff.
        let starts = cell.starts_now();
        cell.end(&starts[0], RunEnd::Failed);
    }
    cell.now += Policy::default().quarantine_trial * 4;
    let again = (0..4).find_map(|_| cell.starts().pop());
    cell.end(&again.expect("the quarantine ended"), RunEnd::Failed);
    cell.starts();
    assert_eq!(cell.failed, [""; 0]);
}
