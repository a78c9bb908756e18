//! The leader's leases on workers and entry hosts: no task is given to a second worker and no
//! minion to a second process while an earlier one may still be active.

use std::time::Duration;

use yuccahold::control::{Command, ENTRY_LEASE, Machine, PollMode, PollStep, RenewStep};
use yuccahold::document::{Document, JobKind, Objective, ObjectiveTarget};
use yuccahold::lease::grantor_ttl;
use yuccahold::placement::FirstFit;
use yuccahold::replication::StateMachine;
use yuccahold::resources::Resources;
use yuccahold::state::Reply;
use yuccahold::wire::{
    EndedRun, EntryHello, EntryReport, JobPhase, JobSubmission, MinionAnnouncement, StopKind,
    WorkerPoll, WorkerTasks,
};
use yuccahold::workload::{RunEnd, TaskId, TaskRun, WorkerSpec};

const LEASE: Duration = Duration::from_secs(10);
const UNIX: Duration = Duration::from_secs(1_700_000_000);

/// A leader whose commands are applied at once, without other replicas.
struct Leader {
    machine: Machine<FirstFit>,
    now: Duration,
    index: u64,
}

impl Leader {
    fn new() -> Self {
        let mut leader = Self {
            machine: Machine::new(FirstFit::new),
            now: Duration::from_secs(100),
            index: 0,
        };
        leader.machine.leadership_changed(true, leader.now);
        let mut document = Document::default();
        document.policy.lease = LEASE;
        for (name, idempotent) in [("plan", false), ("sum", true)] {
            let kind = JobKind {
                tasks: 1,
                need: Resources::new(4, 1_000, 0),
                idempotent,
                max_attempts: 5,
                ..JobKind::default()
            };
            document.kinds.insert(name.into(), kind);
        }
        leader.apply(Command::PutDocument {
            base: 0,
            document: document.into(),
            who: "ana".into(),
            key: None,
        });
        leader
    }

    fn apply(&mut self, command: Command) -> Reply {
        self.index += 1;
        let bytes = command.to_bytes().unwrap();
        self.machine.apply(self.index, UNIX + self.now, &bytes)
    }

    /// Advances time and applies the leader's commands until it proposes none.
    fn pass(&mut self, span: Duration) {
        self.now += span;
        loop {
            let commands = self.machine.own_commands(self.now);
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.index += 1;
                self.machine.apply(self.index, UNIX + self.now, &command);
            }
        }
    }

    fn submit(&mut self, name: &str, kind: &str) {
        self.apply(Command::SubmitJob {
            submission: JobSubmission {
                name: Some(name.into()),
                kind: kind.into(),
                ..JobSubmission::default()
            },
            who: "caller".into(),
        });
        self.pass(Duration::ZERO);
    }

    /// Answers a poll as the daemon does, applying the commands that it needs first.
    fn poll(&mut self, poll: &WorkerPoll) -> WorkerTasks {
        loop {
            match self
                .machine
                .poll_worker(self.now, poll, PollMode::AnswerNow)
            {
                PollStep::Answer(tasks) => return tasks,
                PollStep::Propose(commands) => {
                    for command in commands {
                        self.apply(command);
                    }
                    self.pass(Duration::ZERO);
                }
                PollStep::Hold(_) => panic!("the poll was held although the mode is AnswerNow"),
            }
        }
    }

    fn phase(&self, job: &str) -> JobPhase {
        self.machine.cell().view_job(&job.into()).unwrap().phase
    }
}

fn worker(id: &str, process: u64) -> WorkerPoll {
    WorkerPoll {
        worker: WorkerSpec {
            id: id.into(),
            zone: "olten".into(),
            rack: "r1".into(),
            capacity: Resources::new(4, 4_000, 0),
            accelerator: None,
        },
        process,
        sequence: 1,
        list: 0,
        unchanged: false,
        running: Vec::new(),
        ended: Vec::new(),
        usage: Vec::new(),
        wait: Duration::ZERO,
        leaving: false,
    }
}

fn run(job: &str, attempt: u32) -> TaskRun {
    let task = TaskId {
        job: job.into(),
        index: 0,
    };
    TaskRun { task, attempt }
}

fn starts(tasks: &WorkerTasks) -> Vec<TaskRun> {
    tasks
        .assigned
        .iter()
        .map(|assigned| assigned.run.clone())
        .collect()
}

