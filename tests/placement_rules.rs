//! Placement rules, checked on single decisions.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use yuccahold::ids::Timestamp;
use yuccahold::placement::{
    Decision, Event, FirstFit, Placer, RandomOfK, RestoredTask, Scheduler, StopReason, TaskState,
};
use yuccahold::resources::Resources;
use yuccahold::wire::StopKind;
use yuccahold::workload::{
    Band, JobSpec, MemberLoss, RunEnd, TaskId, TaskRun, WorkClass, WorkerSpec,
};

const T0: Timestamp = Duration::from_secs(1000);

fn at(seconds: u64) -> Timestamp {
    T0 + Duration::from_secs(seconds)
}

fn worker(name: &str, zone: &str, cores: u32, memory: u32) -> Event {
    Event::WorkerUp(WorkerSpec {
        id: name.into(),
        zone: zone.into(),
        rack: "r1".into(),
        capacity: Resources::new(cores, memory, 0),
        accelerator: None,
    })
}

fn job(name: &str, tasks: u32, cores: u32) -> JobSpec {
    JobSpec {
        name: name.into(),
        kind: name.into(),
        team: "workshop".into(),
        tasks,
        need: Resources::new(cores, 1000, 0),
        run_time: Duration::from_secs(60),
        idempotent: true,
        max_attempts: 3,
        max_unavailable: 1,
        ..JobSpec::default()
    }
}

fn arrive(placer: &mut impl Placer, now: Timestamp, spec: JobSpec) {
    let spec = Arc::new(spec);
    placer.apply(now, Event::JobArrived { spec, at: now });
}

fn decide(placer: &mut impl Placer, now: Timestamp) -> Vec<Decision> {
    let mut out = Vec::new();
    placer.decide(now, 1000, &mut out);
    out
}

fn starts(decisions: &[Decision]) -> Vec<(TaskRun, String)> {
    let found = decisions.iter().filter_map(|d| match d {
        Decision::Start { run, worker, .. } => Some((run.clone(), worker.to_string())),
        _ => None,
    });
    found.collect()
}

fn stops(decisions: &[Decision]) -> Vec<(String, StopKind, StopReason)> {
    let found = decisions.iter().filter_map(|d| match d {
        Decision::Stop {
            run, how, reason, ..
        } => Some((run.task.job.to_string(), *how, *reason)),
        _ => None,
    });
    found.collect()
}

fn end(placer: &mut impl Placer, now: Timestamp, started: &(TaskRun, String), end: RunEnd) {
    let (run, worker) = started.clone();
    let worker = worker.into();
    placer.apply(now, Event::RunEnded { run, worker, end });
}

fn check_fill_and_refill(placer: &mut impl Placer) {
    placer.apply(T0, worker("w1", "bern-a", 8, 8000));
    arrive(placer, T0, job("plan", 3, 4));
    let first = starts(&decide(placer, T0));
    assert_eq!(first.len(), 2);
    assert!(starts(&decide(placer, at(1))).is_empty());
    assert!(placer.explain(at(1), &"plan".into()).is_some());
    end(placer, at(60), &first[0], RunEnd::Done);
    let second = starts(&decide(placer, at(60)));
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].0.attempt, 1);
    assert!(placer.explain(at(60), &"plan".into()).is_none());
}

#[test]
fn every_placer_fills_a_worker_without_overcommitting() {
    check_fill_and_refill(&mut Scheduler::new(1));
    check_fill_and_refill(&mut FirstFit::new());
    check_fill_and_refill(&mut RandomOfK::new(1, 2, 8));
}

// Guards against deadlock of two gangs that each need the whole cell: if each held half of it,
// neither could start. They start one after the other, each as a whole.
#[test]
fn two_competing_gangs_start_one_after_the_other() {
    let mut s = Scheduler::new(1);
    for name in ["w1", "w2", "w3", "w4"] {
        s.apply(T0, worker(name, "bern-a", 8, 8000));
    }
    arrive(&mut s, T0, job("small", 2, 8));
    let small = starts(&decide(&mut s, T0));
    assert_eq!(small.len(), 2);
    for name in ["left", "right"] {
        let mut spec = job(name, 4, 8);
        spec.class = WorkClass::Gang;
        arrive(&mut s, at(1), spec);
    }
    assert!(starts(&decide(&mut s, at(10))).is_empty());
    end(&mut s, at(60), &small[0], RunEnd::Done);
    assert!(starts(&decide(&mut s, at(60))).is_empty());
    end(&mut s, at(61), &small[1], RunEnd::Done);
    let first = starts(&decide(&mut s, at(61)));
    assert_eq!(first.len(), 4);
    assert!(first.iter().all(|(run, _)| run.task.job == "left"));
    for run in &first {
        end(&mut s, at(130), run, RunEnd::Done);
    }
    let second = starts(&decide(&mut s, at(130)));
    assert_eq!(second.len(), 4);
    assert!(second.iter().all(|(run, _)| run.task.job == "right"));
}

