//! Workers that are lost, cut off, or come back.

use super::{DRIFT_PERCENT, Engine, Happening};
use crate::ids::WorkerId;
use crate::placement::{Event, Placer};
use crate::replay::ledger::{At, Final, RunKey};

impl<P: Placer, F: Fn() -> P> Engine<'_, P, F> {
    /// The worker dies: nothing executes there from now on, but control learns it only when
    /// the lease lapses.
    pub(super) fn lose(&mut self, worker: usize) {
        self.cut(worker);
        self.ledger.workers[worker].executing.clear();
    }

    pub(super) fn cut(&mut self, worker: usize) {
        let w = &mut self.ledger.workers[worker];
        if !w.reachable {
            return;
        }
        w.reachable = false;
        w.epoch += 1;
        let epoch = w.epoch;
        self.after(self.lease, Happening::OwnLapse { worker, epoch });
        let lapse = Happening::Lapse { worker, epoch };
        self.after(self.lease * DRIFT_PERCENT / 100, lapse);
    }

    pub(super) fn lapse(&mut self, worker: usize, epoch: u32) {
        let w = &mut self.ledger.workers[worker];
        if w.epoch != epoch || !w.known {
            return;
        }
        w.known = false;
        let id = w.spec.id.clone();
        self.feed(Event::WorkerDown(id));
        self.lose_runs(worker);
    }

    pub(super) fn lose_runs(&mut self, worker: usize) {
        let w = &mut self.ledger.workers[worker];
        let id = w.spec.id.clone();
        let runs: Vec<RunKey> = w.runs.iter().copied().collect();
        w.executing.clear();
        for key in runs {
            self.lost(key, &id);
        }
    }

    /// Control cannot tell whether a run on a lost worker ever began, so a task that is not
    /// idempotent is never started again.
    pub(super) fn lost(&mut self, key: RunKey, worker: &WorkerId) {
        let job = &self.ledger.jobs[key.job];
        let restart = job.spec.idempotent;
        let next = if job.closed {
            At::Over(Final::Cancelled)
        } else if restart && key.index < job.spec.tasks {
            At::Waiting
        } else {
            At::Over(Final::Unknown)
        };
        let run = self.ledger.run(key);
        self.ledger.settle(key, next);
        self.touched.insert(key.job);
        self.feed(Event::RunLost {
            run,
            worker: worker.clone(),
            restart,
        });
    }

    /// A worker that was cut off is back: within its lease it goes on, after it it is empty.
    pub(super) fn back(&mut self, worker: usize) {
        let w = &mut self.ledger.workers[worker];
        w.reachable = true;
        w.epoch += 1;
        if w.known {
            return;
        }
        w.known = true;
        w.executing.clear();
        self.announce(worker);
    }

    /// Tells the placer of a worker, and of its drain if it has one.
    pub(super) fn announce(&mut self, ix: usize) {
        let w = &self.ledger.workers[ix];
        let (spec, drain) = (w.spec.clone(), w.drain);
        let worker = spec.id.clone();
        self.feed(Event::WorkerUp(spec));
        if let Some(deadline) = drain {
            self.feed(Event::DrainStarted { worker, deadline });
        }
    }
}
