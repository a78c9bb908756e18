//! What truly happens in a replay, kept apart from the placer and checked after every event.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::trace::{JobLine, Line};
use crate::ids::{Attempt, JobName, TaskIndex, TeamName, Timestamp, WorkerId};
use crate::resources::Resources;
use crate::workload::{JobSpec, MemberLoss, RunEnd, TaskId, TaskRun, WorkClass, WorkerSpec};

/// Violations kept; later ones are only counted.
const KEPT: usize = 20;

/// One run in a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunKey {
    pub(crate) job: usize,
    pub(crate) index: TaskIndex,
    pub(crate) attempt: Attempt,
}

/// What became of a task for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Final {
    Done,
    Failed,
    Cancelled,
    /// It may have run and will not be started again.
    Unknown,
    /// The job was given up or resized.
    Dropped,
}

/// Where a task is, as control has it.
#[derive(Clone, Debug)]
pub(crate) enum At {
    Waiting,
    Running {
        worker: usize,
        granted: Resources,
        since: Timestamp,
        ending: bool,
    },
    Over(Final),
}

/// A task.
#[derive(Clone, Debug)]
pub(crate) struct TaskTruth {
    pub(crate) at: At,
    pub(crate) attempt: Attempt,
    pub(crate) preemptions: u32,
    /// Work left, in time with everything it uses.
    pub(crate) left: Duration,
    /// It ran, and did not save its state since.
    pub(crate) ran: bool,
    pub(crate) started: bool,
}

/// A job.
#[derive(Debug)]
pub(crate) struct JobTruth {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) arrived: Timestamp,
    pub(crate) line: JobLine,
    pub(crate) tasks: Vec<TaskTruth>,
    pub(crate) closed: bool,
    pub(crate) waiting: u32,
    pub(crate) never: bool,
    pub(crate) team: usize,
}

/// A worker.
#[derive(Debug)]
pub(crate) struct WorkerTruth {
    pub(crate) spec: WorkerSpec,
    /// Control counts on it.
    pub(crate) known: bool,
    /// It is there and reachable.
    pub(crate) reachable: bool,
    /// Changes with each loss, so that what was planned before is not done after.
    pub(crate) epoch: u32,
    pub(crate) broken: bool,
    pub(crate) report_percent: u32,
    pub(crate) drain: Option<Timestamp>,
    pub(crate) granted: Resources,
    /// Runs control has granted here.
    pub(crate) runs: BTreeSet<RunKey>,
    /// Runs that truly execute here.
    pub(crate) executing: BTreeSet<RunKey>,
}

/// Something that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Line of the trace that was last taken in, from 1; the header is line 1.
    pub line: usize,
    /// Virtual time.
    pub at: Timestamp,
    /// What happened, in one sentence.
    pub what: String,
}

/// The truth.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) jobs: Vec<JobTruth>,
    pub(crate) workers: Vec<WorkerTruth>,
    pub(crate) job_ix: HashMap<JobName, usize>,
    pub(crate) worker_ix: HashMap<WorkerId, usize>,
    pub(crate) violations: Vec<Violation>,
    pub(crate) violation_count: u64,
    pub(crate) line: usize,
    pub(crate) now: Timestamp,
    pub(crate) used: Resources,
    pub(crate) waiting: [u64; 3],
    pub(crate) teams: Vec<TeamTruth>,
    team_ix: HashMap<TeamName, usize>,
}

/// What a team uses and how many of its tasks wait.
#[derive(Debug, Default)]
pub(crate) struct TeamTruth {
    pub(crate) name: TeamName,
    pub(crate) used: Resources,
    pub(crate) waiting: u64,
}

impl Ledger {
    pub(crate) fn violation(&mut self, what: String) {
        self.violation_count += 1;
        if self.violations.len() < KEPT {
            self.violations.push(Violation {
                line: self.line,
                at: self.now,
                what,
            });
        }
    }

    /// Notes the line that is taken in; the header is line 1.
    pub(crate) fn begin_line(&mut self, i: usize, line: &Line) {
        self.line = i + 2;
        self.now = self.now.max(line.at());
    }

    pub(crate) fn add_job(&mut self, spec: Arc<JobSpec>, line: JobLine) {
        let run = line.true_run_ms.map(Duration::from_millis);
        let left = run.unwrap_or(spec.run_time);
        let task = TaskTruth {
            at: At::Waiting,
            attempt: 0,
            preemptions: 0,
            left,
            ran: false,
            started: false,
        };
        self.job_ix.insert(spec.name.clone(), self.jobs.len());
        let next = self.teams.len();
        let team = *self.team_ix.entry(spec.team.clone()).or_insert(next);
        if team == next {
            self.teams.push(TeamTruth {
                name: spec.team.clone(),
                ..TeamTruth::default()
            });
        }
        self.count_waiting(team, &spec.need, i64::from(spec.tasks));
        self.jobs.push(JobTruth {
            team,
            arrived: self.now,
            tasks: vec![task; spec.tasks as usize],
            waiting: spec.tasks,
            spec,
            line,
            closed: false,
            never: false,
        });
    }

