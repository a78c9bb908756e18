//! The runs and the lease of a stand-in worker, as a state machine without I/O: its inputs are
//! answers and the current time, its outputs are polls and run events.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::ids::{Attempt, ProcessId, Timestamp};
use crate::resources::Resources;
use crate::wire::{AssignedRun, EndedRun, RunUsage, StopKind, StopRun, WorkerPoll, WorkerTasks};
use crate::workload::{RunEnd, TaskId, TaskRun, WorkerSpec};

/// Number of tasks whose latest attempt is kept; the task recorded first is evicted first.
const MAX_TRACKED_TASKS: usize = 65_536;

/// Every how many polls the list of runs is sent even when it has not changed.
const POLLS_PER_LIST: u64 = 10;

/// How the runs of a stand-in worker deviate from what the job declares.
#[derive(Clone, Debug, PartialEq)]
pub struct Behaviour {
    /// Real seconds per declared second.
    pub time_scale: f64,
    /// Every run fails as soon as it starts.
    pub fail_all: bool,
    /// Run time as a percentage of the declared one, before `time_scale`.
    pub run_time_percent: u32,
    /// Reported use as a percentage of the declared need.
    pub usage_percent: u32,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            time_scale: 1.0,
            fail_all: false,
            run_time_percent: 100,
            usage_percent: 100,
        }
    }
}

impl Behaviour {
    fn run_time(&self, declared: Duration) -> Duration {
        if self.fail_all {
            return Duration::ZERO;
        }
        declared.mul_f64(self.time_scale * f64::from(self.run_time_percent) / 100.0)
    }

    fn usage(&self, declared: u32) -> u32 {
        (u64::from(declared) * u64::from(self.usage_percent) / 100) as u32
    }
}

/// Start or end of a run, for the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// The run started.
    Started {
        /// Task and attempt.
        run: TaskRun,
        /// Resources reserved for the run.
        need: Resources,
        /// Whether no other run of the task may exist at the same time.
        exclusive: bool,
        /// Time of the start.
        at: Timestamp,
    },
    /// The run ended.
    Ended {
        /// Task and attempt.
        run: TaskRun,
        /// How the run ended.
        end: RunEnd,
        /// Time of the end, which can be before the time it was noticed.
        at: Timestamp,
    },
}

struct Running {
    need: Resources,
    keep_without_lease: bool,
    throttled: bool,
    /// End of the run time; absent for a run without end.
    due: Option<Timestamp>,
}

/// State of one worker process.
pub struct WorkerState {
    spec: WorkerSpec,
    process: ProcessId,
    behaviour: Behaviour,
    sequence: u64,
    /// Version of the list of runs.
    list: u64,
    /// Version at the time of the last poll.
    polled_list: u64,
    /// Version that control holds; absent when it asked for the list.
    acknowledged_list: Option<u64>,
    lease_until: Timestamp,
    running: BTreeMap<TaskRun, Running>,
    ended: Vec<EndedRun>,
    latest: HashMap<TaskId, Attempt>,
    task_order: VecDeque<TaskId>,
    events: Vec<RunEvent>,
}

impl WorkerState {
    /// Creates a worker without runs and without a lease.
    pub fn new(spec: WorkerSpec, process: ProcessId, behaviour: Behaviour) -> Self {
        Self {
            spec,
            process,
            behaviour,
            sequence: 0,
            list: 0,
            polled_list: 0,
            acknowledged_list: None,
            lease_until: Timestamp::ZERO,
            running: BTreeMap::new(),
            ended: Vec::new(),
            latest: HashMap::new(),
            task_order: VecDeque::new(),
            events: Vec::new(),
        }
    }

    /// Replaces the behaviour. Runs in progress keep their end time.
    pub fn set_behaviour(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
    }