// Guards against a partially running gang. A worker fails after the gang's start was decided but
// before it was carried out, so one start is refused and the other happens. The other run is
// stopped, and all tasks start elsewhere; the refused attempt number is used again.
#[test]
fn a_gang_with_a_refused_start_restarts_as_a_whole() {
    let mut s = Scheduler::new(1);
    for name in ["w1", "w2", "w3"] {
        s.apply(T0, worker(name, "bern-a", 8, 8000));
    }
    let mut spec = job("sew", 2, 8);
    spec.class = WorkClass::Gang;
    spec.on_member_loss = MemberLoss::RestartAll;
    arrive(&mut s, T0, spec);
    let first = starts(&decide(&mut s, T0));
    assert_eq!(first.len(), 2);
    let (run, lost) = first[0].clone();
    s.apply(at(1), Event::WorkerDown(lost.as_str().into()));
    let worker = lost.as_str().into();
    s.apply(at(1), Event::StartRefused { run, worker });
    let broken = decide(&mut s, at(1));
    assert_eq!(
        stops(&broken),
        [("sew".to_owned(), StopKind::Stop, StopReason::GangBroken)]
    );
    assert!(starts(&broken).is_empty());
    end(&mut s, at(2), &first[1], RunEnd::Stopped);
    let again = starts(&decide(&mut s, at(3)));
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|(_, w)| *w != lost));
    let mut attempts: Vec<u32> = again.iter().map(|(run, _)| run.attempt).collect();
    attempts.sort_unstable();
    assert_eq!(attempts, [1, 2]);
}

// Guards against double starts and overcommitted workers after a leader change. The new leader's
// placer is built from the workers and the state of each task.
#[test]
fn a_restored_placer_keeps_earlier_grants() {
    let mut s = Scheduler::new(2);
    s.apply(T0, worker("w1", "bern-a", 8, 8000));
    let task = |index, attempt, state| RestoredTask {
        task: TaskId {
            job: "plan".into(),
            index,
        },
        attempt,
        preemptions: 0,
        state,
    };
    let running = TaskState::Running {
        worker: "w1".into(),
        granted: Resources::new(4, 1000, 0),
        since: T0,
    };
    let tasks = vec![
        task(0, 2, running),
        task(1, 1, TaskState::Ended),
        task(2, 0, TaskState::Waiting),
        task(3, 3, TaskState::Waiting),
    ];
    let spec = Arc::new(job("plan", 4, 4));
    let restored = Event::JobRestored {
        spec,
        at: T0,
        tasks,
    };
    s.apply(at(5), restored);
    let first = starts(&decide(&mut s, at(5)));
    assert_eq!(first.len(), 1);
    let old = TaskRun {
        task: TaskId {
            job: "plan".into(),
            index: 0,
        },
        attempt: 2,
    };
    end(&mut s, at(9), &(old, "w1".to_owned()), RunEnd::Done);
    let second = starts(&decide(&mut s, at(9)));
    let mut all: Vec<(u32, u32)> = first
        .iter()
        .chain(&second)
        .map(|(run, _)| (run.task.index, run.attempt))
        .collect();
    all.sort_unstable();
    assert_eq!(all, [(2, 1), (3, 4)]);
}

// Guards against a second start of a non-idempotent task that ran, however its run ended.
#[rstest]
#[case(RunEnd::Done, false)]
#[case(RunEnd::Failed, false)]
#[case(RunEnd::Stopped, false)]
#[case(RunEnd::Checkpointed, true)]
#[case(RunEnd::NeverStarted, true)]
fn a_non_idempotent_task_restarts_only_if_unstarted_or_checkpointed(
    #[case] how: RunEnd,
    #[case] again: bool,
) {
    let mut s = Scheduler::new(1);
    s.apply(T0, worker("w1", "bern-a", 8, 8000));
    let mut spec = job("payment", 1, 4);
    spec.idempotent = false;
    spec.checkpoint = true;
    arrive(&mut s, T0, spec);
    let first = starts(&decide(&mut s, T0));
    end(&mut s, at(1), &first[0], how);
    assert_eq!(starts(&decide(&mut s, at(200))).len(), usize::from(again));
}

// The cell is full when an urgent task arrives. It starts as soon as the run with checkpoints has
// ended, not the run without; the preempted task starts again later as attempt 2.
#[test]
fn an_urgent_task_preempts_a_run_with_checkpoints() {
    let mut s = Scheduler::new(1);
    s.apply(T0, worker("w1", "bern-a", 8, 8000));
    let mut saving = job("plan", 1, 4);
    saving.checkpoint = true;
    arrive(&mut s, T0, saving);
    arrive(&mut s, T0, job("books", 1, 4));
    let first = starts(&decide(&mut s, T0));
    assert_eq!(first.len(), 2);
    let mut urgent = job("check", 1, 4);
    urgent.band = Band::Urgent;
    arrive(&mut s, at(5), urgent);
    let made = decide(&mut s, at(5));
    assert_eq!(
        stops(&made),
        [(
            "plan".to_owned(),
            StopKind::Checkpoint,
            StopReason::Preempted
        )]
    );
    let plan = first
        .iter()
        .find(|(run, _)| run.task.job == "plan")
        .unwrap();
    end(&mut s, at(6), plan, RunEnd::Checkpointed);
    let next = starts(&decide(&mut s, at(6)));
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].0.task.job, "check");
    end(&mut s, at(7), &next[0], RunEnd::Done);
    let back = starts(&decide(&mut s, at(7)));
    assert_eq!(
        (back[0].0.task.job.as_str(), back[0].0.attempt),
        ("plan", 2)
    );
}
