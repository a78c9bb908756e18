//! Actual state of the simulated cluster, kept independently of the placer. Each decision and each
//! change is checked against it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::trace::{JobLine, Line};
use crate::ids::{Attempt, JobName, TaskIndex, TeamName, Timestamp, WorkerId};
use crate::resources::Resources;
use crate::workload::{JobSpec, MemberLoss, RunEnd, TaskId, TaskRun, WorkClass, WorkerSpec};

/// Maximum number of violations stored with their text; later ones are only counted.
const MAX_KEPT_VIOLATIONS: usize = 20;

/// A run, by the index of its job in `SimCluster::jobs`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunKey {
    pub(crate) job: usize,
    pub(crate) index: TaskIndex,
    pub(crate) attempt: Attempt,
}

/// Final outcome of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskOutcome {
    Done,
    Failed,
    Cancelled,
    /// The task may have run and is not idempotent, so it is never started again.
    Unknown,
    /// The job was given up, or was resized to delta tasks.
    Dropped,
}

/// Status of a task as recorded by control.
#[derive(Clone, Debug)]
pub(crate) enum TaskStatus {
    Waiting,
    Running {
        worker: usize,
        granted: Resources,
        since: Timestamp,
        /// A stop order was sent.
        ending: bool,
    },
    Ended(TaskOutcome),
}

#[derive(Clone, Debug)]
pub(crate) struct SimTask {
    pub(crate) status: TaskStatus,
    pub(crate) attempt: Attempt,
    pub(crate) preemptions: u32,
    /// Remaining run time when the task is granted all it uses.
    pub(crate) left: Duration,
    /// The task ran, and has not been checkpointed since.
    pub(crate) ran: bool,
    /// The task was started at least once.
    pub(crate) started: bool,
}

#[derive(Debug)]
pub(crate) struct SimJob {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) arrived: Timestamp,
    pub(crate) line: JobLine,
    pub(crate) tasks: Vec<SimTask>,
    /// The job was cancelled or given up.
    pub(crate) closed: bool,
    /// Number of waiting tasks.
    pub(crate) waiting: u32,
    /// The placer reported that the job can never run.
    pub(crate) unschedulable: bool,
    /// Index in `SimCluster::teams`.
    pub(crate) team: usize,
}

#[derive(Debug)]
pub(crate) struct SimWorker {
    pub(crate) spec: WorkerSpec,
    /// Control treats the worker as a member of the cluster: its lease has not expired.
    pub(crate) registered: bool,
    /// The worker has not crashed and is not partitioned from control.
    pub(crate) reachable: bool,
    /// Incremented at each loss and return, so that lease expiries scheduled before are ignored.
    pub(crate) epoch: u32,
    pub(crate) fails_runs: bool,
    /// Reported usage in percent of the actual usage.
    pub(crate) report_percent: u32,
    /// Deadline of the drain, if there is one.
    pub(crate) drain: Option<Timestamp>,
    pub(crate) granted: Resources,
    /// Runs that hold resources here in the records of control.
    pub(crate) runs: BTreeSet<RunKey>,
    /// Runs that actually execute here.
    pub(crate) executing: BTreeSet<RunKey>,
}

/// A violated invariant of placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Line of the trace that was applied last; the header is line 1.
    pub line: usize,
    /// Time since the start of the trace.
    pub at: Timestamp,
    /// The violation in one sentence, as reports print it.
    pub what: String,
}

/// Actual state of the simulated cluster.
#[derive(Debug, Default)]
pub(crate) struct SimCluster {
    pub(crate) jobs: Vec<SimJob>,
    pub(crate) workers: Vec<SimWorker>,
    pub(crate) job_ix: HashMap<JobName, usize>,
    pub(crate) worker_ix: HashMap<WorkerId, usize>,
    pub(crate) violations: Vec<Violation>,
    pub(crate) violation_count: u64,
    pub(crate) line: usize,
    pub(crate) now: Timestamp,
    /// Resources granted to all runs.
    pub(crate) used: Resources,
    /// Declared millicores, megabytes and accelerators of all schedulable waiting tasks.
    pub(crate) waiting: [u64; 3],
    pub(crate) teams: Vec<SimTeam>,
    team_ix: HashMap<TeamName, usize>,
}

/// Granted resources and number of waiting tasks of a team.
#[derive(Debug, Default)]
pub(crate) struct SimTeam {
    pub(crate) name: TeamName,
    pub(crate) used: Resources,
    pub(crate) waiting: u64,
}

