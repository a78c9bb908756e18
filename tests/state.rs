//! The cell's state machine: what commands do, and what they refuse.

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

struct Bench {
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

impl Bench {
    fn new() -> Self {
        let mut bench = Self {
            cell: Cell::default(),
            now: Duration::from_secs(1_000_000),
        };
        assert_eq!(bench.put(0, document(), None), Reply::Revision(1));
        for id in ["w0", "w1"] {
            let spec = WorkerSpec {
                id: id.into(),
                zone: "olten".into(),
                rack: "r1".into(),
                capacity: Resources::new(32, 64_000, 0),
                accelerator: None,
            };
            bench.apply(Command::WorkerUp { spec, process: 1 });
        }
        bench
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
    // A placer with an old view starts a third task of 16 cores on a worker of 32. The log
    // carries the start to every replica; each refuses it, the task goes on waiting.
    let mut bench = Bench::new();
    for (job, name) in ["a", "b", "c"].iter().enumerate() {
        bench.submit(name, "sum");
        bench.start(job as u32, 0);
    }
    assert_eq!(bench.phase(1), JobPhase::Running);
    assert_eq!(bench.phase(2), JobPhase::Waiting);
    assert_eq!(bench.cell.workers[&0].granted, Resources::new(32, 2_000, 0));
}

#[test]
fn a_task_that_runs_is_not_started_again() {
    // Two starts of one task are in the log, as after a change of leaders. The second finds the
    // task running and does nothing.
    let mut bench = Bench::new();
    bench.submit("a", "plan");
    bench.start(0, 0);
    bench.start(0, 1);
    let task = &bench.cell.jobs[&0].tasks[0];
    assert_eq!((task.attempt, task.running().unwrap().worker), (1, 0));
    assert!(bench.cell.workers[&1].runs.is_empty());
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
    // A worker's lease runs out while a task may be running there. Only what may run twice, or
    // is proved not to have started, waits for another start.
    let mut bench = Bench::new();
    bench.submit("a", kind);
    bench.start(0, 0);
    bench.lose(0, never_sent);
    assert_eq!(bench.phase(0), job);
    assert_eq!(bench.cell.jobs[&0].tasks[0].phase, task);
}

#[test]
fn a_late_word_settles_an_unknown_outcome() {
    // A worker is cut off, its plan becomes unknown, then it comes back and reports the end.
    let mut bench = Bench::new();
    bench.submit("a", "plan");
    bench.start(0, 0);
    bench.lose(0, vec![]);
    bench.report(0, 0, 1, RunEnd::Done);
    assert_eq!(bench.phase(0), JobPhase::Done);
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
    let mut bench = Bench::new();
    bench.submit("a", kind);
    bench.start(0, 0);
    bench.report(0, 0, 1, end);
    assert_eq!(bench.cell.jobs[&0].tasks[0].phase, expected);
    assert_eq!(bench.cell.workers[&0].granted, Resources::ZERO);
}

#[test]
fn an_old_report_changes_nothing() {
    // A report of the first start arrives after the second has begun elsewhere: it must not end
    // the second.
    let mut bench = Bench::new();
    bench.submit("a", "sum");
    bench.start(0, 0);
    bench.lose(0, vec![]);
    bench.start(0, 1);
    bench.report(0, 0, 1, RunEnd::Done);
    assert_eq!(bench.cell.jobs[&0].tasks[0].running().unwrap().worker, 1);
}

#[test]
fn work_that_cannot_resume_is_not_preempted() {
    // A placer orders a plan to stop for urgent work. A stopped plan could never run again.
    let mut bench = Bench::new();
    bench.submit("a", "plan");
    bench.start(0, 0);
    let order = RunOrder {
        job: 0,
        index: 0,
        attempt: 1,
        how: StopKind::Stop,
        reason: yuccahold::placement::StopReason::Preempted,
    };
    bench.apply(Command::Stop(vec![order]));
    assert_eq!(bench.cell.jobs[&0].tasks[0].running().unwrap().order, None);
}

#[test]
fn a_cancelled_job_never_starts() {
    let mut bench = Bench::new();
    bench.submit("a", "plan");
    let cancel = Command::CancelJob {
        job: "a".into(),
        who: "ana".into(),
    };
    let Reply::Job(view) = bench.apply(cancel) else {
        panic!("no view")
    };
    assert_eq!(view.phase, JobPhase::Cancelled);
    bench.start(0, 0);
    assert_eq!(bench.cell.jobs[&0].starts, 0);
}

#[test]
fn a_resent_job_is_one_job() {
    // A caller's answer is lost and it sends the same job again: one job. Another kind under
    // the same name is a conflict.
    let mut bench = Bench::new();
    let first = bench.submit("a", "plan");
    assert_eq!(bench.submit("a", "plan"), first);
    assert_eq!(bench.cell.jobs.len(), 1);
    let Reply::Refused(refusal) = bench.submit("a", "sum") else {
        panic!("accepted")
    };
    assert_eq!(refusal.kind, RefusalKind::Conflict);
}

#[test]
fn two_operators_under_one_revision() {
    // Both read revision 1 and change it. One wins; the other learns which revision is in force.
    // The winner's resend after a lost answer gets its first answer.
    let mut bench = Bench::new();
    let mut ours = document();
    ours.kinds.remove("sum");
    assert_eq!(bench.put(1, ours.clone(), Some("k1")), Reply::Revision(2));
    assert_eq!(bench.put(1, document(), Some("k2")), Reply::Stale(2));
    assert_eq!(bench.put(1, ours.clone(), Some("k1")), Reply::Revision(2));
    assert_eq!(*bench.cell.document(), ours);
}

#[test]
fn a_declared_watcher_changes_form_only_after_the_old_one_ended() {
    // An operator changes the payload of a running watcher. The new form must not start while
    // the old one runs, or a reconciliation would be paid twice.
    let mut bench = Bench::new();
    let mut doc = document();
    let workload = Workload {
        kind: "watch".into(),
        tasks: 1,
        payload: "v1".into(),
    };
    doc.workloads.insert("ledger".into(), workload);
    bench.put(1, doc.clone(), None);
    bench.start(0, 0);
    doc.workloads.get_mut("ledger").unwrap().payload = "v2".into();
    bench.put(2, doc, None);
    assert_eq!(bench.cell.jobs.len(), 1);
    assert_eq!(
        bench.cell.jobs[&0].tasks[0].running().unwrap().order,
        Some(StopKind::Stop)
    );
    bench.report(0, 0, 1, RunEnd::Stopped);
    let (_, job) = bench.cell.job(&"ledger".into()).unwrap();
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
    // A client resends under its key to another entry host while the first still works on it.
    let mut bench = Bench::new();
    assert_eq!(
        bench.apply(claim("k", 1, "e1")),
        Reply::Key(KeyState::Claimed)
    );
    let in_progress = Reply::Key(KeyState::InProgress("e1".into()));
    assert_eq!(bench.apply(claim("k", 1, "e2")), in_progress);
    assert_eq!(
        bench.apply(claim("k", 2, "e2")),
        Reply::Key(KeyState::Mismatch)
    );
    bench.apply(settle("k", "e1", KeyState::NotRun));
    assert_eq!(
        bench.apply(claim("k", 1, "e2")),
        Reply::Key(KeyState::Claimed)
    );
}

#[test]
fn a_lost_claim_does_not_free_the_key_of_another() {
    // The claim of e1 is lost on the way, and e1 keeps saying that nothing ran under it. Until
    // that word arrives, e2 has claimed the key and works on the request. The key stays taken.
    let mut bench = Bench::new();
    bench.apply(claim("k", 1, "e2"));
    bench.apply(settle("k", "e1", KeyState::NotRun));
    let in_progress = Reply::Key(KeyState::InProgress("e2".into()));
    assert_eq!(bench.apply(claim("k", 1, "e3")), in_progress);
}

#[test]
fn an_idempotent_key_of_a_lost_entry_host_is_free() {
    // The entry host that claimed the key dies. The request may run twice, so a resend through
    // another entry host runs it instead of being told that its outcome is unknown.
    let mut bench = Bench::new();
    bench.apply(Command::EntryUp(hello("e1")));
    let Command::ClaimKey(first) = claim("k", 1, "e1") else {
        unreachable!("a claim is a claim")
    };
    let idempotent = KeyClaim {
        idempotent: true,
        ..first
    };
    bench.apply(Command::ClaimKey(idempotent));
    bench.apply(Command::EntryDown {
        entry: "e1".into(),
        process: 7,
    });
    assert_eq!(
        bench.apply(claim("k", 1, "e2")),
        Reply::Key(KeyState::Claimed)
    );
}

#[test]
fn a_key_of_a_lost_entry_host_is_unknown() {
    // The entry host that claimed the key dies with the request in flight: it may have run.
    let mut bench = Bench::new();
    bench.apply(Command::EntryUp(hello("e1")));
    bench.apply(claim("k", 1, "e1"));
    bench.apply(Command::EntryDown {
        entry: "e1".into(),
        process: 7,
    });
    assert_eq!(
        bench.apply(claim("k", 1, "e2")),
        Reply::Key(KeyState::Unknown)
    );
}

#[test]
fn an_old_key_is_refused_and_not_run_again() {
    // A client resends a day later. Its answer is no longer kept; running it again would do the
    // work twice, so it is refused by name.
    let mut bench = Bench::new();
    bench.apply(claim("k", 1, "e1"));
    bench.apply(settle("k", "e1", KeyState::Unknown));
    bench.now += DAY + Duration::from_secs(1);
    let Reply::Refused(refusal) = bench.apply(claim("k", 1, "e1")) else {
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
    // Its owner is lost: another entry host takes over under a higher epoch and is told that
    // requests of the old owner may still be in work. An owner that is asked to release keeps
    // the minion until it says it has finished.
    let mut bench = Bench::new();
    bench.apply(Command::EntryUp(hello("e1")));
    bench.apply(minion("m"));
    let owner = |bench: &Bench| {
        let m = &bench.cell.minions["m"];
        (m.owner.as_deref().map(str::to_owned), m.epoch, m.lapsed)
    };
    assert_eq!(owner(&bench), (Some("e1".to_owned()), 1, false));
    bench.apply(Command::EntryUp(hello("e2")));
    bench.apply(Command::EntryDown {
        entry: "e1".into(),
        process: 7,
    });
    assert_eq!(owner(&bench), (Some("e2".to_owned()), 2, true));
    bench.apply(Command::EntryUp(hello("e1")));
    bench.apply(Command::MoveMinions(vec!["m".into()]));
    assert_eq!(owner(&bench).0.as_deref(), Some("e2"));
    bench.apply(Command::EntryLeaving("e2".into()));
    let minions = vec!["m".into()];
    bench.apply(Command::ReleaseMinions {
        entry: "e2".into(),
        minions,
    });
    assert_eq!(owner(&bench), (Some("e1".to_owned()), 3, false));
}

#[test]
fn a_silent_minion_stays_with_its_owner_until_released() {
    // A minion's announcement lapses while its owner may have requests there, and it announces
    // itself again, nearer to another entry host. Its owner keeps it, under the same number of
    // ownership. One that stays silent is forgotten once the owner has let go.
    let mut bench = Bench::new();
    bench.apply(Command::EntryUp(hello("e1")));
    bench.apply(minion("m"));
    bench.apply(minion("o"));
    bench.apply(Command::EntryUp(hello("e2")));
    let down = |minion: &str| Command::MinionDown {
        minion: minion.into(),
        process: 1,
    };
    bench.apply(down("m"));
    let told = bench.cell.feed().minions["m"].clone();
    assert!(told.leaving && told.release, "{told:?}");
    bench.apply(minion("m"));
    let told = bench.cell.feed().minions["m"].clone();
    assert_eq!((told.owner.as_deref(), told.epoch), (Some("e1"), 1));
    assert!(!told.leaving && !told.release, "{told:?}");
    bench.apply(down("m"));
    bench.apply(Command::ReleaseMinions {
        entry: "e1".into(),
        minions: vec!["m".into()],
    });
    assert!(!bench.cell.minions.contains_key("m"));
}

#[test]
fn a_snapshot_holds_the_whole_state() {
    let mut bench = Bench::new();
    bench.submit("a", "plan");
    bench.start(0, 0);
    bench.apply(claim("k", 1, "e1"));
    bench.apply(minion("m"));
    let mut again = Cell::from_bytes(&bench.cell.to_bytes().unwrap()).unwrap();
    let command = Command::WorkerDown {
        worker: 0,
        process: 1,
        never_sent: vec![],
    };
    assert_eq!(
        again.apply(bench.now, command.clone()),
        bench.cell.apply(bench.now, command)
    );
    assert_eq!(again.to_bytes().unwrap(), bench.cell.to_bytes().unwrap());
}

#[test]
fn an_unknown_state_version_is_refused_by_number() {
    let mut bytes = Cell::default().to_bytes().unwrap();
    bytes[0] = 99;
    let e = Cell::from_bytes(&bytes).unwrap_err();
    insta::assert_snapshot!(e.to_string(), @"codec: state version 99 is unknown, this process has 1");
}
