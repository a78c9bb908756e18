//! Rebuilds the placer after a change of leader.

use std::sync::Arc;

use super::Engine;
use crate::placement::{Event, Placer, RestoredTask, TaskState};
use crate::replay::ledger::TaskStatus;
use crate::workload::TaskId;

impl<P: Placer, F: Fn() -> P> Engine<'_, P, F> {
    /// Replaces the placer by a new one, restored from the recorded workers and jobs in the same
    /// way as a new leader of the daemon does.
    pub(super) fn failover(&mut self) {
        self.placer = (self.make)();
        self.apply_event(Event::Policy(self.trace.header.policy()));
        self.apply_event(Event::Teams(self.trace.header.declared_teams()));
        for i in 0..self.cluster.workers.len() {
            if self.cluster.workers[i].registered {
                self.register_worker(i);
            }
        }
        for job in 0..self.cluster.jobs.len() {
            self.restore(job);
        }
    }

    pub(super) fn restore(&mut self, job: usize) {
        let sim = &self.cluster.jobs[job];
        // The runs of a closed job hold resources until the last one has ended.
        if sim
            .tasks
            .iter()
            .all(|t| matches!(t.status, TaskStatus::Ended(_)))
        {
            return;
        }
        let closed = sim.closed.then(|| sim.spec.name.clone());
        let tasks = sim.tasks.iter().enumerate().map(|(i, task)| RestoredTask {
            task: TaskId {
                job: sim.spec.name.clone(),
                index: i as u32,
            },
            attempt: task.attempt,
            preemptions: task.preemptions,
            state: match task.status {
                TaskStatus::Waiting => TaskState::Waiting,
                TaskStatus::Ended(_) => TaskState::Ended,
                TaskStatus::Running {
                    worker,
                    granted,
                    since,
                    ..
                } => TaskState::Running {
                    worker: self.cluster.workers[worker].spec.id.clone(),
                    granted,
                    since,
                },
            },
        });
        let event = Event::JobRestored {
            spec: Arc::clone(&sim.spec),
            at: sim.arrived,
            tasks: tasks.collect(),
        };
        self.apply_event(event);
        if let Some(job) = closed {
            self.apply_event(Event::JobCancelled(job));
        }
    }
}
