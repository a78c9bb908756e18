//! The events from which a new leader rebuilds its placer.

use std::sync::Arc;

use crate::placement::{Event, RestoredTask, TaskState};
use crate::state::Cell;
use crate::state::records::{JobRecord, TaskPhase, TaskRecord, Verdict};
use crate::workload::TaskId;

/// Events that bring an empty placer to the cell's present state.
pub type ReplayedEvents = Vec<Event>;

impl Cell {
    /// The state as events: policy, teams, workers with their drains, then jobs that have not
    /// ended.
    pub fn replayed_events(&self) -> ReplayedEvents {
        let document = self.document();
        let mut events = vec![
            Event::Policy(document.policy.clone()),
            Event::Teams(document.teams.clone()),
        ];
        for worker in self.workers.values() {
            events.push(Event::WorkerUp(worker.spec.clone()));
            let deadline = worker
                .drain
                .or_else(|| worker.leaving.then_some(self.clock));
            if let Some(deadline) = deadline {
                events.push(Event::DrainStarted {
                    worker: worker.spec.id.clone(),
                    deadline,
                });
            }
        }
        for job in self.jobs.values().filter(|job| job.ended.is_none()) {
            events.push(self.restored_job(job));
            if matches!(job.verdict, Some(Verdict::Cancelled | Verdict::GivenUp)) {
                events.push(Event::JobCancelled(job.spec.name.clone()));
            }
        }
        events
    }

    fn restored_job(&self, job: &JobRecord) -> Event {
        let tasks = job.tasks.iter().enumerate();
        let tasks = tasks.map(|(index, task)| RestoredTask {
            task: TaskId {
                job: job.spec.name.clone(),
                index: index as u32,
            },
            attempt: task.attempt,
            preemptions: task.preemptions,
            state: self.restored_state(task),
        });
        Event::JobRestored {
            spec: Arc::clone(&job.spec),
            at: job.at,
            tasks: tasks.collect(),
        }
    }

    fn restored_state(&self, task: &TaskRecord) -> TaskState {
        match &task.phase {
            TaskPhase::Waiting => TaskState::Waiting,
            TaskPhase::Running(running) => match self.workers.get(&running.worker) {
                Some(worker) => TaskState::Running {
                    worker: worker.spec.id.clone(),
                    granted: running.granted,
                    since: running.since,
                },
                None => TaskState::Ended,
            },
            _ => TaskState::Ended,
        }
    }
}
