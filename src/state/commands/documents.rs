//! Putting a document in force, and bringing what it declares in line with it.

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
        // An operator whose answer was lost sends the same again: without the key's answer it
        // would see a conflict with its own change.
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
        self.audited(
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
        self.follow_document(&old);
        self.feed_changed();
        Reply::Revision(revision)
    }

    fn follow_document(&mut self, old: &Document) {
        let new = self.document();
        self.events.push(Event::Policy(new.policy.clone()));
        self.events.push(Event::Teams(new.teams.clone()));
        self.burn.set_objectives(&new.objectives);
        self.follow_drains(&new.drains);
        for name in old
            .workloads
            .keys()
            .filter(|name| !new.workloads.contains_key(*name))
        {
            self.cancel_job(name);
        }
        for (name, workload) in &new.workloads {
            if let Some(kind) = new.kinds.get(&workload.kind) {
                self.follow_workload(name, workload, kind);
            }
        }
    }

    fn follow_workload(&mut self, name: &JobName, workload: &Workload, kind: &JobKind) {
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
        // A batch job that was done once is not run again by a changed declaration: a plan cut
        // twice cannot be undone. A new name runs it anew.
        if ended && !long_running {
            return;
        }
        if ended || !same_but_for_count(&job.spec, &spec) {
            self.replace_job(number, spec);
            return;
        }
        self.resize_job(number, spec);
    }

    /// Stops the old tasks of a changed long-running job and accepts it in its new form.
    fn replace_job(&mut self, number: u32, spec: JobSpec) {
        let name = spec.name.clone();
        self.cancel_job(&name);
        let still_running = self
            .jobs
            .get(&number)
            .is_some_and(|job| job.ended.is_none());
        if still_running {
            // The old runs must end first: a watcher in two forms at once would run doubled.
            // The leader's rollout accepts the new form when the old one has ended.
            return;
        }
        self.job_numbers.remove(&name);
        self.accept_job(spec, true);
    }

    /// Accepts declared long-running jobs whose earlier form has ended.
    pub(super) fn renew_declared(&mut self, name: &JobName) {
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
        let wanted = spec.tasks;
        let name = spec.name.clone();
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.spec = Arc::new(spec);
        while job.tasks.len() < wanted as usize {
            job.tasks.push(TaskRecord::default());
        }
        for (index, task) in job.tasks.iter_mut().enumerate() {
            let kept = index < wanted as usize;
            match task.phase {
                TaskPhase::Waiting if !kept => task.phase = TaskPhase::Cancelled,
                TaskPhase::Cancelled if kept => task.phase = TaskPhase::Waiting,
                _ => {}
            }
        }
        self.events.push(Event::JobResized {
            job: name,
            tasks: wanted,
        });
        self.stop_surplus(number);
    }

    fn follow_drains(&mut self, drains: &[Drain]) {
        let now = self.clock;
        let mut events = Vec::new();
        for (number, worker) in &mut self.workers {
            let wanted = drain_deadline(drains, worker, now);
            if wanted.is_some() == worker.drain.is_some() {
                continue;
            }
            worker.drain = wanted;
            let id = worker.spec.id.clone();
            self.touched_workers.push(*number);
            events.push(match wanted {
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

/// When a worker must be empty under these drains.
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

/// The job that a declared workload stands for.
fn declared_spec(name: &JobName, workload: &Workload, kind: &JobKind) -> JobSpec {
    let mut spec = kind_spec(name.clone(), workload.kind.clone(), kind);
    spec.tasks = workload.tasks;
    spec.payload = workload.payload.clone();
    spec
}

/// A job of a kind with all that the kind declares.
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

fn same_but_for_count(old: &JobSpec, new: &JobSpec) -> bool {
    JobSpec {
        tasks: new.tasks,
        ..old.clone()
    } == *new
}
