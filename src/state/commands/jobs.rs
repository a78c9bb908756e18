//! Accepting, cancelling and failing jobs.

use std::sync::Arc;

use compact_str::{CompactString, format_compact};

use super::documents::kind_spec;
use super::{Reply, refuse};
use crate::ids::JobName;
use crate::placement::Event;
use crate::state::Cell;
use crate::state::records::{JobNumber, JobRecord, TaskPhase, TaskRecord, Verdict};
use crate::wire::{JobSubmission, RefusalKind, StopKind};
use crate::workload::JobSpec;

/// Maximum number of tasks of one job.
const MAX_TASKS: u32 = 20_000;

/// Maximum length of a job's name.
const MAX_NAME_BYTES: usize = 128;

/// Maximum length of a job's payload.
const MAX_PAYLOAD_BYTES: usize = 16 * 1024;

impl Cell {
    pub(super) fn submit_job(&mut self, submission: JobSubmission, who: &CompactString) -> Reply {
        let name = self.name_for(&submission);
        if let Some((_, job)) = self.job(&name) {
            let same = submission.key.is_some() && job.spec.kind == submission.kind;
            if same || submission_matches(&submission, &job.spec) {
                return self.job_reply(&name);
            }
            let message = format!(
                "the name {name} is taken by a job of kind {}",
                job.spec.kind
            );
            return refuse(RefusalKind::Conflict, message);
        }
        // Without this check a resend after the job's record was removed would run it again.
        if self.keys.has_job_tombstone(&name) {
            let message = format!("a job {name} has ended and its record is no longer kept");
            return refuse(RefusalKind::Expired, message);
        }
        match self.spec_for(name, &submission) {
            Ok(spec) => {
                let name = spec.name.clone();
                self.accept_job(spec, false);
                self.add_audit_record(who, format_compact!("submitted job {name}"));
                self.job_reply(&name)
            }
            Err(message) => refuse(RefusalKind::Invalid, message),
        }
    }

    fn name_for(&self, submission: &JobSubmission) -> JobName {
        match (&submission.name, &submission.key) {
            (Some(name), _) => name.clone(),
            (None, Some(key)) => format_compact!("{}-{key}", submission.kind),
            (None, None) => format_compact!("{}-{}", submission.kind, self.next_job),
        }
    }

    fn spec_for(&self, name: JobName, submission: &JobSubmission) -> Result<JobSpec, String> {
        let document = self.document();
        let Some(kind) = document.kinds.get(&submission.kind) else {
            return Err(format!(
                "the document declares no job kind {:?}",
                submission.kind
            ));
        };
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(format!("a job name has 1 to {MAX_NAME_BYTES} bytes"));
        }
        if submission.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(format!("a payload has at most {MAX_PAYLOAD_BYTES} bytes"));
        }
        let mut spec = kind_spec(name, submission.kind.clone(), kind);
        spec.tasks = submission.tasks.unwrap_or(kind.tasks);
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            return Err(format!("a job has 1 to {MAX_TASKS} tasks"));
        }
        if let Some(team) = &submission.team {
            if !document.teams.contains_key(team) {
                return Err(format!("the document declares no team {team:?}"));
            }
            spec.team = team.clone();
        }
        spec.payload = submission.payload.clone();
        Ok(spec)
    }

    pub(super) fn accept_job(&mut self, spec: JobSpec, declared: bool) {
        let number = self.next_job;
        self.next_job += 1;
        let spec = Arc::new(spec);
        self.job_numbers.insert(spec.name.clone(), number);
        let record = JobRecord {
            spec: Arc::clone(&spec),
            at: self.clock,
            declared,
            first_start: None,
            ended: None,
            verdict: None,
            reason: CompactString::default(),
            starts: 0,
            tasks: vec![TaskRecord::default(); spec.tasks as usize],
        };
        self.jobs.insert(number, record);
        self.events.push(Event::JobArrived {
            spec,
            at: self.clock,
        });
    }

    pub(super) fn cancel_and_audit(&mut self, name: &JobName, who: &CompactString) -> Reply {
        let open = self.job(name).is_some_and(|(_, job)| job.ended.is_none());
        if open {
            self.add_audit_record(who, format_compact!("cancelled job {name}"));
        }
        self.cancel_job(name)
    }

    pub(super) fn cancel_job(&mut self, name: &JobName) -> Reply {
        let Some((number, job)) = self.job(name) else {
            return refuse(RefusalKind::NotFound, format!("there is no job {name}"));
        };
        if job.ended.is_none() {
            self.stop_job(number, Verdict::Cancelled, CompactString::default());
            self.events.push(Event::JobCancelled(name.clone()));
            self.end_job_if_finished(number);
        }
        self.job_reply(name)
    }

    pub(super) fn fail_job(&mut self, name: &JobName, reason: CompactString) -> Reply {
        let Some((number, job)) = self.job(name) else {
            return Reply::Ok;
        };
        if job.ended.is_none() {
            self.stop_job(number, Verdict::GivenUp, reason);
            self.end_job_if_finished(number);
        }
        Reply::Ok
    }

    pub(super) fn mark_unschedulable(&mut self, name: &JobName, reason: CompactString) -> Reply {
        let Some((number, _)) = self.job(name) else {
            return Reply::Ok;
        };
        if let Some(job) = self.jobs.get_mut(&number).filter(|job| job.ended.is_none()) {
            job.verdict = Some(Verdict::NeverRuns);
            job.reason = reason;
        }
        Reply::Ok
    }

    /// Sets the verdict of a job, ends its waiting tasks and orders its runs to stop.
    fn stop_job(&mut self, number: JobNumber, verdict: Verdict, reason: CompactString) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.verdict = Some(verdict);
        job.reason = reason;
        let waiting_end = match verdict {
            Verdict::GivenUp => TaskPhase::Failed,
            _ => TaskPhase::Cancelled,
        };
        for task in &mut job.tasks {
            match &mut task.phase {
                TaskPhase::Waiting => task.phase = waiting_end.clone(),
                TaskPhase::Running(running) => {
                    running.order = Some(StopKind::Stop);
                    self.changed_workers.push(running.worker);
                }
                _ => {}
            }
        }
    }

    /// Orders runs whose index is beyond the job's number of tasks to stop.
    pub(super) fn stop_surplus(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let kept = job.spec.tasks as usize;
        for task in job.tasks.iter_mut().skip(kept) {
            if let TaskPhase::Running(running) = &mut task.phase {
                running.order = Some(StopKind::Stop);
                self.changed_workers.push(running.worker);
            }
        }
    }

    fn job_reply(&self, name: &JobName) -> Reply {
        match self.view_job(name) {
            Some(view) => Reply::Job(view),
            None => refuse(RefusalKind::NotFound, format!("there is no job {name}")),
        }
    }
}

/// Whether a submission requests the same job as the existing one; absent fields match any
/// value.
fn submission_matches(submission: &JobSubmission, spec: &JobSpec) -> bool {
    submission.kind == spec.kind
        && submission.payload == spec.payload
        && submission.tasks.is_none_or(|tasks| tasks == spec.tasks)
        && submission
            .team
            .as_ref()
            .is_none_or(|team| *team == spec.team)
}
