//! Commands that change the ledger, and how they are applied.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::batch::{Batch, Crash, End, Start};
use super::records::TaskState;
use super::{
    Job, Ledger, MinionRecord, StoredConfig, format_2, format_3, format_4, format_5, unknown_format,
};
use crate::batch::model::{
    ConfigVersion, Configuration, EndKind, Grouping, JobId, JobSpec, JobState, Lifetime,
    MinionNumber, Queue, QueueKey, RunNumber, TaskId,
};
use crate::batch::workspaces::Workspace;
use crate::error::{Error, Result, Step};
use crate::ids::{Timestamp, WorkspaceName};

/// How long an ended job is kept. Callers may query it for at least two minutes, and a submission
/// that was delayed in the network must find the job that it repeats.
const ENDED_RETENTION: Duration = Duration::from_secs(600);

/// A change of the ledger. Commands are few and short-lived, so the size of a batch does not matter.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration if the version is higher than that of the one in force.
    PutConfig {
        /// Version that the operator chose.
        version: ConfigVersion,
        /// The operator's original text, returned unchanged to readers.
        document: Bytes,
        /// Parsed form of `document`.
        parsed: Arc<Configuration>,
    },
    /// Accepts a job. A job that already exists is left unchanged.
    Submit {
        /// Id that the caller chose.
        job: JobId,
        /// Its queue as configured when it was submitted.
        queue: Arc<Queue>,
        /// Workspace that submits it; `None` on a public queue.
        owner: Option<WorkspaceName>,
        /// The job as declared by the caller.
        spec: Arc<JobSpec>,
    },
    /// Cancels a job. A job that has ended is left unchanged.
    Cancel {
        /// Id of the job.
        job: JobId,
    },
    /// Decisions and observations of a leader.
    Batch(Batch),
    /// Cancels a job that was not known when the request arrived. If it still is not known, the
    /// cancellation is remembered for a submission that arrives late.
    CancelUnknown {
        /// Id of the job.
        job: JobId,
        /// Queue that the request was for.
        queue: QueueKey,
        /// Workspace that cancels; `None` on a public queue.
        owner: Option<WorkspaceName>,
    },
}

/// Result of applying a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The command took effect, or had done so before.
    Accepted,
    /// No job has this id, or the command could not be decoded. A cancellation is remembered.
    Unknown,
    /// No job has this id, and the cancellation could not be remembered.
    NotRemembered,
    /// Another job already has this id.
    IdTaken,
}

impl Command {
    /// Encodes the command for the log, prefixed with the version of the first format that has it.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        let version = match self {
            Self::CancelUnknown { .. } => format_5::VERSION,
            _ => format_4::VERSION,
        };
        postcard::to_allocvec(&(version, self))
            .map_err(|e| Error::caused(Step::Codec, "encoding a command", e))
    }

    /// Decodes a command of any format that is read.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let (version, rest): (u16, &[u8]) = postcard::take_from_bytes(bytes)
            .map_err(|e| Error::caused(Step::Codec, "decoding a command", e))?;
        let read = match version {
            format_5::VERSION | format_4::VERSION => postcard::from_bytes(rest),
            format_3::VERSION => postcard::from_bytes::<format_3::Command>(rest).map(Into::into),
            format_2::VERSION => postcard::from_bytes::<format_2::Command>(rest).map(Into::into),
            _ => return Err(unknown_format("command", version)),
        };
        read.map_err(|e| Error::caused(Step::Codec, "decoding a command", e))
    }
}

