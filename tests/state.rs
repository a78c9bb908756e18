//! The replicated state machine: the effects of commands, and when they are refused.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use yuccahold::document::{Document, JobKind, Workload};
use yuccahold::resources::Resources;
use yuccahold::state::{
    Cell, Command, Place, PlaceJob, Reply, RunOrder, Start, TaskPhase, WorkerReport,
};
use yuccahold::wire::{
    EntryHello, JobPhase, JobSubmission, KeyClaim, KeySettlement, KeyState, MinionAnnouncement,
    RefusalKind, StopKind,
};
use yuccahold::workload::{RunEnd, WorkClass, WorkerSpec};

const DAY: Duration = Duration::from_secs(24 * 3600);

struct Fixture {
    cell: Cell,
    now: Duration,
}

fn kind(idempotent: bool, class: WorkClass) -> JobKind {
    JobKind {
        class,
        tasks: 1,
        need: Resources::new(16, 1_000, 0),
        idempotent,
        max_attempts: 3,
        ..JobKind::default()
    }
}

fn document() -> Document {
    let mut doc = Document::default();
    doc.kinds
        .insert("plan".into(), kind(false, WorkClass::Batch));
    doc.kinds.insert("sum".into(), kind(true, WorkClass::Batch));
    doc.kinds
        .insert("watch".into(), kind(false, WorkClass::Watcher));
    doc
}

impl Fixture {
    fn new() -> Self {
        let mut cx = Self {
            cell: Cell::default(),
            now: Duration::from_secs(1_000_000),
        };
        assert_eq!(cx.put(0, document(), None), Reply::Revision(1));
        for id in ["w0", "w1"] {
            let spec = WorkerSpec {
                id: id.into(),
                zone: "olten".into(),
                rack: "r1".into(),
                capacity: Resources::new(32, 64_000, 0),
                accelerator: None,
            };
            cx.apply(Command::WorkerUp { spec, process: 1 });
        }
        cx
    }

    fn apply(&mut self, command: Command) -> Reply {
        self.now += Duration::from_millis(1);
        let bytes = command.to_bytes().unwrap();
        self.cell
            .apply(self.now, Command::from_bytes(&bytes).unwrap())
    }

    fn put(&mut self, base: u64, doc: Document, key: Option<&str>) -> Reply {
        self.apply(Command::PutDocument {
            base,
            document: Arc::new(doc),
            who: "ana".into(),
            key: key.map(Into::into),
        })
    }

    fn submit(&mut self, name: &str, kind: &str) -> Reply {
        self.apply(Command::SubmitJob {
            submission: JobSubmission {
                name: Some(name.into()),
                kind: kind.into(),
                ..JobSubmission::default()
            },
            who: "caller".into(),
        })
    }

    fn start(&mut self, job: u32, worker: u32) {
        let starts = vec![Start { step: 0, worker }];
        let jobs = vec![PlaceJob {
            job,
            granted: None,
            starts,
        }];
        self.apply(Command::Place(Place { jobs }));
    }

    fn report(&mut self, worker: u32, job: u32, attempt: u32, end: RunEnd) {
        let ended = vec![(job, 0, attempt, end)];
        self.apply(Command::Report(vec![WorkerReport { worker, ended }]));
    }

    fn lose(&mut self, worker: u32, never_sent: Vec<(u32, u32)>) {
        self.apply(Command::WorkerDown {
            worker,
            process: 1,
            never_sent,
        });
    }

    fn phase(&self, job: u32) -> JobPhase {
        self.cell.jobs[&job].phase()
    }
}

#[test]
fn a_full_worker_gets_nothing_more() {
    // A placer with outdated state starts a third task of 16 cores on a worker of 32 cores. Every
    // replica refuses the start, and the task stays waiting.
    let mut cx = Fixture::new();
    for (job, name) in ["a", "b", "c"].iter().enumerate() {
        cx.submit(name, "sum");
        cx.start(job as u32, 0);
    }
    assert_eq!(cx.phase(1), JobPhase::Running);
    assert_eq!(cx.phase(2), JobPhase::Waiting);
    assert_eq!(cx.cell.workers[&0].granted, Resources::new(32, 2_000, 0));
}

#[test]
fn a_task_that_runs_is_not_started_again() {
    // After a change of leader the log can hold two starts of one task. The second must do
    // nothing, because the task is running.
    let mut cx = Fixture::new();
    cx.submit("a", "plan");
    cx.start(0, 0);
    cx.start(0, 1);
    let task = &cx.cell.jobs[&0].tasks[0];
    assert_eq!((task.attempt, task.running().unwrap().worker), (1, 0));
    assert!(cx.cell.workers[&1].runs.is_empty());
}