    fn count_waiting(&mut self, team: usize, need: &Resources, n: i64) {
        let waiting = &mut self.teams[team].waiting;
        *waiting = waiting.saturating_add_signed(n);
        let units = [need.millicores, need.memory_mb, need.accelerators];
        for (sum, unit) in self.waiting.iter_mut().zip(units) {
            *sum = sum.saturating_add_signed(i64::from(unit) * n);
        }
    }

    pub(crate) fn add_worker(&mut self, spec: WorkerSpec) -> usize {
        if let Some(&ix) = self.worker_ix.get(&spec.id) {
            let worker = &mut self.workers[ix];
            worker.spec = spec;
            worker.known = true;
            worker.reachable = true;
            worker.epoch += 1;
            return ix;
        }
        self.worker_ix.insert(spec.id.clone(), self.workers.len());
        self.workers.push(WorkerTruth {
            spec,
            known: true,
            reachable: true,
            epoch: 0,
            broken: false,
            report_percent: 100,
            drain: None,
            granted: Resources::ZERO,
            runs: BTreeSet::new(),
            executing: BTreeSet::new(),
        });
        self.workers.len() - 1
    }

    pub(crate) fn key(&self, run: &TaskRun) -> Option<RunKey> {
        let job = *self.job_ix.get(&run.task.job)?;
        self.jobs[job].tasks.get(run.task.index as usize)?;
        Some(RunKey {
            job,
            index: run.task.index,
            attempt: run.attempt,
        })
    }

    pub(crate) fn run(&self, key: RunKey) -> TaskRun {
        TaskRun {
            task: TaskId {
                job: self.jobs[key.job].spec.name.clone(),
                index: key.index,
            },
            attempt: key.attempt,
        }
    }

    pub(crate) fn task(&self, key: RunKey) -> &TaskTruth {
        &self.jobs[key.job].tasks[key.index as usize]
    }

    pub(crate) fn task_mut(&mut self, key: RunKey) -> &mut TaskTruth {
        &mut self.jobs[key.job].tasks[key.index as usize]
    }

    /// The worker of a run that control counts as running.
    pub(crate) fn worker_of(&self, key: RunKey) -> Option<usize> {
        let task = self.task(key);
        match task.at {
            At::Running { worker, .. } if task.attempt == key.attempt => Some(worker),
            _ => None,
        }
    }

    /// Checks a decided start against everything that must hold, and records it.
    pub(crate) fn start(&mut self, key: RunKey, worker: usize, granted: Resources) -> bool {
        let job = &self.jobs[key.job];
        let name = format!("task {} of {}", key.index, job.spec.name);
        let task = &job.tasks[key.index as usize];
        let mut wrong = Vec::new();
        if !matches!(task.at, At::Waiting) {
            wrong.push(format!("{name} was started while it was not waiting"));
        }
        if job.closed {
            wrong.push(format!("{name} was started after its job was closed"));
        }
        if key.attempt != task.attempt + 1 {
            wrong.push(format!("{name} was started under attempt {}", key.attempt));
        }
        if task.ran && !job.spec.idempotent {
            wrong.push(format!("{name} is not idempotent and was started again"));
        }
        let elsewhere = RunKey { attempt: 0, ..key }..=RunKey {
            attempt: Attempt::MAX,
            ..key
        };
        let alive = |w: &WorkerTruth| w.executing.range(elsewhere.clone()).next().is_some();
        if task.attempt > 0 && self.workers.iter().any(alive) {
            wrong.push(format!("{name} was started while an earlier run executes"));
        }
        if !job.spec.need.fits_in(&granted) {
            wrong.push(format!("{name} was granted less than it declared"));
        }
        let w = &self.workers[worker];
        if !w.known {
            wrong.push(format!(
                "{name} was started on {}, which is gone",
                w.spec.id
            ));
        }
        if w.drain.is_some() {
            wrong.push(format!("{name} was started on draining {}", w.spec.id));
        }
        let sum = w.granted.checked_add(&granted);
        if !sum.is_some_and(|sum| sum.fits_in(&w.spec.capacity)) {
            wrong.push(format!("{name} overfilled {}", w.spec.id));
        }
        let fine = wrong.is_empty();
        wrong.into_iter().for_each(|what| self.violation(what));
        if fine {
            self.record_start(key, worker, granted);
        }
        fine
    }

    fn record_start(&mut self, key: RunKey, worker: usize, granted: Resources) {
        let now = self.now;
        self.set_never(key.job, false);
        self.wait_more(key.job, -1);
        let used = &mut self.teams[self.jobs[key.job].team].used;
        *used = used.checked_add(&granted).unwrap_or(*used);
        let task = self.task_mut(key);
        task.attempt = key.attempt;
        task.at = At::Running {
            worker,
            granted,
            since: now,
            ending: false,
        };
        let w = &mut self.workers[worker];
        w.granted = w.granted.checked_add(&granted).unwrap_or(w.granted);
        w.runs.insert(key);
        self.used = self.used.checked_add(&granted).unwrap_or(self.used);
    }

