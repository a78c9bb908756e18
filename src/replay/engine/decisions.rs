//! Requests decisions from the placer and executes them on the simulated workers.

use std::time::Instant;

use super::{Engine, MAX_STARTS_PER_CALL, SAVE_TIME, START_DELAY, STOP_TIME, SimEvent};
use crate::placement::{Decision, Event, Placer, StopReason};
use crate::replay::ledger::{RunKey, TaskOutcome, TaskStatus};
use crate::resources::Resources;
use crate::wire::StopKind;

impl<P: Placer, F: Fn() -> P> Engine<'_, P, F> {
    pub(super) fn decide(&mut self) {
        let mut out = std::mem::take(&mut self.out);
        let began = Instant::now();
        self.placer
            .decide(self.cluster.now, MAX_STARTS_PER_CALL, &mut out);
        let took = began.elapsed();
        let starts = out.iter().filter(|d| matches!(d, Decision::Start { .. }));
        self.measures.record_decide(took, starts.count() as u64);
        for decision in out.drain(..) {
            self.execute(decision);
        }
        let refused = std::mem::take(&mut self.refused);
        for job in std::mem::take(&mut self.changed_jobs) {
            if !refused.contains(&job) {
                self.cluster.check_gang(job);
            }
        }
        self.changed_jobs = refused;
        self.out = out;
    }

    pub(super) fn execute(&mut self, decision: Decision) {
        match decision {
            Decision::Start {
                run,
                worker,
                granted,
            } => {
                let key = self.cluster.key(&run);
                let worker_ix = self.cluster.worker_ix.get(&worker).copied();
                let (Some(key), Some(ix)) = (key, worker_ix) else {
                    self.cluster
                        .violation(format!("an unknown task was started on {worker}"));
                    return;
                };
                if self.refusals_left > 0 {
                    self.refusals_left -= 1;
                    self.refused.insert(key.job);
                    self.apply_event(Event::StartRefused { run, worker });
                    return;
                }
                self.start(key, ix, granted);
            }
            Decision::Stop {
                run, how, reason, ..
            } => {
                let Some(key) = self.cluster.key(&run) else {
                    return;
                };
                if matches!(reason, StopReason::Preempted | StopReason::Reclaimed) {
                    self.measures.preempted += 1;
                    self.cluster.task_mut(key).preemptions += 1;
                }
                self.stop(key, how);
            }
            Decision::Unschedulable { job, .. } => {
                if let Some(&ix) = self.cluster.job_ix.get(&job) {
                    self.cluster.set_unschedulable(ix, true);
                }
            }
            Decision::FailJob { job, .. } => {
                if let Some(&ix) = self.cluster.job_ix.get(&job) {
                    self.cluster.close_job(ix, TaskOutcome::Dropped);
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
        if !self.cluster.start(key, worker, granted) {
            return;
        }
        self.cluster.check_worker(worker);
        let job = &self.cluster.jobs[key.job];
        self.changed_jobs.insert(key.job);
        let waited = self.cluster.now.saturating_sub(job.arrived);
        let (band, kind) = (job.spec.band, job.spec.kind.clone());
        let task = self.cluster.task_mut(key);
        if !std::mem::replace(&mut task.started, true) {
            self.measures
                .record_start(self.cluster.now, band, &kind, waited);
        }
        self.schedule_in(START_DELAY, SimEvent::StartDelivered(key));
    }

    pub(super) fn stop(&mut self, key: RunKey, how: StopKind) {
        if how == StopKind::Throttle || self.cluster.worker_of(key).is_none() {
            return;
        }
        if let TaskStatus::Running { ending, .. } = &mut self.cluster.task_mut(key).status {
            *ending = true;
        }
        let saved = how == StopKind::Checkpoint && self.cluster.jobs[key.job].spec.checkpoint;
        let takes = if saved { SAVE_TIME } else { STOP_TIME };
        self.schedule_in(takes, SimEvent::StopFinished { key, saved });
    }
}