    /// Number of runs in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of ended runs that control has not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.ended.len()
    }

    /// Time at which the lease expires; zero before the first lease.
    pub fn lease_until(&self) -> Timestamp {
        self.lease_until
    }

    /// Returns and clears the events since the last call.
    pub fn take_events(&mut self) -> Vec<RunEvent> {
        std::mem::take(&mut self.events)
    }

    /// Builds the poll to send at `now`.
    pub fn poll(&mut self, now: Timestamp, wait: Duration, leaving: bool) -> WorkerPoll {
        self.advance(now);
        self.sequence += 1;
        let unchanged = self.can_omit_list();
        let (running, usage) = match unchanged {
            true => (Vec::new(), Vec::new()),
            false => (self.running.keys().cloned().collect(), self.usage()),
        };
        self.polled_list = self.list;
        WorkerPoll {
            worker: self.spec.clone(),
            process: self.process,
            sequence: self.sequence,
            list: self.list,
            unchanged,
            running,
            ended: self.ended.clone(),
            usage,
            wait,
            leaving,
        }
    }

    /// Whether the poll can omit the list of runs because control holds the current version. Every
    /// `POLLS_PER_LIST` polls the list is sent anyway, to report the use of the runs.
    fn can_omit_list(&self) -> bool {
        self.acknowledged_list == Some(self.list) && !self.sequence.is_multiple_of(POLLS_PER_LIST)
    }

    /// Applies the answer to the poll that was sent at `sent`. A run that the answer does not
    /// mention continues; runs to end are in its `stop` list.
    pub fn apply_answer(&mut self, sent: Timestamp, now: Timestamp, tasks: WorkerTasks) {
        self.advance(now);
        // The lease is counted from the send, which is before control received the poll. An answer
        // that arrives after that lease has expired (paused process, slow network) may start tasks
        // that control has since placed on another worker, so that they would run twice. It is
        // discarded.
        let until = sent.saturating_add(tasks.lease);
        if until <= now {
            return;
        }
        self.lease_until = self.lease_until.max(until);
        self.acknowledged_list = (!tasks.send_list).then_some(self.polled_list);
        self.ended
            .retain(|ended| !tasks.acknowledged.contains(&ended.run));
        for stop in tasks.stop {
            self.stop(now, stop);
        }
        for assigned in tasks.assigned {
            self.assign(now, assigned);
        }
        self.advance(now);
    }

    /// Ends the runs whose run time is over by `now`, and exclusive runs if the lease has expired.
    pub fn advance(&mut self, now: Timestamp) {
        let lease_expired = self.lease_until <= now;
        let due: Vec<_> = self
            .running
            .iter()
            .filter_map(|(run, running)| self.end_by(now, lease_expired, run, running))
            .collect();
        for (run, at, end) in due {
            self.finish(run, at, end);
        }
    }

    /// Next time at which `advance` may end a run; absent when no run has an end.
    pub fn next_due(&self) -> Option<Timestamp> {
        let ends = self.running.values().filter_map(|running| running.due);
        let exclusive = self.running.values().any(|run| !run.keep_without_lease);
        ends.chain(exclusive.then_some(self.lease_until)).min()
    }

    /// Returns the end of a run that is over by `now`. A run ends at its due time or, if exclusive,
    /// when the lease expires, whichever is first, even if the process was paused past both.
    fn end_by(
        &self,
        now: Timestamp,
        lease_expired: bool,
        run: &TaskRun,
        running: &Running,
    ) -> Option<(TaskRun, Timestamp, RunEnd)> {
        let stops = lease_expired && !running.keep_without_lease;
        let limit = if stops { self.lease_until } else { now };
        if let Some(due) = running.due.filter(|due| *due <= limit) {
            let end = match self.behaviour.fail_all {
                true => RunEnd::Failed,
                false => RunEnd::Done,
            };
            return Some((run.clone(), due, end));
        }
        stops.then(|| (run.clone(), self.lease_until, RunEnd::Stopped))
    }

    fn assign(&mut self, now: Timestamp, assigned: AssignedRun) {
        let latest = self.latest.get(&assigned.run.task).copied();
        match latest {
            Some(latest) if assigned.run.attempt < latest => self.refuse(assigned.run),
            Some(latest) if assigned.run.attempt == latest => {}
            _ => self.start(now, assigned),
        }
    }

    /// Reports a run as never started. An attempt older than one already received comes from a
    /// replaced leader or from an answer that arrived out of order; starting it would run the task
    /// twice.
    fn refuse(&mut self, run: TaskRun) {
        let reported = self.ended.iter().any(|ended| ended.run == run);
        if !reported && !self.running.contains_key(&run) {
            let end = RunEnd::NeverStarted;
            self.ended.push(EndedRun { run, end });
        }
    }

    fn start(&mut self, now: Timestamp, assigned: AssignedRun) {
        let AssignedRun { run, need, .. } = assigned;
        self.record_attempt(&run);
        let run_time = self.behaviour.run_time(assigned.run_time);
        let endless = assigned.run_time.is_zero() && !self.behaviour.fail_all;
        let running = Running {
            need,
            keep_without_lease: assigned.keep_without_lease,
            throttled: false,
            due: (!endless).then(|| now.saturating_add(run_time)),
        };
        self.events.push(RunEvent::Started {
            run: run.clone(),
            need,
            exclusive: !assigned.keep_without_lease,
            at: now,
        });
        self.running.insert(run, running);
        self.list += 1;
    }

    fn record_attempt(&mut self, run: &TaskRun) {
        if self.latest.insert(run.task.clone(), run.attempt).is_none() {
            self.task_order.push_back(run.task.clone());
        }
        while self.task_order.len() > MAX_TRACKED_TASKS {
            if let Some(oldest) = self.task_order.pop_front() {
                self.latest.remove(&oldest);
            }
        }
    }

    fn stop(&mut self, now: Timestamp, stop: StopRun) {
        let Some(running) = self.running.get_mut(&stop.run) else {
            self.stop_before_start(stop.run);
            return;
        };
        match stop.how {
            StopKind::Throttle => running.throttled = true,
            StopKind::Checkpoint => self.finish(stop.run, now, RunEnd::Checkpointed),
            StopKind::Stop => self.finish(stop.run, now, RunEnd::Stopped),
        }
    }

    /// Handles a stop for a run that has not started here. The attempt is recorded, so that an
    /// answer that arrives out of order cannot start it later, and reported as never started.
    fn stop_before_start(&mut self, run: TaskRun) {
        if self
            .latest
            .get(&run.task)
            .is_none_or(|latest| run.attempt > *latest)
        {
            self.record_attempt(&run);
            let end = RunEnd::NeverStarted;
            self.ended.push(EndedRun { run, end });
        }
    }

    fn finish(&mut self, run: TaskRun, at: Timestamp, end: RunEnd) {
        self.running.remove(&run);
        self.list += 1;
        self.events.push(RunEvent::Ended {
            run: run.clone(),
            end,
            at,
        });
        self.ended.push(EndedRun { run, end });
    }

    fn usage(&self) -> Vec<RunUsage> {
        let usage = |(run, running): (&TaskRun, &Running)| {
            let need = running.need;
            let scale = |declared| match running.throttled {
                true => declared,
                false => self.behaviour.usage(declared),
            };
            RunUsage {
                run: run.clone(),
                millicores: scale(need.millicores),
                memory_mb: scale(need.memory_mb),
            }
        };
        self.running.iter().map(usage).collect()
    }
}