/// Time after which the leader treats an unrenewed worker lease as expired.
fn expiry() -> Duration {
    grantor_ttl(LEASE) + Duration::from_millis(1)
}

#[test]
fn a_start_whose_answer_is_lost_is_sent_again() {
    // A worker polls and the answer with a start is lost. The next poll must return the same start
    // with the same attempt.
    let mut leader = Leader::new();
    leader.poll(&worker("w", 1));
    leader.submit("a", "plan");
    let first = starts(&leader.poll(&worker("w", 1)));
    assert_eq!(first, [run("a", 1)]);
    assert_eq!(starts(&leader.poll(&worker("w", 1))), first);
}

#[test]
fn a_lease_that_ends_races_a_finish() {
    // A worker finishes a task while its lease expires, so the outcome is unknown when its report
    // arrives. The worker joins again, and its report resolves the outcome.
    let mut leader = Leader::new();
    leader.poll(&worker("w", 1));
    leader.submit("a", "plan");
    leader.poll(&worker("w", 1));
    leader.pass(expiry());
    assert_eq!(leader.phase("a"), JobPhase::Unknown);
    let mut late = worker("w", 1);
    late.ended = vec![EndedRun {
        run: run("a", 1),
        end: RunEnd::Done,
    }];
    let answer = leader.poll(&late);
    assert_eq!(answer.acknowledged, [run("a", 1)]);
    assert_eq!(leader.phase("a"), JobPhase::Done);
}

#[test]
fn a_plan_that_was_never_sent_waits_again() {
    // A start is committed, but the worker doesn't poll again before its lease expires. The start
    // was in no answer, so the task can't have run and may start on another worker.
    let mut leader = Leader::new();
    leader.poll(&worker("w", 1));
    leader.submit("a", "plan");
    leader.pass(expiry());
    assert_eq!(leader.phase("a"), JobPhase::Running);
    let tasks = leader.poll(&worker("v", 1));
    assert_eq!(starts(&tasks), [run("a", 2)]);
}

#[test]
fn a_worker_back_after_its_lease_stops_reassigned_runs() {
    // A worker is cut off for longer than its lease, and its task starts on another worker. When
    // it returns and still lists the run, it must be ordered to stop it and start nothing.
    let mut leader = Leader::new();
    leader.poll(&worker("w", 1));
    leader.submit("a", "sum");
    assert_eq!(starts(&leader.poll(&worker("w", 1))), [run("a", 1)]);
    leader.pass(expiry());
    assert_eq!(starts(&leader.poll(&worker("v", 1))), [run("a", 2)]);
    let mut back = worker("w", 1);
    back.running = vec![run("a", 1)];
    let answer = leader.poll(&back);
    assert_eq!(starts(&answer), []);
    let stops: Vec<_> = answer.stop.iter().map(|s| (s.run.clone(), s.how)).collect();
    assert_eq!(stops, [(run("a", 1), StopKind::Stop)]);
}

#[test]
fn a_new_leader_honours_the_grants_of_the_old() {
    // The leader changes just after a grant. The new leader has had no poll of the worker, so it
    // must wait one full lease from its election before it starts the task elsewhere.
    let mut leader = Leader::new();
    leader.poll(&worker("w", 1));
    leader.submit("a", "sum");
    leader.poll(&worker("w", 1));
    leader.machine.leadership_changed(false, leader.now);
    leader.now += LEASE / 2;
    leader.machine.leadership_changed(true, leader.now);
    leader.poll(&worker("v", 1));
    leader.pass(LEASE - Duration::from_millis(1));
    assert_eq!(starts(&leader.poll(&worker("v", 1))), []);
    leader.pass(expiry() - LEASE);
    leader.poll(&worker("v", 1));
    leader.pass(Duration::from_millis(2));
    assert_eq!(starts(&leader.poll(&worker("v", 1))), [run("a", 2)]);
}

#[test]
fn a_pause_of_control_over_a_lease_grants_nothing_late() {
    // Control is paused until after a worker's lease has expired, with a poll of that worker
    // waiting in its queue. The lease must expire first; the poll then joins without the run.
    let mut leader = Leader::new();
    leader.poll(&worker("w", 1));
    leader.submit("a", "plan");
    leader.poll(&worker("w", 1));
    leader.pass(expiry());
    let mut poll = worker("w", 1);
    poll.running = vec![run("a", 1)];
    let answer = leader.poll(&poll);
    assert_eq!((starts(&answer), answer.stop.len()), (vec![], 1));
}

