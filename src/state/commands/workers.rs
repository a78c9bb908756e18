//! Workers joining, leaving and being lost.

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
            Some(number) => self.worker_again(number, spec, process),
            None => self.worker_new(spec, process),
        }
        Reply::Ok
    }

    fn worker_new(&mut self, spec: WorkerSpec, process: ProcessId) {
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
        self.announce_worker(number);
    }

    /// Takes a worker back under its number. The leader proposes this only once the lease of
    /// an earlier process has run out and its runs are lost.
    fn worker_again(&mut self, number: WorkerNumber, spec: WorkerSpec, process: ProcessId) {
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        if worker.process != process {
            self.lose_runs(number);
        }
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        // A smaller shape than what is granted would be overfilled at once.
        if !worker.granted.fits_in(&spec.capacity) {
            self.lose_runs(number);
        }
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        worker.spec = spec;
        worker.process = process;
        worker.leaving = false;
        self.announce_worker(number);
    }

    fn announce_worker(&mut self, number: WorkerNumber) {
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
        self.touched_workers.push(number);
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
        self.touched_workers.push(number);
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