impl SimCluster {
    pub(crate) fn violation(&mut self, what: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(Violation {
                line: self.line,
                at: self.now,
                what,
            });
        }
    }

    /// Sets the current line, which violations are attributed to, from its index after the header.
    pub(crate) fn begin_line(&mut self, i: usize, line: &Line) {
        self.line = i + 2;
        self.now = self.now.max(line.at());
    }

    pub(crate) fn add_job(&mut self, spec: Arc<JobSpec>, line: JobLine) {
        let run = line.true_run_ms.map(Duration::from_millis);
        let left = run.unwrap_or(spec.run_time);
        let task = SimTask {
            status: TaskStatus::Waiting,
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
            self.teams.push(SimTeam {
                name: spec.team.clone(),
                ..SimTeam::default()
            });
        }
        self.count_waiting(team, &spec.need, i64::from(spec.tasks));
        self.jobs.push(SimJob {
            team,
            arrived: self.now,
            tasks: vec![task; spec.tasks as usize],
            waiting: spec.tasks,
            spec,
            line,
            closed: false,
            unschedulable: false,
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
            worker.registered = true;
            worker.reachable = true;
            worker.epoch += 1;
            return ix;
        }
        self.worker_ix.insert(spec.id.clone(), self.workers.len());
        self.workers.push(SimWorker {
            spec,
            registered: true,
            reachable: true,
            epoch: 0,
            fails_runs: false,
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

    pub(crate) fn task(&self, key: RunKey) -> &SimTask {
        &self.jobs[key.job].tasks[key.index as usize]
    }

    pub(crate) fn task_mut(&mut self, key: RunKey) -> &mut SimTask {
        &mut self.jobs[key.job].tasks[key.index as usize]
    }

    /// The worker of a run, or `None` unless control records this attempt as running.
    pub(crate) fn worker_of(&self, key: RunKey) -> Option<usize> {
        let task = self.task(key);
        match task.status {
            TaskStatus::Running { worker, .. } if task.attempt == key.attempt => Some(worker),
            _ => None,
        }
    }

    /// Checks a start decision against all invariants. Records the start and returns true if it
    /// violates none.
    pub(crate) fn start(&mut self, key: RunKey, worker: usize, granted: Resources) -> bool {
        let job = &self.jobs[key.job];
        let name = format!("task {} of {}", key.index, job.spec.name);
        let task = &job.tasks[key.index as usize];
        let mut wrong = Vec::new();
        if !matches!(task.status, TaskStatus::Waiting) {
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
        let alive = |w: &SimWorker| w.executing.range(elsewhere.clone()).next().is_some();
        if task.attempt > 0 && self.workers.iter().any(alive) {
            wrong.push(format!("{name} was started while an earlier run executes"));
        }
        if !job.spec.need.fits_in(&granted) {
            wrong.push(format!("{name} was granted less than it declared"));
        }
        let w = &self.workers[worker];
        if !w.registered {
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
        let valid = wrong.is_empty();
        wrong.into_iter().for_each(|what| self.violation(what));
        if valid {
            self.record_start(key, worker, granted);
        }
        valid
    }

    fn record_start(&mut self, key: RunKey, worker: usize, granted: Resources) {
        let now = self.now;
        self.set_unschedulable(key.job, false);
        self.adjust_waiting(key.job, -1);
        let used = &mut self.teams[self.jobs[key.job].team].used;
        *used = used.checked_add(&granted).unwrap_or(*used);
        let task = self.task_mut(key);
        task.attempt = key.attempt;
        task.status = TaskStatus::Running {
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

    /// Releases the resources of a run and sets the next status of its task.
    pub(crate) fn end_run(&mut self, key: RunKey, next: TaskStatus) {
        let Some(worker) = self.worker_of(key) else {
            return;
        };
        let TaskStatus::Running { granted, .. } = self.task(key).status else {
            return;
        };
        let w = &mut self.workers[worker];
        w.runs.remove(&key);
        w.executing.remove(&key);
        w.granted = w.granted.checked_sub(&granted).unwrap_or_default();
        self.used = self.used.checked_sub(&granted).unwrap_or_default();
        if matches!(next, TaskStatus::Waiting) {
            self.adjust_waiting(key.job, 1);
        }
        let used = &mut self.teams[self.jobs[key.job].team].used;
        *used = used.checked_sub(&granted).unwrap_or_default();
        self.task_mut(key).status = next;
    }

    /// Closes a job and ends its waiting tasks with `outcome`; running tasks are not changed.
    pub(crate) fn close_job(&mut self, job: usize, outcome: TaskOutcome) {
        self.set_unschedulable(job, false);
        let sim = &mut self.jobs[job];
        sim.closed = true;
        for task in &mut sim.tasks {
            if matches!(task.status, TaskStatus::Waiting) {
                task.status = TaskStatus::Ended(outcome);
            }
        }
        let waiting = i64::from(sim.waiting);
        self.adjust_waiting(job, -waiting);
    }

    /// Adds `n`, which may be negative, to the waiting tasks of a job.
    fn adjust_waiting(&mut self, job: usize, n: i64) {
        let sim = &mut self.jobs[job];
        sim.waiting = sim.waiting.saturating_add_signed(n as i32);
        if !sim.unschedulable {
            let (team, need) = (sim.team, sim.spec.need);
            self.count_waiting(team, &need, n);
        }
    }

    /// Sets whether the job can never run. The tasks of such a job do not count as demand.
    pub(crate) fn set_unschedulable(&mut self, job: usize, unschedulable: bool) {
        let sim = &mut self.jobs[job];
        if std::mem::replace(&mut sim.unschedulable, unschedulable) == unschedulable {
            return;
        }
        let sign = if unschedulable { -1 } else { 1 };
        let n = i64::from(sim.waiting) * sign;
        let (team, need) = (sim.team, sim.spec.need);
        self.count_waiting(team, &need, n);
    }

    /// Changes the number of tasks of a job. Excess waiting tasks are dropped; ended tasks within
    /// the new size wait again.
    pub(crate) fn resize(&mut self, job: usize, tasks: u32) {
        let sim = &mut self.jobs[job];
        let before = sim.spec.tasks as usize;
        let mut spec = (*sim.spec).clone();
        spec.tasks = tasks;
        sim.spec = Arc::new(spec);
        let mut delta: i64 = 0;
        for task in sim.tasks.iter_mut().skip(tasks as usize) {
            if matches!(task.status, TaskStatus::Waiting) {
                task.status = TaskStatus::Ended(TaskOutcome::Dropped);
                delta -= 1;
            }
        }
        for task in sim.tasks.iter_mut().take(tasks as usize).skip(before) {
            if matches!(task.status, TaskStatus::Ended(_)) {
                task.status = TaskStatus::Waiting;
                delta += 1;
            }
        }
        let left = sim.spec.run_time;
        let fresh = SimTask {
            status: TaskStatus::Waiting,
            attempt: 0,
            preemptions: 0,
            left,
            ran: false,
            started: false,
        };
        let more = i64::from(tasks) - sim.tasks.len() as i64;
        if more > 0 {
            sim.tasks.resize(tasks as usize, fresh);
        }
        let changed = delta + more.max(0);
        self.adjust_waiting(job, changed);
    }

    /// Status of a task after its run ended with `end`.
    pub(crate) fn status_after(&self, key: RunKey, end: RunEnd) -> TaskStatus {
        let job = &self.jobs[key.job];
        let requested = !job.closed && key.index < job.spec.tasks;
        let again = crate::placement::may_restart(&job.spec, end);
        match end {
            RunEnd::Done if !again => TaskStatus::Ended(TaskOutcome::Done),
            _ if again && requested => TaskStatus::Waiting,
            _ if job.closed => TaskStatus::Ended(TaskOutcome::Cancelled),
            RunEnd::Failed => TaskStatus::Ended(TaskOutcome::Failed),
            RunEnd::Stopped => TaskStatus::Ended(TaskOutcome::Unknown),
            _ => TaskStatus::Ended(TaskOutcome::Dropped),
        }
    }

    /// Checks that the worker has not granted more than its capacity.
    pub(crate) fn check_worker(&mut self, worker: usize) {
        let w = &self.workers[worker];
        if !w.granted.fits_in(&w.spec.capacity) {
            let what = format!("{} holds more than it has", w.spec.id);
            self.violation(what);
        }
    }

    /// Checks that no member of a gang runs while another waits, unless the gang replaces lost
    /// members one by one.
    pub(crate) fn check_gang(&mut self, job: usize) {
        let sim = &self.jobs[job];
        let replaces = sim.spec.on_member_loss == MemberLoss::Replace;
        if sim.spec.class != WorkClass::Gang || sim.closed || replaces {
            return;
        }
        let running = sim
            .tasks
            .iter()
            .filter(|t| matches!(t.status, TaskStatus::Running { ending: false, .. }));
        let running = running.count();
        if running > 0 && sim.waiting > 0 {
            let what = format!(
                "gang {} runs {running} tasks while {} wait",
                sim.spec.name, sim.waiting
            );
            self.violation(what);
        }
    }
}