#[test]
fn a_restarted_worker_waits_for_its_predecessors_lease() {
    // A second process polls under the name of a worker that may only be paused. It must get no
    // lease and no task until the lease of the first one has expired.
    let mut leader = Leader::new();
    leader.poll(&worker("w", 1));
    leader.submit("a", "sum");
    leader.poll(&worker("w", 1));
    let refused = leader.poll(&worker("w", 2));
    assert_eq!(refused, WorkerTasks::default());
    leader.pass(expiry());
    let tasks = leader.poll(&worker("w", 2));
    assert_eq!((starts(&tasks), tasks.lease), (vec![run("a", 2)], LEASE));
}

#[test]
fn a_cancelled_start_is_sent_with_its_stop() {
    // A job is cancelled between the commit of its start and the worker's poll. The worker gets
    // both in one answer, and its report that the run never started ends the run.
    let mut leader = Leader::new();
    leader.poll(&worker("w", 1));
    leader.submit("a", "plan");
    leader.apply(Command::CancelJob {
        job: "a".into(),
        who: "ana".into(),
    });
    let answer = leader.poll(&worker("w", 1));
    assert_eq!(answer.stop.len(), 1);
    let mut reported = worker("w", 1);
    reported.ended = vec![EndedRun {
        run: run("a", 1),
        end: RunEnd::NeverStarted,
    }];
    leader.poll(&reported);
    assert_eq!(leader.phase("a"), JobPhase::Cancelled);
}

#[test]
fn a_worker_that_leaves_goes_only_when_it_is_empty() {
    let mut leader = Leader::new();
    leader.poll(&worker("w", 1));
    leader.submit("a", "sum");
    leader.poll(&worker("w", 1));
    let mut leaving = worker("w", 1);
    leaving.leaving = true;
    leaving.running = vec![run("a", 1)];
    leader.poll(&leaving);
    assert_eq!(leader.machine.cell().workers.len(), 1);
    leaving.running.clear();
    leaving.ended = vec![EndedRun {
        run: run("a", 1),
        end: RunEnd::Done,
    }];
    leader.poll(&leaving);
    assert_eq!(leader.machine.cell().workers.len(), 0);
    assert_eq!(leader.phase("a"), JobPhase::Done);
}

#[test]
fn a_list_that_did_not_change_is_left_out() {
    // A worker sends its list of runs once and leaves it out of later polls. A new leader doesn't
    // have the list: it must neither start nor stop anything, and must request the list.
    let mut leader = Leader::new();
    leader.poll(&worker("w", 1));
    leader.submit("a", "sum");
    leader.poll(&worker("w", 1));
    let mut poll = worker("w", 1);
    (poll.list, poll.running) = (1, vec![run("a", 1)]);
    leader.poll(&poll);
    (poll.unchanged, poll.running) = (true, vec![]);
    let answer = leader.poll(&poll);
    assert_eq!(
        (starts(&answer), answer.stop, answer.send_list),
        (vec![], vec![], false)
    );
    leader.machine.leadership_changed(false, leader.now);
    leader.machine.leadership_changed(true, leader.now);
    let answer = leader.poll(&poll);
    assert_eq!(
        (starts(&answer), answer.stop, answer.send_list),
        (vec![], vec![], true)
    );
    (poll.unchanged, poll.running) = (false, vec![run("a", 1)]);
    assert!(!leader.poll(&poll).send_list);
}

#[test]
fn an_overtaken_poll_gets_no_lease() {
    // A worker's first poll is delayed and arrives after its second one, with an outdated list of
    // runs. It must get neither a lease nor tasks.
    let mut leader = Leader::new();
    let mut later = worker("w", 1);
    later.sequence = 2;
    leader.poll(&later);
    assert_eq!(leader.poll(&worker("w", 1)), WorkerTasks::default());
}