#[rstest]
#[case::idempotent_waits("sum", vec![], JobPhase::Running, TaskPhase::Waiting)]
#[case::plan_is_unknown("plan", vec![], JobPhase::Unknown, TaskPhase::Unknown)]
#[case::plan_never_sent_waits("plan", vec![(0, 0)], JobPhase::Running, TaskPhase::Waiting)]
#[case::watcher_waits("watch", vec![], JobPhase::Running, TaskPhase::Waiting)]
fn a_lost_worker(
    #[case] kind: &str,
    #[case] never_sent: Vec<(u32, u32)>,
    #[case] job: JobPhase,
    #[case] task: TaskPhase,
) {
    // A worker's lease expires while a task may be running there. The task waits for another
    // start only if it may run twice or was never sent to the worker.
    let mut cx = Fixture::new();
    cx.submit("a", kind);
    cx.start(0, 0);
    cx.lose(0, never_sent);
    assert_eq!(cx.phase(0), job);
    assert_eq!(cx.cell.jobs[&0].tasks[0].phase, task);
}

#[test]
fn a_late_report_resolves_an_unknown_outcome() {
    // A worker is cut off until its lease expires, and the outcome of its run is unknown. Then it
    // reconnects and reports how the run ended.
    let mut cx = Fixture::new();
    cx.submit("a", "plan");
    cx.start(0, 0);
    cx.lose(0, vec![]);
    cx.report(0, 0, 1, RunEnd::Done);
    assert_eq!(cx.phase(0), JobPhase::Done);
}

#[rstest]
#[case("sum", RunEnd::Failed, TaskPhase::Waiting)]
#[case("sum", RunEnd::Done, TaskPhase::Done)]
#[case("plan", RunEnd::Failed, TaskPhase::Failed)]
#[case("plan", RunEnd::Stopped, TaskPhase::Unknown)]
#[case("plan", RunEnd::NeverStarted, TaskPhase::Waiting)]
#[case("plan", RunEnd::Checkpointed, TaskPhase::Waiting)]
#[case("watch", RunEnd::Done, TaskPhase::Waiting)]
fn an_ended_run(#[case] kind: &str, #[case] end: RunEnd, #[case] expected: TaskPhase) {
    let mut cx = Fixture::new();
    cx.submit("a", kind);
    cx.start(0, 0);
    cx.report(0, 0, 1, end);
    assert_eq!(cx.cell.jobs[&0].tasks[0].phase, expected);
    assert_eq!(cx.cell.workers[&0].granted, Resources::ZERO);
}

#[test]
fn an_old_report_changes_nothing() {
    // A report of the first run arrives after the task was started again on another worker. It
    // must not end the second run.
    let mut cx = Fixture::new();
    cx.submit("a", "sum");
    cx.start(0, 0);
    cx.lose(0, vec![]);
    cx.start(0, 1);
    cx.report(0, 0, 1, RunEnd::Done);
    assert_eq!(cx.cell.jobs[&0].tasks[0].running().unwrap().worker, 1);
}

#[test]
fn work_that_cannot_resume_is_not_preempted() {
    // A placer stops a run for urgent work, although it can be neither resumed nor run again. The
    // order must be ignored, or the work would be lost.
    let mut cx = Fixture::new();
    cx.submit("a", "plan");
    cx.start(0, 0);
    let order = RunOrder {
        job: 0,
        index: 0,
        attempt: 1,
        how: StopKind::Stop,
        reason: yuccahold::placement::StopReason::Preempted,
    };
    cx.apply(Command::Stop(vec![order]));
    assert_eq!(cx.cell.jobs[&0].tasks[0].running().unwrap().order, None);
}

#[test]
fn a_cancelled_job_never_starts() {
    let mut cx = Fixture::new();
    cx.submit("a", "plan");
    let cancel = Command::CancelJob {
        job: "a".into(),
        who: "ana".into(),
    };
    let Reply::Job(view) = cx.apply(cancel) else {
        panic!("no view")
    };
    assert_eq!(view.phase, JobPhase::Cancelled);
    cx.start(0, 0);
    assert_eq!(cx.cell.jobs[&0].starts, 0);
}

#[test]
fn a_resent_job_is_one_job() {
    // A caller whose answer was lost submits the same job again: only one job exists. Another
    // kind under the same name is a conflict.
    let mut cx = Fixture::new();
    let first = cx.submit("a", "plan");
    assert_eq!(cx.submit("a", "plan"), first);
    assert_eq!(cx.cell.jobs.len(), 1);
    let Reply::Refused(refusal) = cx.submit("a", "sum") else {
        panic!("accepted")
    };
    assert_eq!(refusal.kind, RefusalKind::Conflict);
}

