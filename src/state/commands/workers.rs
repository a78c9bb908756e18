//! Workers joining, leaving and being lost, and their quarantine.

use std::collections::BTreeSet;

use super::Reply;
use super::documents::drain_deadline;
use crate::ids::{ProcessId, TaskIndex};
use crate::placement::Event;
use crate::resources::Resources;
use crate::state::Cell;
use crate::state::records::{JobNumber, WorkerNumber, WorkerRecord};
use crate::workload::WorkerSpec;

impl Cell {
    pub(super) fn worker_up(&mut self, spec: WorkerSpec, process: ProcessId) -> Reply {
        match self.worker_numbers.get(&spec.id).copied() {
            Some(number) => self.update_worker(number, spec, process),
            None => self.add_worker(spec, process),
        }
        Reply::Ok
    }

    fn add_worker(&mut self, spec: WorkerSpec, process: ProcessId) {
        let number = self.next_worker;
        self.next_worker += 1;
        self.worker_numbers.insert(spec.id.clone(), number);
        let record = WorkerRecord {
            spec,
            process,
            granted: Resources::ZERO,
            runs: BTreeSet::new(),
            quarantined: false,
            drain: None,
            leaving: false,
        };
        self.workers.insert(number, record);
        self.emit_worker_up(number);
    }

    /// Updates a known worker, which keeps its number. The leader proposes another process only
    /// after the lease of the earlier one expired and its runs are lost.
    fn update_worker(&mut self, number: WorkerNumber, spec: WorkerSpec, process: ProcessId) {
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        if worker.process != process {
            self.lose_runs(number);
        }
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        // The new capacity is less than what is already granted: without this the worker would be
        // over capacity.
        if !worker.granted.fits_in(&spec.capacity) {
            self.lose_runs(number);
        }
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        worker.spec = spec;
        worker.process = process;
        worker.leaving = false;
        self.emit_worker_up(number);
    }

    fn emit_worker_up(&mut self, number: WorkerNumber) {
        let document = self.document();
        let now = self.clock;
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        worker.drain = drain_deadline(&document.drains, worker, now);
        self.events.push(Event::WorkerUp(worker.spec.clone()));
        if let Some(deadline) = worker.drain {
            let worker = worker.spec.id.clone();
            self.events.push(Event::DrainStarted { worker, deadline });
        }
        self.changed_workers.push(number);
    }

    pub(super) fn worker_down(
        &mut self,
        number: WorkerNumber,
        process: ProcessId,
        never_sent: &[(JobNumber, TaskIndex)],
    ) -> Reply {
        let Some(worker) = self.workers.get(&number) else {
            return Reply::Ok;
        };
        if worker.process != process {
            return Reply::Ok;
        }
        let id = worker.spec.id.clone();
        for (job, index) in never_sent {
            self.withdraw_run(number, *job, *index);
        }
        self.lose_runs(number);
        self.workers.remove(&number);
        self.worker_numbers.remove(&id);
        self.changed_workers.push(number);
        self.events.push(Event::WorkerDown(id));
        Reply::Ok
    }

    pub(super) fn worker_leaving(&mut self, number: WorkerNumber) -> Reply {
        let now = self.clock;
        let Some(worker) = self.workers.get_mut(&number) else {
            return Reply::Ok;
        };
        if !worker.leaving {
            worker.leaving = true;
            let worker = worker.spec.id.clone();
            self.events.push(Event::DrainStarted {
                worker,
                deadline: now,
            });
        }
        Reply::Ok
    }

    pub(super) fn quarantine(&mut self, number: WorkerNumber, on: bool) -> Reply {
        if let Some(worker) = self.workers.get_mut(&number) {
            worker.quarantined = on;
        }
        Reply::Ok
    }

    fn lose_runs(&mut self, number: WorkerNumber) {
        let Some(worker) = self.workers.get(&number) else {
            return;
        };
        let runs: Vec<_> = worker.runs.iter().copied().collect();
        for (job, index) in runs {
            self.lose_run(number, job, index);
        }
    }
}