impl Ledger {
    /// Applies a committed command. `at` is the leader's Unix time and never decreases.
    pub fn apply(&mut self, at: Timestamp, command: &Command) -> Reply {
        self.early_cancels.advance(at.saturating_sub(self.clock));
        self.clock = at;
        self.remove_expired_jobs();
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
            Command::CancelUnknown { job, queue, owner } => {
                self.cancel_unknown(*job, queue, owner.as_ref())
            }
        }
    }

    fn put_config(
        &mut self,
        version: ConfigVersion,
        document: &Bytes,
        parsed: &Arc<Configuration>,
    ) -> Reply {
        // An equal or lower version is acknowledged and ignored: a request repeated after a lost
        // response must not be refused, and different content under the current version must
        // never take effect.
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
            self.retain_removed_workspaces(before);
        }
        Reply::Accepted
    }

    /// Keeps workspaces that the configuration no longer declares while they have jobs that run or
    /// may start. Without the limit, the jobs of a removed workspace could fill the whole cell.
    fn retain_removed_workspaces(&mut self, mut before: BTreeMap<WorkspaceName, Workspace>) {
        let declared = self.config.as_ref();
        let declared = declared.and_then(|config| config.parsed.workspaces.as_ref());
        before.retain(|name, _| declared.is_none_or(|w| !w.by_name.contains_key(name)));
        let may_run = |id, job: &Job| !job.state.is_final() || self.has_active_runs(id);
        let open = self.jobs.iter().filter(|(id, job)| may_run(**id, job));
        let owners: BTreeSet<_> = open.filter_map(|(_, job)| job.owner.as_ref()).collect();
        before.retain(|name, _| owners.contains(name));
        self.removed_workspaces = before;
    }

    fn submit(
        &mut self,
        id: JobId,
        queue: &Arc<Queue>,
        owner: Option<WorkspaceName>,
        spec: &Arc<JobSpec>,
    ) -> Reply {
        if let Some(held) = self.jobs.get(&id) {
            return if held.is_duplicate(queue, owner.as_ref()) {
                Reply::Accepted
            } else {
                Reply::IdTaken
            };
        }
        let cancelled = self.early_cancels.covers(id, &queue.key(), owner.as_ref());
        let job = Job::new(Arc::clone(spec), Arc::clone(queue), owner, self.clock);
        self.jobs.insert(id, job);
        self.unstarted.insert(id);
        if cancelled {
            self.finish_job(id, JobState::Canceled);
        }
        Reply::Accepted
    }

    fn cancel(&mut self, id: JobId) -> Reply {
        let Some(job) = self.jobs.get(&id) else {
            return Reply::Unknown;
        };
        if !job.state.is_final() {
            self.finish_job(id, JobState::Canceled);
        }
        Reply::Accepted
    }

    fn cancel_unknown(
        &mut self,
        id: JobId,
        queue: &QueueKey,
        owner: Option<&WorkspaceName>,
    ) -> Reply {
        // A submission may have been applied since the request arrived.
        let known = self.jobs.get(&id);
        if known.is_some_and(|job| job.is_visible(queue, owner)) {
            return self.cancel(id);
        }
        if self.early_cancels.remember(id, queue, owner) {
            Reply::Unknown
        } else {
            Reply::NotRemembered
        }
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
        for (task, run, number) in &batch.reassigned {
            self.reassign_run(*task, *run, *number);
        }
        for number in &batch.draining {
            if let Some(minion) = self.minions.get_mut(number) {
                minion.draining = true;
            }
        }
        for end in &batch.ends {
            self.end_run(end);
        }
        for crash in &batch.crashes {
            self.count_crash(crash);
        }
        for task in &batch.crashes_reset {
            self.reset_crashes(*task);
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
            self.start_run(start);
        }
        for start in &batch.copies {
            self.start_copy(start);
        }
        Reply::Accepted
    }

    fn reassign_run(&mut self, id: TaskId, run: RunNumber, number: MinionNumber) {
        self.reassign_copy(id, run, number);
        if let Some(task) = self.task_mut(id)
            && task.is_active_run(run)
        {
            task.state = TaskState::Active(number);
        }
    }

    fn start_run(&mut self, start: &Start) {
        let id = start.task.step.job;
        let next_run = self.next_run(start.task);
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.state.is_final()) else {
            return;
        };
        let Some(task) = job.task_mut(start.task) else {
            return;
        };
        if task.state == TaskState::Waiting && start.run >= next_run {
            task.state = TaskState::Active(start.minion);
            task.run = start.run;
            job.state = JobState::Running;
            self.unstarted.remove(&id);
        }
    }

    fn end_run(&mut self, end: &End) {
        let id = end.task.step.job;
        self.swap_ended_copy(end);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let job_ended = job.state.is_final();
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
        if job_ended {
            return;
        }
        if !end.checkpoint.is_empty() {
            task.checkpoint = end.checkpoint.clone();
        }
        if grouping == Grouping::Gang && !end.checkpoint.is_empty() {
            // A checkpoint of any member covers the whole gang.
            for member in &mut step.tasks {
                member.checkpoint = end.checkpoint.clone();
            }
        }
        match end.kind {
            EndKind::Done if lifetime == Lifetime::Finite => {
                self.mark_done(end, grouping);
            }
            EndKind::Failed if lifetime == Lifetime::Finite => {
                let task = &mut step.tasks[end.task.index as usize];
                task.failures += 1;
                let mut failures = task.failures;
                if grouping == Grouping::Gang {
                    // Leaders of this version add one failed end of each run. All failed ends
                    // count, so that replicas agree on the entries of earlier ones.
                    failures = step.gang_failures();
                    self.failed_gang_runs.insert(end.task.step, end.run);
                }
                if failures >= attempts {
                    self.finish_job(id, JobState::Failed);
                }
            }
            _ => {}
        }
        self.promote_copy(end.task);
    }

    /// Counts a crash against a task and fails the job after too many. Otherwise a task that
    /// crashes every minion that starts it would take down one minion after another, with all their
    /// runs.
    fn count_crash(&mut self, crash: &Crash) {
        let id = crash.task.step.job;
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.state.is_final()) else {
            return;
        };
        let Some(task) = job.task_mut(crash.task) else {
            return;
        };
        task.crashes.count(crash.certainty);
        if task.crashes.exceed_limit() {
            self.finish_job(id, JobState::Failed);
        }
    }

    fn reset_crashes(&mut self, id: TaskId) {
        if let Some(task) = self.task_mut(id) {
            task.crashes = Default::default();
        }
    }

    fn mark_done(&mut self, end: &End, grouping: Grouping) {
        let id = end.task.step.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(step) = job.step_mut(end.task) else {
            return;
        };
        if grouping == Grouping::Gang {
            // The members of a gang end together, so the end of one applies to all.
            for member in &mut step.tasks {
                if member.state != TaskState::Done && member.run == end.run {
                    member.state = TaskState::Done;
                    step.open -= 1;
                }
            }
            self.failed_gang_runs.remove(&end.task.step);
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
            if job.occurrences.is_empty() && job.due_so_far >= job.total_occurrences() {
                self.finish_job(id, JobState::Done);
            }
        }
    }

    fn finish_job(&mut self, id: JobId, state: JobState) {
        self.unstarted.remove(&id);
        self.ended.push_back((self.clock, id));
        self.remove_former_copies(id);
        self.remove_failed_gang_runs(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = state;
        let spec = Arc::make_mut(&mut job.spec);
        spec.payload = Default::default();
        // Only placement reads these texts, and 10,000 images of 4,000 bytes are 40 MB on each
        // replica for `ENDED_RETENTION`.
        for step in &mut spec.steps {
            step.image = Default::default();
            step.label = None;
            step.data_rack = None;
        }
    }

    /// Removes jobs that ended longer than `ENDED_RETENTION` ago. One that still has active runs is
    /// checked again later.
    fn remove_expired_jobs(&mut self) {
        while let Some((at, id)) = self.ended.front().copied()
            && self.clock > at + ENDED_RETENTION
        {
            self.ended.pop_front();
            if self.has_active_runs(id) {
                self.ended.push_back((self.clock, id));
                break;
            }
            self.jobs.remove(&id);
        }
    }
}