#[test]
fn two_operators_under_one_revision() {
    // Both change revision 1. The first is accepted; the second is refused with the revision in
    // force. A resend of the first under its key gets the same reply again.
    let mut cx = Fixture::new();
    let mut ours = document();
    ours.kinds.remove("sum");
    assert_eq!(cx.put(1, ours.clone(), Some("k1")), Reply::Revision(2));
    assert_eq!(cx.put(1, document(), Some("k2")), Reply::Stale(2));
    assert_eq!(cx.put(1, ours.clone(), Some("k1")), Reply::Revision(2));
    assert_eq!(*cx.cell.document(), ours);
}

#[test]
fn a_changed_watcher_starts_only_after_the_old_run_ended() {
    // An operator changes the payload of a running watcher. The new run must not start while the
    // old one is running, or a payment could be made twice.
    let mut cx = Fixture::new();
    let mut doc = document();
    let workload = Workload {
        kind: "watch".into(),
        tasks: 1,
        payload: "v1".into(),
    };
    doc.workloads.insert("ledger".into(), workload);
    cx.put(1, doc.clone(), None);
    cx.start(0, 0);
    doc.workloads.get_mut("ledger").unwrap().payload = "v2".into();
    cx.put(2, doc, None);
    assert_eq!(cx.cell.jobs.len(), 1);
    assert_eq!(
        cx.cell.jobs[&0].tasks[0].running().unwrap().order,
        Some(StopKind::Stop)
    );
    cx.report(0, 0, 1, RunEnd::Stopped);
    let (_, job) = cx.cell.job(&"ledger".into()).unwrap();
    assert_eq!(
        (job.spec.payload.as_str(), job.phase()),
        ("v2", JobPhase::Waiting)
    );
}

fn claim(key: &str, digest: u8, entry: &str) -> Command {
    Command::ClaimKey(KeyClaim {
        service: "s".into(),
        key: key.into(),
        digest: [digest; 16],
        entry: entry.into(),
        process: 7,
        idempotent: false,
    })
}

fn settle(key: &str, entry: &str, state: KeyState) -> Command {
    Command::SettleKey(KeySettlement {
        service: "s".into(),
        key: key.into(),
        entry: entry.into(),
        process: 7,
        state,
    })
}

#[test]
fn one_key_at_two_entry_hosts_runs_once() {
    // A client resends a request under its key to another entry host while the first entry host
    // still has it in progress.
    let mut cx = Fixture::new();
    assert_eq!(cx.apply(claim("k", 1, "e1")), Reply::Key(KeyState::Claimed));
    let in_progress = Reply::Key(KeyState::InProgress("e1".into()));
    assert_eq!(cx.apply(claim("k", 1, "e2")), in_progress);
    assert_eq!(
        cx.apply(claim("k", 2, "e2")),
        Reply::Key(KeyState::Mismatch)
    );
    cx.apply(settle("k", "e1", KeyState::NotRun));
    assert_eq!(cx.apply(claim("k", 1, "e2")), Reply::Key(KeyState::Claimed));
}

#[test]
fn a_lost_claim_does_not_free_the_key_of_another() {
    // The claim of e1 is lost in transit, and e1 settles it as not run. By the time this arrives,
    // e2 has claimed the key and has the request in progress. The key must stay claimed.
    let mut cx = Fixture::new();
    cx.apply(claim("k", 1, "e2"));
    cx.apply(settle("k", "e1", KeyState::NotRun));
    let in_progress = Reply::Key(KeyState::InProgress("e2".into()));
    assert_eq!(cx.apply(claim("k", 1, "e3")), in_progress);
}

#[test]
fn an_idempotent_key_of_a_lost_entry_host_is_free() {
    // The entry host that claimed the key is lost. The request is idempotent, so a resend through
    // another entry host runs it instead of reporting an unknown outcome.
    let mut cx = Fixture::new();
    cx.apply(Command::EntryUp(hello("e1")));
    let Command::ClaimKey(first) = claim("k", 1, "e1") else {
        unreachable!("claim() returns ClaimKey")
    };
    let idempotent = KeyClaim {
        idempotent: true,
        ..first
    };
    cx.apply(Command::ClaimKey(idempotent));
    cx.apply(Command::EntryDown {
        entry: "e1".into(),
        process: 7,
    });
    assert_eq!(cx.apply(claim("k", 1, "e2")), Reply::Key(KeyState::Claimed));
}

#[test]
fn a_key_of_a_lost_entry_host_is_unknown() {
    // The entry host that claimed the key is lost with the request in flight. The request may have
    // run, so a resend must not run it again.
    let mut cx = Fixture::new();
    cx.apply(Command::EntryUp(hello("e1")));
    cx.apply(claim("k", 1, "e1"));
    cx.apply(Command::EntryDown {
        entry: "e1".into(),
        process: 7,
    });
    assert_eq!(cx.apply(claim("k", 1, "e2")), Reply::Key(KeyState::Unknown));
}