fn hello(process: u64) -> EntryHello {
    EntryHello {
        entry: "e".into(),
        process,
        zone: "olten".into(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        in_force: 0,
    }
}

fn renew(leader: &mut Leader, process: u64) -> Option<Duration> {
    loop {
        let report = EntryReport::default();
        match leader
            .machine
            .renew_entry(leader.now, &hello(process), &report)
        {
            RenewStep::Granted(ttl) => return Some(ttl),
            RenewStep::Held => return None,
            RenewStep::Propose(commands) => {
                for command in commands {
                    leader.apply(command);
                }
            }
        }
    }
}

#[test]
fn a_restarted_entry_host_waits_for_its_predecessors_lease() {
    // The old process may be paused with requests in flight at its minions. The new one must get
    // no lease, and so send them nothing, until the lease of the old one has expired.
    let mut leader = Leader::new();
    assert_eq!(renew(&mut leader, 1), Some(ENTRY_LEASE));
    assert_eq!(renew(&mut leader, 2), None);
    leader.pass(grantor_ttl(ENTRY_LEASE) + Duration::from_millis(1));
    assert_eq!(renew(&mut leader, 1), Some(ENTRY_LEASE));
    assert_eq!(renew(&mut leader, 2), None);
}

#[test]
fn late_starts_burn_the_budget_through_a_change_of_leaders() {
    // Two jobs start, one of them late, and the leader writes its counts to the log. After a
    // change of leader the report must still contain both.
    let mut leader = Leader::new();
    let mut document = (*leader.machine.cell().document()).clone();
    document.objectives.push(Objective {
        name: "sums-started".into(),
        target: ObjectiveTarget::Kind("sum".into()),
        within: Duration::from_secs(1),
        millipercent: 99_000,
        window: Duration::from_secs(30 * 24 * 3600),
    });
    leader.apply(Command::PutDocument {
        base: 1,
        document: document.into(),
        who: "ana".into(),
        key: None,
    });
    leader.submit("late", "sum");
    leader.pass(Duration::from_secs(5));
    leader.poll(&worker("w", 1));
    leader.poll(&worker("v", 1));
    leader.submit("prompt", "sum");
    leader.pass(Duration::from_secs(5));
    leader.machine.leadership_changed(false, leader.now);
    leader.machine.leadership_changed(true, leader.now);
    let report = leader.machine.burn_report(leader.now);
    let counts = report.objectives[0].counts;
    assert_eq!((counts.good, counts.bad, counts.unknown), (1, 1, 0));
}

/// Guards against a minion that is moved back and forth for ever: its owner's zone is preferred, so
/// it returned to the owner that had released it, and the entry host without minions got none.
#[test]
fn a_minion_that_would_return_to_its_owner_is_not_moved() {
    let mut leader = Leader::new();
    let entry_up = |n: u64, zone: &str| {
        Command::EntryUp(EntryHello {
            entry: format!("e{n}").into(),
            zone: zone.into(),
            ..hello(n)
        })
    };
    leader.apply(entry_up(1, "bern-a"));
    leader.apply(entry_up(2, "bern-b"));
    for (id, zone) in [("m0", "bern-a"), ("m1", "bern-b"), ("m2", "olten")] {
        leader.apply(minion(id, zone));
    }
    leader.apply(entry_up(3, "olten"));
    let owned = |leader: &Leader| {
        let owned_by = |entry: &str| leader.machine.cell().owned_by(&entry.into());
        ["e1", "e2", "e3"].map(owned_by)
    };
    assert_eq!(owned(&leader), [2, 1, 0]);
    leader.pass(Duration::from_secs(2));
    assert_eq!(to_release(&leader), ["m2"]);
    leader.apply(Command::ReleaseMinions {
        entry: "e1".into(),
        minions: vec!["m2".into()],
    });
    assert_eq!(owned(&leader), [1, 1, 1]);
    leader.pass(Duration::from_secs(2));
    assert_eq!(to_release(&leader), [""; 0]);
}

fn minion(id: &str, zone: &str) -> Command {
    Command::AnnounceMinion(MinionAnnouncement {
        id: id.into(),
        process: 1,
        service: "s".into(),
        addr: "127.0.0.1:2".parse().unwrap(),
        zone: zone.into(),
        slots: 8,
        connections: 64,
        ttl: Duration::from_secs(60),
    })
}

/// Minions that their owners have been asked to release.
fn to_release(leader: &Leader) -> Vec<&str> {
    let minions = leader.machine.cell().minions.iter();
    let released = minions.filter(|(_, minion)| minion.release);
    released.map(|(id, _)| id.as_str()).collect()
}
