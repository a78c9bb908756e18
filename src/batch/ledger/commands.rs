//! Commands: what changes the ledger.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::batch::{Batch, Crash, End, Start};
use super::records::TaskState;
use super::{FORMAT_VERSION, Job, Ledger, MinionRecord, StoredConfig, format_2, unknown_format};
use crate::batch::model::{
    ConfigVersion, Configuration, EndKind, Grouping, JobId, JobSpec, JobState, Lifetime,
    MinionNumber, Queue, RunNumber, TaskId,
};
use crate::batch::workspaces::Workspace;
use crate::error::{Error, Result, Step};
use crate::ids::{Timestamp, WorkspaceName};

/// How long the end of a job is remembered. Callers may ask for at least two minutes, and a
/// hand-in that was delayed on its way must find the job it repeats.
const ENDED_KEPT: Duration = Duration::from_secs(600);

/// A change of the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force if its version is the highest.
    PutConfig {
        /// Its version.
        version: ConfigVersion,
        /// The operator's text.
        document: Bytes,
        /// Its meaning.
        parsed: Arc<Configuration>,
    },
    /// Takes a job in; one that is known stays as it is.
    Submit {
        /// Its id.
        job: JobId,
        /// Its queue.
        queue: Arc<Queue>,
        /// Workspace that hands it in; `None` on a queue that is open to all.
        owner: Option<WorkspaceName>,
        /// What it declares.
        spec: Arc<JobSpec>,
    },
    /// Cancels a job.
    Cancel {
        /// Which.
        job: JobId,
    },
    /// What a leader decided and learned.
    Batch(Batch),
}

/// What a command led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It is in force, or was already.
    Accepted,
    /// There is no such job.
    Unknown,
    /// The id is that of another job.
    IdTaken,
}

impl Command {
    /// Encodes it for the log, led by the version of the format.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        postcard::to_allocvec(&(FORMAT_VERSION, self))
            .map_err(|e| Error::caused(Step::Codec, "encoding a command", e))
    }

    /// Decodes it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let (version, rest): (u16, &[u8]) = postcard::take_from_bytes(bytes)
            .map_err(|e| Error::caused(Step::Codec, "decoding a command", e))?;
        let read = match version {
            FORMAT_VERSION => postcard::from_bytes(rest),
            format_2::VERSION => postcard::from_bytes::<format_2::Command>(rest).map(Into::into),
            _ => return Err(unknown_format("command", version)),
        };
        read.map_err(|e| Error::caused(Step::Codec, "decoding a command", e))
    }
}

impl Ledger {
    /// Applies an agreed command. `at` is the leader's Unix time and never goes back.
    pub fn apply(&mut self, at: Timestamp, command: &Command) -> Reply {
        self.clock = at;
        self.forget_ended();
        match command {
            Command::PutConfig {
                version,
                document,
                parsed,
            } => self.put_config(*version, document, parsed),
            Command::Submit {
                job,
                queue,
                owner,
                spec,
            } => self.submit(*job, queue, owner.clone(), spec),
            Command::Cancel { job } => self.cancel(*job),
            Command::Batch(batch) => self.apply_batch(batch),
        }
    }

    fn put_config(
        &mut self,
        version: ConfigVersion,
        document: &Bytes,
        parsed: &Arc<Configuration>,
    ) -> Reply {
        // An equal or lower version is acknowledged and changes nothing: the same order sent
        // again after a lost answer must not be refused, and other content under a version that
        // is held must never come into force.
        if self.is_newer(version) {
            let workspaces = self.workspaces();
            let before = workspaces
                .map(|(name, w)| (name.clone(), w.clone()))
                .collect();
            self.config = Some(StoredConfig {
                version,
                document: document.clone(),
                parsed: Arc::clone(parsed),
            });
            self.keep_removed(before);
        }
        Reply::Accepted
    }

    /// Keeps workspaces that are gone while they have open jobs: without its limit, the work of one
    /// could take the whole cell.
    fn keep_removed(&mut self, mut before: BTreeMap<WorkspaceName, Workspace>) {
        let declared = self.config.as_ref();
        let declared = declared.and_then(|config| config.parsed.workspaces.as_ref());
        before.retain(|name, _| declared.is_none_or(|w| !w.by_name.contains_key(name)));
        let open = self.jobs.values().filter(|job| job.may_run());
        let owners: BTreeSet<_> = open.filter_map(|job| job.owner.as_ref()).collect();
        before.retain(|name, _| owners.contains(name));
        self.removed = before;
    }

    fn submit(
        &mut self,
        id: JobId,
        queue: &Arc<Queue>,
        owner: Option<WorkspaceName>,
        spec: &Arc<JobSpec>,
    ) -> Reply {
        if let Some(held) = self.jobs.get(&id) {
            return if held.is_repeated_by(queue, owner.as_ref()) {
                Reply::Accepted
            } else {
                Reply::IdTaken
            };
        }
        let job = Job::new(Arc::clone(spec), Arc::clone(queue), owner, self.clock);
        self.jobs.insert(id, job);
        self.unstarted.insert(id);
        Reply::Accepted
    }

    fn cancel(&mut self, id: JobId) -> Reply {
        let Some(job) = self.jobs.get(&id) else {
            return Reply::Unknown;
        };
        if !job.state.is_final() {
            self.finish(id, JobState::Canceled);
        }
        Reply::Accepted
    }

