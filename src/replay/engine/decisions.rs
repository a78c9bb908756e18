//! Carrying out what the placer decides.

use std::time::Instant;

use super::{Engine, Happening, LIMIT, SAVE_TIME, START_DELAY, STOP_TIME};
use crate::placement::{Decision, Event, Placer, StopReason};
use crate::replay::ledger::{At, Final, RunKey};
use crate::resources::Resources;
use crate::wire::StopKind;

impl<P: Placer, F: Fn() -> P> Engine<'_, P, F> {
    pub(super) fn decide(&mut self) {
        let mut out = std::mem::take(&mut self.out);
        let began = Instant::now();
        self.placer.decide(self.ledger.now, LIMIT, &mut out);
        let took = began.elapsed();
        let starts = out.iter().filter(|d| matches!(d, Decision::Start { .. }));
        self.measures.decided(took, starts.count() as u64);
        for decision in out.drain(..) {
            self.carry_out(decision);
        }
        let refused = std::mem::take(&mut self.refused);
        for job in std::mem::take(&mut self.touched) {
            if !refused.contains(&job) {
                self.ledger.check_gang(job);
            }
        }
        self.touched = refused;
        self.out = out;
    }

    pub(super) fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Start {
                run,
                worker,
                granted,
            } => {
                let key = self.ledger.key(&run);
                let worker_ix = self.ledger.worker_ix.get(&worker).copied();
                let (Some(key), Some(ix)) = (key, worker_ix) else {
                    self.ledger
                        .violation(format!("an unknown task was started on {worker}"));
                    return;
                };
                if self.refuse > 0 {
                    self.refuse -= 1;
                    self.refused.insert(key.job);
                    self.feed(Event::StartRefused { run, worker });
                    return;
                }
                self.start(key, ix, granted);
            }
            Decision::Stop {
                run, how, reason, ..
            } => {
                let Some(key) = self.ledger.key(&run) else {
                    return;
                };
                if matches!(reason, StopReason::Preempted | StopReason::Reclaimed) {
                    self.measures.preempted += 1;
                    self.ledger.task_mut(key).preemptions += 1;
                }
                self.stop(key, how);
            }
            Decision::Unschedulable { job, .. } => {
                if let Some(&ix) = self.ledger.job_ix.get(&job) {
                    self.ledger.set_never(ix, true);
                }
            }
            Decision::FailJob { job, .. } => {
                if let Some(&ix) = self.ledger.job_ix.get(&job) {
                    self.ledger.close(ix, Final::Dropped);
                    self.measures.given_up.insert(job);
                }
            }
            Decision::Quarantine(worker) => {
                self.measures.quarantined.insert(worker);
            }
            Decision::EndQuarantine(worker) => {
                self.measures.released.insert(worker);
            }
        }
    }

    pub(super) fn start(&mut self, key: RunKey, worker: usize, granted: Resources) {
        if !self.ledger.start(key, worker, granted) {
            return;
        }
        self.ledger.check_worker(worker);
        let job = &self.ledger.jobs[key.job];
        self.touched.insert(key.job);
        let waited = self.ledger.now.saturating_sub(job.arrived);
        let (band, kind) = (job.spec.band, job.spec.kind.clone());
        let task = self.ledger.task_mut(key);
        if !std::mem::replace(&mut task.started, true) {
            self.measures.started(self.ledger.now, band, &kind, waited);
        }
        self.after(START_DELAY, Happening::Begin(key));
    }

    pub(super) fn stop(&mut self, key: RunKey, how: StopKind) {
        if how == StopKind::Throttle || self.ledger.worker_of(key).is_none() {
            return;
        }
        if let At::Running { ending, .. } = &mut self.ledger.task_mut(key).at {
            *ending = true;
        }
        let saved = how == StopKind::Checkpoint && self.ledger.jobs[key.job].spec.checkpoint;
        let takes = if saved { SAVE_TIME } else { STOP_TIME };
        self.after(takes, Happening::Stopped { key, saved });
    }
}