    /// Frees what a run held and puts its task where it belongs.
    pub(crate) fn settle(&mut self, key: RunKey, next: At) {
        let Some(worker) = self.worker_of(key) else {
            return;
        };
        let At::Running { granted, .. } = self.task(key).at else {
            return;
        };
        let w = &mut self.workers[worker];
        w.runs.remove(&key);
        w.executing.remove(&key);
        w.granted = w.granted.checked_sub(&granted).unwrap_or_default();
        self.used = self.used.checked_sub(&granted).unwrap_or_default();
        if matches!(next, At::Waiting) {
            self.wait_more(key.job, 1);
        }
        let used = &mut self.teams[self.jobs[key.job].team].used;
        *used = used.checked_sub(&granted).unwrap_or_default();
        self.task_mut(key).at = next;
    }

    /// Closes a job: what waits is over.
    pub(crate) fn close(&mut self, job: usize, as_final: Final) {
        self.set_never(job, false);
        let truth = &mut self.jobs[job];
        truth.closed = true;
        for task in &mut truth.tasks {
            if matches!(task.at, At::Waiting) {
                task.at = At::Over(as_final);
            }
        }
        let waiting = i64::from(truth.waiting);
        self.wait_more(job, -waiting);
    }

    /// Changes the number of a job's waiting tasks.
    fn wait_more(&mut self, job: usize, n: i64) {
        let truth = &mut self.jobs[job];
        truth.waiting = truth.waiting.saturating_add_signed(n as i32);
        if !truth.never {
            let (team, need) = (truth.team, truth.spec.need);
            self.count_waiting(team, &need, n);
        }
    }

    /// Notes that a job was said to run never, or not any more: its tasks are no demand.
    pub(crate) fn set_never(&mut self, job: usize, never: bool) {
        let truth = &mut self.jobs[job];
        if std::mem::replace(&mut truth.never, never) == never {
            return;
        }
        let sign = if never { -1 } else { 1 };
        let n = i64::from(truth.waiting) * sign;
        let (team, need) = (truth.team, truth.spec.need);
        self.count_waiting(team, &need, n);
    }

    /// Changes the number of a job's tasks.
    pub(crate) fn resize(&mut self, job: usize, tasks: u32) {
        let truth = &mut self.jobs[job];
        let before = truth.spec.tasks as usize;
        let mut spec = (*truth.spec).clone();
        spec.tasks = tasks;
        truth.spec = Arc::new(spec);
        let mut fewer: i64 = 0;
        for task in truth.tasks.iter_mut().skip(tasks as usize) {
            if matches!(task.at, At::Waiting) {
                task.at = At::Over(Final::Dropped);
                fewer -= 1;
            }
        }
        for task in truth.tasks.iter_mut().take(tasks as usize).skip(before) {
            if matches!(task.at, At::Over(_)) {
                task.at = At::Waiting;
                fewer += 1;
            }
        }
        let left = truth.spec.run_time;
        let fresh = TaskTruth {
            at: At::Waiting,
            attempt: 0,
            preemptions: 0,
            left,
            ran: false,
            started: false,
        };
        let more = i64::from(tasks) - truth.tasks.len() as i64;
        if more > 0 {
            truth.tasks.resize(tasks as usize, fresh);
        }
        let changed = fewer + more.max(0);
        self.wait_more(job, changed);
    }

    /// Where a task goes after its run ended.
    pub(crate) fn after(&self, key: RunKey, end: RunEnd) -> At {
        let job = &self.jobs[key.job];
        let wanted = !job.closed && key.index < job.spec.tasks;
        let again = crate::placement::may_restart(&job.spec, end);
        match end {
            RunEnd::Done if !again => At::Over(Final::Done),
            _ if again && wanted => At::Waiting,
            _ if job.closed => At::Over(Final::Cancelled),
            RunEnd::Failed => At::Over(Final::Failed),
            RunEnd::Stopped => At::Over(Final::Unknown),
            _ => At::Over(Final::Dropped),
        }
    }

    /// Checks what must hold at every instant, over what changed last.
    pub(crate) fn check_worker(&mut self, worker: usize) {
        let w = &self.workers[worker];
        if !w.granted.fits_in(&w.spec.capacity) {
            let what = format!("{} holds more than it has", w.spec.id);
            self.violation(what);
        }
    }

    /// Checks that no part of a gang runs on while another waits, unless its rule allows it.
    pub(crate) fn check_gang(&mut self, job: usize) {
        let truth = &self.jobs[job];
        let replaces = truth.spec.on_member_loss == MemberLoss::Replace;
        if truth.spec.class != WorkClass::Gang || truth.closed || replaces {
            return;
        }
        let running = truth
            .tasks
            .iter()
            .filter(|t| matches!(t.at, At::Running { ending: false, .. }));
        let running = running.count();
        if running > 0 && truth.waiting > 0 {
            let what = format!(
                "gang {} runs {running} tasks while {} wait",
                truth.spec.name, truth.waiting
            );
            self.violation(what);
        }
    }
}
