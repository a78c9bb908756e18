//! A new placer built from what was agreed, as by a new leader.

use std::sync::Arc;

use super::Engine;
use crate::placement::{Event, Placer, RestoredTask, TaskState};
use crate::replay::ledger::At;
use crate::workload::TaskId;

impl<P: Placer, F: Fn() -> P> Engine<'_, P, F> {
    /// A new leader builds its placer from what is recorded, as the daemon does.
    pub(super) fn failover(&mut self) {
        self.placer = (self.make)();
        self.feed(Event::Policy(self.trace.header.policy()));
        self.feed(Event::Teams(self.trace.header.declared_teams()));
        for i in 0..self.ledger.workers.len() {
            if self.ledger.workers[i].known {
                self.announce(i);
            }
        }
        for job in 0..self.ledger.jobs.len() {
            self.restore(job);
        }
    }

    pub(super) fn restore(&mut self, job: usize) {
        let truth = &self.ledger.jobs[job];
        // A closed job still holds room until its last run has ended.
        if truth.tasks.iter().all(|t| matches!(t.at, At::Over(_))) {
            return;
        }
        let closed = truth.closed.then(|| truth.spec.name.clone());
        let tasks = truth
            .tasks
            .iter()
            .enumerate()
            .map(|(i, task)| RestoredTask {
                task: TaskId {
                    job: truth.spec.name.clone(),
                    index: i as u32,
                },
                attempt: task.attempt,
                preemptions: task.preemptions,
                state: match task.at {
                    At::Waiting => TaskState::Waiting,
                    At::Over(_) => TaskState::Ended,
                    At::Running {
                        worker,
                        granted,
                        since,
                        ..
                    } => TaskState::Running {
                        worker: self.ledger.workers[worker].spec.id.clone(),
                        granted,
                        since,
                    },
                },
            });
        let event = Event::JobRestored {
            spec: Arc::clone(&truth.spec),
            at: truth.arrived,
            tasks: tasks.collect(),
        };
        self.feed(event);
        if let Some(job) = closed {
            self.feed(Event::JobCancelled(job));
        }
    }
}
