//! Puts a document in force and reconciles declared jobs and drains with it.

use std::sync::Arc;

use compact_str::{CompactString, format_compact};

use super::Reply;
use crate::document::{Document, Drain, DrainTarget, JobKind, Workload};
use crate::ids::{IdempotencyKey, JobName, KindName, Revision, Timestamp};
use crate::placement::Event;
use crate::state::Cell;
use crate::state::cell::DOCUMENTS_KEPT;
use crate::state::records::{DocumentRecord, TaskPhase, TaskRecord, Verdict, WorkerRecord};
use crate::workload::{JobSpec, WorkClass};

impl Cell {
    pub(super) fn put_document(
        &mut self,
        base: Revision,
        document: Arc<Document>,
        who: CompactString,
        key: Option<IdempotencyKey>,
    ) -> Reply {
        // An operator whose answer was lost resends the document under the same key. Without this
        // check the resend would be refused as conflicting with its own change.
        if let Some(first) = self
            .documents
            .iter()
            .find(|d| key.is_some() && d.key == key)
        {
            return Reply::Revision(first.revision);
        }
        if base != self.revision() {
            return Reply::Stale(self.revision());
        }
        let old = self.document();
        let revision = base + 1;
        self.add_audit_record(
            &who,
            format_compact!("put document revision {revision} in force"),
        );
        let record = DocumentRecord {
            revision,
            at: self.clock,
            who,
            document,
            key,
        };
        self.documents.push_back(record);
        while self.documents.len() > DOCUMENTS_KEPT {
            self.documents.pop_front();
        }
        self.reconcile(&old);
        self.feed_changed();
        Reply::Revision(revision)
    }

    fn reconcile(&mut self, old: &Document) {
        let new = self.document();
        self.events.push(Event::Policy(new.policy.clone()));
        self.events.push(Event::Teams(new.teams.clone()));
        self.burn.set_objectives(&new.objectives);
        self.reconcile_drains(&new.drains);
        for name in old
            .workloads
            .keys()
            .filter(|name| !new.workloads.contains_key(*name))
        {
            self.cancel_job(name);
        }
        for (name, workload) in &new.workloads {
            if let Some(kind) = new.kinds.get(&workload.kind) {
                self.reconcile_workload(name, workload, kind);
            }
        }
    }

    fn reconcile_workload(&mut self, name: &JobName, workload: &Workload, kind: &JobKind) {
        let spec = declared_spec(name, workload, kind);
        let Some((number, job)) = self.job(name) else {
            self.accept_job(spec, true);
            return;
        };
        if *job.spec == spec {
            return;
        }
        let long_running = matches!(spec.class, WorkClass::Service | WorkClass::Watcher);
        let ended = job.ended.is_some();
        // A changed declaration does not run an ended batch job again, because its work may have
        // effects that can't be undone. Declaring it under a new name runs it.
        if ended && !long_running {
            return;
        }
        if ended || !differs_only_in_tasks(&job.spec, &spec) {
            self.replace_job(number, spec);
            return;
        }
        self.resize_job(number, spec);
    }

    /// Stops the tasks of a changed long-running job and accepts the job with its new spec.
    fn replace_job(&mut self, number: u32, spec: JobSpec) {
        let name = spec.name.clone();
        self.cancel_job(&name);
        let still_running = self
            .jobs
            .get(&number)
            .is_some_and(|job| job.ended.is_none());
        if still_running {
            // The old runs must end first, or a watcher would run twice at the same time.
            // `restart_declared` accepts the new spec once they have ended.
            return;
        }
        self.job_numbers.remove(&name);
        self.accept_job(spec, true);
    }

    /// Accepts a declared long-running job with its new spec after the runs of its old spec have
    /// ended.
    pub(super) fn restart_declared(&mut self, name: &JobName) {
        let document = self.document();
        let Some(workload) = document.workloads.get(name) else {
            return;
        };
        let Some(kind) = document.kinds.get(&workload.kind) else {
            return;
        };
        if !matches!(kind.class, WorkClass::Service | WorkClass::Watcher) {
            return;
        }
        let cancelled = self.job(name).is_some_and(|(_, job)| {
            job.declared && job.ended.is_some() && job.verdict == Some(Verdict::Cancelled)
        });
        if cancelled {
            self.job_numbers.remove(name);
            self.accept_job(declared_spec(name, workload, kind), true);
        }
    }

    fn resize_job(&mut self, number: u32, spec: JobSpec) {
        let count = spec.tasks;
        let name = spec.name.clone();
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.spec = Arc::new(spec);
        while job.tasks.len() < count as usize {
            job.tasks.push(TaskRecord::default());
        }
        for (index, task) in job.tasks.iter_mut().enumerate() {
            let kept = index < count as usize;
            match task.phase {
                TaskPhase::Waiting if !kept => task.phase = TaskPhase::Cancelled,
                TaskPhase::Cancelled if kept => task.phase = TaskPhase::Waiting,
                _ => {}
            }
        }
        self.events.push(Event::JobResized {
            job: name,
            tasks: count,
        });
        self.stop_surplus(number);
    }

    fn reconcile_drains(&mut self, drains: &[Drain]) {
        let now = self.clock;
        let mut events = Vec::new();
        for (number, worker) in &mut self.workers {
            let due = drain_deadline(drains, worker, now);
            if due.is_some() == worker.drain.is_some() {
                continue;
            }
            worker.drain = due;
            let id = worker.spec.id.clone();
            self.changed_workers.push(*number);
            events.push(match due {
                Some(deadline) => Event::DrainStarted {
                    worker: id,
                    deadline,
                },
                None => Event::DrainEnded(id),
            });
        }
        self.events.extend(events);
    }
}

/// Time by which a worker must be empty under these drains; `None` if none applies to it.
pub(super) fn drain_deadline(
    drains: &[Drain],
    worker: &WorkerRecord,
    now: Timestamp,
) -> Option<Timestamp> {
    let spec = &worker.spec;
    let matches = |target: &DrainTarget| match target {
        DrainTarget::Worker(id) => *id == spec.id,
        DrainTarget::Rack(zone, rack) => *zone == spec.zone && *rack == spec.rack,
        DrainTarget::Zone(zone) => *zone == spec.zone,
    };
    let spans = drains
        .iter()
        .filter(|drain| matches(&drain.target))
        .map(|drain| drain.within);
    spans.min().map(|within| now + within)
}

/// Spec of the job that a declared workload requires.
fn declared_spec(name: &JobName, workload: &Workload, kind: &JobKind) -> JobSpec {
    let mut spec = kind_spec(name.clone(), workload.kind.clone(), kind);
    spec.tasks = workload.tasks;
    spec.payload = workload.payload.clone();
    spec
}

/// Spec of a job with the values that its kind declares and an empty payload.
pub(super) fn kind_spec(name: JobName, kind_name: KindName, kind: &JobKind) -> JobSpec {
    JobSpec {
        name,
        kind: kind_name,
        team: kind.team.clone(),
        class: kind.class,
        band: kind.band,
        tasks: kind.tasks,
        need: kind.need,
        accelerator: kind.accelerator.clone(),
        run_time: kind.run_time,
        idempotent: kind.idempotent,
        checkpoint: kind.checkpoint,
        max_attempts: kind.max_attempts,
        spread: kind.spread,
        zones: kind.zones.clone(),
        on_member_loss: kind.on_member_loss,
        max_unavailable: kind.max_unavailable,
        payload: CompactString::default(),
    }
}

fn differs_only_in_tasks(old: &JobSpec, new: &JobSpec) -> bool {
    JobSpec {
        tasks: new.tasks,
        ..old.clone()
    } == *new
}