    fn apply_batch(&mut self, batch: &Batch) -> Reply {
        for (number, report) in &batch.joined {
            self.next_minion = self.next_minion.max(number + 1);
            let record = MinionRecord {
                report: report.clone(),
                draining: false,
            };
            self.minions.insert(*number, record);
        }
        for (number, capacity) in &batch.resized {
            if let Some(minion) = self.minions.get_mut(number) {
                minion.report.capacity = *capacity;
            }
        }
        for (task, run, number) in &batch.moved {
            self.move_run(*task, *run, *number);
        }
        for number in &batch.draining {
            if let Some(minion) = self.minions.get_mut(number) {
                minion.draining = true;
            }
        }
        for end in &batch.ends {
            self.end(end);
        }
        for crash in &batch.crashes {
            self.crash(crash);
        }
        for task in &batch.cleared {
            self.clear(*task);
        }
        for number in &batch.gone {
            self.minions.remove(number);
        }
        for (job, occurrence) in &batch.due {
            if let Some(job) = self.jobs.get_mut(job) {
                job.begin(*occurrence);
            }
        }
        for start in &batch.starts {
            self.start(start);
        }
        Reply::Accepted
    }

    fn move_run(&mut self, id: TaskId, run: RunNumber, number: MinionNumber) {
        if let Some(task) = self.task_mut(id)
            && task.is_active_run(run)
        {
            task.state = TaskState::Active(number);
        }
    }

    fn start(&mut self, start: &Start) {
        let id = start.task.step.job;
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.state.is_final()) else {
            return;
        };
        let Some(task) = job.task_mut(start.task) else {
            return;
        };
        if task.state == TaskState::Waiting && start.run > task.run {
            task.state = TaskState::Active(start.minion);
            task.run = start.run;
            job.state = JobState::Running;
            self.unstarted.remove(&id);
        }
    }

    fn end(&mut self, end: &End) {
        let id = end.task.step.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let final_already = job.state.is_final();
        let attempts = job.queue.attempts;
        let Some(spec) = job.spec.steps.get(usize::from(end.task.step.step)) else {
            return;
        };
        let (lifetime, grouping) = (spec.lifetime, spec.grouping);
        let Some(step) = job.step_mut(end.task) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(end.task.index as usize) else {
            return;
        };
        if !task.is_active_run(end.run) {
            return;
        }
        task.state = TaskState::Waiting;
        if final_already {
            return;
        }
        if !end.checkpoint.is_empty() {
            task.checkpoint = end.checkpoint.clone();
        }
        if grouping == Grouping::Gang && !end.checkpoint.is_empty() {
            // Progress of any member is progress of the whole gang.
            for member in &mut step.tasks {
                member.checkpoint = end.checkpoint.clone();
            }
        }
        match end.kind {
            EndKind::Done if lifetime == Lifetime::Finite => {
                self.task_done(end, grouping);
            }
            EndKind::Failed if lifetime == Lifetime::Finite => {
                let task = &mut step.tasks[end.task.index as usize];
                task.failures += 1;
                let mut failures = task.failures;
                if grouping == Grouping::Gang {
                    failures = step.tasks.iter().map(|t| t.failures).sum();
                }
                if failures >= attempts {
                    self.finish(id, JobState::Failed);
                }
            }
            _ => {}
        }
    }

    /// Counts a crash. A task that crashes every minion that starts it would take one after the other
    /// out of service, with all that runs there.
    fn crash(&mut self, crash: &Crash) {
        let id = crash.task.step.job;
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.state.is_final()) else {
            return;
        };
        let Some(task) = job.task_mut(crash.task) else {
            return;
        };
        task.crashes.count(crash.certainty);
        if task.crashes.are_too_many() {
            self.finish(id, JobState::Failed);
        }
    }

    fn clear(&mut self, id: TaskId) {
        if let Some(task) = self.task_mut(id) {
            task.crashes = Default::default();
        }
    }

    fn task_done(&mut self, end: &End, grouping: Grouping) {
        let id = end.task.step.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(step) = job.step_mut(end.task) else {
            return;
        };
        if grouping == Grouping::Gang {
            // A gang ends together; the end of one member stands for all of them.
            for member in &mut step.tasks {
                if member.state != TaskState::Done && member.run == end.run {
                    member.state = TaskState::Done;
                    step.open -= 1;
                }
            }
        } else {
            step.tasks[end.task.index as usize].state = TaskState::Done;
            step.open -= 1;
        }
        let occurrence = end.task.step.occurrence;
        let all_done = job
            .occurrences
            .get(&occurrence)
            .is_some_and(|o| o.steps.iter().all(|s| s.open == 0));
        if all_done {
            job.occurrences.remove(&occurrence);
            if job.occurrences.is_empty() && job.begun >= job.occurrences_wanted() {
                self.finish(id, JobState::Done);
            }
        }
    }

    fn finish(&mut self, id: JobId, state: JobState) {
        self.unstarted.remove(&id);
        self.ended.push_back((self.clock, id));
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = state;
        let spec = Arc::make_mut(&mut job.spec);
        spec.payload = Default::default();
    }

    /// Forgets jobs that ended long ago and hold no run.
    fn forget_ended(&mut self) {
        while let Some((at, id)) = self.ended.front().copied()
            && self.clock > at + ENDED_KEPT
        {
            self.ended.pop_front();
            if self
                .jobs
                .get(&id)
                .is_some_and(|job| job.active().next().is_some())
            {
                self.ended.push_back((self.clock, id));
                break;
            }
            self.jobs.remove(&id);
        }
    }
}
