//! A worker's runs and lease as a pure state machine: answers and the time go in, polls and
//! run events come out.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::ids::{Attempt, ProcessId, Timestamp};
use crate::resources::Resources;
use crate::wire::{AssignedRun, EndedRun, RunUsage, StopKind, StopRun, WorkerPoll, WorkerTasks};
use crate::workload::{RunEnd, TaskId, TaskRun, WorkerSpec};

/// Tasks whose latest attempt is remembered; the oldest is forgotten first.
const REMEMBERED_TASKS: usize = 65_536;

/// Polls after which the list of runs is sent although it did not change.
const POLLS_PER_LIST: u64 = 10;

/// How a stand-in worker departs from what was declared.
#[derive(Clone, Debug, PartialEq)]
pub struct Behaviour {
    /// Real seconds for each declared second.
    pub time_scale: f64,
    /// Every run fails at once.
    pub fail_all: bool,
    /// Run time in percent of the declared one.
    pub run_time_percent: u32,
    /// Reported use in percent of the declared need.
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
    fn length(&self, declared: Duration) -> Duration {
        if self.fail_all {
            return Duration::ZERO;
        }
        declared.mul_f64(self.time_scale * f64::from(self.run_time_percent) / 100.0)
    }

    fn usage(&self, declared: u32) -> u32 {
        (u64::from(declared) * u64::from(self.usage_percent) / 100) as u32
    }
}

/// Something that happened to a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// It began.
    Started {
        /// The run.
        run: TaskRun,
        /// What it was granted.
        need: Resources,
        /// Whether no other run of the task may exist at the same time.
        exclusive: bool,
        /// When.
        at: Timestamp,
    },
    /// It ended.
    Ended {
        /// The run.
        run: TaskRun,
        /// How.
        end: RunEnd,
        /// When.
        at: Timestamp,
    },
}

struct Running {
    need: Resources,
    keep_without_lease: bool,
    throttled: bool,
    due: Option<Timestamp>,
}

/// One process of a worker.
pub struct WorkerState {
    spec: WorkerSpec,
    process: ProcessId,
    behaviour: Behaviour,
    sequence: u64,
    list: u64,
    polled_list: u64,
    known_list: Option<u64>,
    lease_until: Timestamp,
    running: BTreeMap<TaskRun, Running>,
    ended: Vec<EndedRun>,
    latest: HashMap<TaskId, Attempt>,
    seen: VecDeque<TaskId>,
    events: Vec<RunEvent>,
}

impl WorkerState {
    /// A worker that runs nothing and holds no lease.
    pub fn new(spec: WorkerSpec, process: ProcessId, behaviour: Behaviour) -> Self {
        Self {
            spec,
            process,
            behaviour,
            sequence: 0,
            list: 0,
            polled_list: 0,
            known_list: None,
            lease_until: Timestamp::ZERO,
            running: BTreeMap::new(),
            ended: Vec::new(),
            latest: HashMap::new(),
            seen: VecDeque::new(),
            events: Vec::new(),
        }
    }

    /// Replaces how the worker departs from what is declared; runs that go on keep their end.
    pub fn set_behaviour(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
    }

    /// Runs that go on.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Ended runs that control has not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.ended.len()
    }

    /// End of the lease.
    pub fn lease_until(&self) -> Timestamp {
        self.lease_until
    }

    /// Takes out what happened since the last call.
    pub fn take_events(&mut self) -> Vec<RunEvent> {
        std::mem::take(&mut self.events)
    }

    /// Makes the poll to send at `now`.
    pub fn poll(&mut self, now: Timestamp, wait: Duration, leaving: bool) -> WorkerPoll {
        self.advance(now);
        self.sequence += 1;
        let unchanged = self.may_leave_out_list();
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

    /// Whether control holds the list of runs. Every so often it is sent all the same, with
    /// what the runs use.
    fn may_leave_out_list(&self) -> bool {
        self.known_list == Some(self.list) && !self.sequence.is_multiple_of(POLLS_PER_LIST)
    }

    /// Takes in the answer to the poll that was sent at `sent`. A run it does not mention goes
    /// on; one that must end is in its list of stops.
    pub fn answered(&mut self, sent: Timestamp, now: Timestamp, tasks: WorkerTasks) {
        self.advance(now);
        // The lease runs from the send, which is earlier than control's receipt. An answer that
        // arrives later than that (a paused process, a slow path) may tell of starts that control
        // has since given to another worker: two places at once. So it counts for nothing.
        let until = sent.saturating_add(tasks.lease);
        if until <= now {
            return;
        }
        self.lease_until = self.lease_until.max(until);
        self.known_list = (!tasks.send_list).then_some(self.polled_list);
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

    /// Ends what is due by `now`: finished runs, then exclusive runs without a lease.
    pub fn advance(&mut self, now: Timestamp) {
        let lapsed = self.lease_until <= now;
        let due: Vec<_> = self
            .running
            .iter()
            .filter_map(|(run, running)| self.end_by(now, lapsed, run, running))
            .collect();
        for (run, at, end) in due {
            self.finish(run, at, end);
        }
    }

    /// The next moment at which `advance` has something to do.
    pub fn next_due(&self) -> Option<Timestamp> {
        let ends = self.running.values().filter_map(|running| running.due);
        let exclusive = self.running.values().any(|run| !run.keep_without_lease);
        ends.chain(exclusive.then_some(self.lease_until)).min()
    }

    /// A run is a timer: it ends at its due time or with the lease, whichever is first, also
    /// when the process was paused over both.
    fn end_by(
        &self,
        now: Timestamp,
        lapsed: bool,
        run: &TaskRun,
        running: &Running,
    ) -> Option<(TaskRun, Timestamp, RunEnd)> {
        let stops = lapsed && !running.keep_without_lease;
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
        let known = self.latest.get(&assigned.run.task).copied();
        match known {
            Some(latest) if assigned.run.attempt < latest => self.refuse(assigned.run),
            Some(latest) if assigned.run.attempt == latest => {}
            _ => self.start(now, assigned),
        }
    }

    /// An attempt older than one already seen here comes from a leader that has been replaced,
    /// or from an answer that was overtaken. Running it would run the task twice.
    fn refuse(&mut self, run: TaskRun) {
        let told = self.ended.iter().any(|ended| ended.run == run);
        if !told && !self.running.contains_key(&run) {
            let end = RunEnd::NeverStarted;
            self.ended.push(EndedRun { run, end });
        }
    }

    fn start(&mut self, now: Timestamp, assigned: AssignedRun) {
        let AssignedRun { run, need, .. } = assigned;
        self.remember(&run);
        let length = self.behaviour.length(assigned.run_time);
        let endless = assigned.run_time.is_zero() && !self.behaviour.fail_all;
        let running = Running {
            need,
            keep_without_lease: assigned.keep_without_lease,
            throttled: false,
            due: (!endless).then(|| now.saturating_add(length)),
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

    fn remember(&mut self, run: &TaskRun) {
        if self.latest.insert(run.task.clone(), run.attempt).is_none() {
            self.seen.push_back(run.task.clone());
        }
        while self.seen.len() > REMEMBERED_TASKS {
            if let Some(oldest) = self.seen.pop_front() {
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

    /// A stop for a run that never began here. It is remembered, so that an answer which was
    /// overtaken cannot start it later, and then reported as never started.
    fn stop_before_start(&mut self, run: TaskRun) {
        if self
            .latest
            .get(&run.task)
            .is_none_or(|latest| run.attempt > *latest)
        {
            self.remember(&run);
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