#[test]
fn an_old_key_is_refused_and_not_run_again() {
    // A client resends a request after a day, when its answer is no longer kept. Running it again
    // would do the work twice, so it is refused as expired.
    let mut cx = Fixture::new();
    cx.apply(claim("k", 1, "e1"));
    cx.apply(settle("k", "e1", KeyState::Unknown));
    cx.now += DAY + Duration::from_secs(1);
    let Reply::Refused(refusal) = cx.apply(claim("k", 1, "e1")) else {
        panic!("ran again")
    };
    assert_eq!(refusal.kind, RefusalKind::Expired);
}

fn hello(entry: &str) -> EntryHello {
    EntryHello {
        entry: entry.into(),
        process: 7,
        zone: "olten".into(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        in_force: 0,
    }
}

fn minion(id: &str) -> Command {
    Command::AnnounceMinion(MinionAnnouncement {
        id: id.into(),
        process: 1,
        service: "s".into(),
        addr: "127.0.0.1:2".parse().unwrap(),
        zone: "olten".into(),
        slots: 8,
        connections: 64,
        ttl: Duration::from_secs(5),
    })
}

#[test]
fn a_minion_has_one_owner_at_a_time() {
    // When the owner is lost, another entry host becomes the owner under a higher epoch, with
    // `lapsed` set because requests of the old owner may still be in progress. An owner that is
    // asked to release a minion keeps it until it reports that its requests have finished.
    let mut cx = Fixture::new();
    cx.apply(Command::EntryUp(hello("e1")));
    cx.apply(minion("m"));
    let owner = |cx: &Fixture| {
        let m = &cx.cell.minions["m"];
        (m.owner.as_deref().map(str::to_owned), m.epoch, m.lapsed)
    };
    assert_eq!(owner(&cx), (Some("e1".to_owned()), 1, false));
    cx.apply(Command::EntryUp(hello("e2")));
    cx.apply(Command::EntryDown {
        entry: "e1".into(),
        process: 7,
    });
    assert_eq!(owner(&cx), (Some("e2".to_owned()), 2, true));
    cx.apply(Command::EntryUp(hello("e1")));
    cx.apply(Command::MoveMinions(vec!["m".into()]));
    assert_eq!(owner(&cx).0.as_deref(), Some("e2"));
    cx.apply(Command::EntryLeaving("e2".into()));
    let minions = vec!["m".into()];
    cx.apply(Command::ReleaseMinions {
        entry: "e2".into(),
        minions,
    });
    assert_eq!(owner(&cx), (Some("e1".to_owned()), 3, false));
}

#[test]
fn a_silent_minion_stays_with_its_owner_until_released() {
    // A minion's announcement expires while its owner may have requests there, and the minion
    // announces itself again. The owner keeps it under the same epoch. A minion that doesn't
    // return is removed once the owner has released it.
    let mut cx = Fixture::new();
    cx.apply(Command::EntryUp(hello("e1")));
    cx.apply(minion("m"));
    cx.apply(minion("o"));
    cx.apply(Command::EntryUp(hello("e2")));
    let down = |minion: &str| Command::MinionDown {
        minion: minion.into(),
        process: 1,
    };
    cx.apply(down("m"));
    let fed = cx.cell.feed().minions["m"].clone();
    assert!(fed.leaving && fed.release, "{fed:?}");
    cx.apply(minion("m"));
    let fed = cx.cell.feed().minions["m"].clone();
    assert_eq!((fed.owner.as_deref(), fed.epoch), (Some("e1"), 1));
    assert!(!fed.leaving && !fed.release, "{fed:?}");
    cx.apply(down("m"));
    cx.apply(Command::ReleaseMinions {
        entry: "e1".into(),
        minions: vec!["m".into()],
    });
    assert!(!cx.cell.minions.contains_key("m"));
}

#[test]
fn a_snapshot_holds_the_whole_state() {
    let mut cx = Fixture::new();
    cx.submit("a", "plan");
    cx.start(0, 0);
    cx.apply(claim("k", 1, "e1"));
    cx.apply(minion("m"));
    let mut restored = Cell::from_bytes(&cx.cell.to_bytes().unwrap()).unwrap();
    let command = Command::WorkerDown {
        worker: 0,
        process: 1,
        never_sent: vec![],
    };
    assert_eq!(
        restored.apply(cx.now, command.clone()),
        cx.cell.apply(cx.now, command)
    );
    assert_eq!(restored.to_bytes().unwrap(), cx.cell.to_bytes().unwrap());
}

#[test]
fn an_unknown_state_version_is_refused_by_number() {
    let mut bytes = Cell::default().to_bytes().unwrap();
    bytes[0] = 99;
    let e = Cell::from_bytes(&bytes).unwrap_err();
    insta::assert_snapshot!(e.to_string(), @"codec: state version 99 is unknown, this process has 1");
}
