//! A worker's poll: renews its lease, returns its assigned runs and records the ends it reports.

use std::time::Duration;

use tokio::sync::watch;

use super::machine::{Command, LeaderState, Machine, RunList};
use crate::ids::Timestamp;
use crate::placement::{Event, Placer};
use crate::resources::Resources;
use crate::state::{TaskPhase, WorkerNumber, WorkerRecord, WorkerReport};
use crate::wire::{WorkerPoll, WorkerTasks};
use crate::workload::TaskRun;

/// Next step for a poll.
#[derive(Debug)]
pub enum PollStep {
    /// These commands must be committed first; then the poll is checked again.
    Propose(Vec<Command>),
    /// Send this answer.
    Answer(WorkerTasks),
    /// Nothing changed for the worker; check again on a notification or when the poll's wait ends.
    Hold(watch::Receiver<()>),
}

/// Whether a poll may wait while nothing changed for its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollMode {
    /// Wait for a change.
    Hold,
    /// Answer at once, since the poll's wait has ended.
    AnswerNow,
}

impl<P: Placer + Send + 'static> Machine<P> {
    /// Handles a poll. `now` is a monotonic time at which leadership was confirmed after the poll
    /// arrived.
    pub fn poll_worker(&mut self, now: Timestamp, poll: &WorkerPoll, mode: PollMode) -> PollStep {
        let lease = self.cell.document().policy.lease;
        let Some((number, record)) = self.cell.worker(&poll.worker.id) else {
            return self.join_worker(poll);
        };
        let Some(leader) = &mut self.leader else {
            return answer_without_lease();
        };
        if record.process == poll.process && !leader.is_latest(number, poll.sequence) {
            // A later poll of this process arrived first, so this one's list of runs is outdated.
            return answer_without_lease();
        }
        if record.process != poll.process
            || !leader.workers.renew(&number, poll.process, now, lease)
        {
            // Either an earlier process may still run tasks under its lease, or the lease of this
            // process has expired and its runs are being reassigned. Without a lease the worker
            // starts nothing.
            return answer_without_lease();
        }
        let Some(poll) = &leader.with_run_list(number, poll) else {
            return PollStep::Answer(WorkerTasks {
                lease,
                send_list: true,
                ..WorkerTasks::default()
            });
        };
        let commands = poll_commands(number, record, poll, &self.cell, leader);
        if !commands.is_empty() {
            return PollStep::Propose(commands);
        }
        leader.record_usage(self.cell.clock, poll);
        self.answer_poll(number, poll, lease, mode)
    }

    /// Lets an unknown worker join, unless it is leaving.
    fn join_worker(&self, poll: &WorkerPoll) -> PollStep {
        if poll.leaving {
            return answer_without_lease();
        }
        let spec = poll.worker.clone();
        let process = poll.process;
        PollStep::Propose(vec![Command::WorkerUp { spec, process }])
    }

    fn answer_poll(
        &mut self,
        number: WorkerNumber,
        poll: &WorkerPoll,
        lease: Duration,
        mode: PollMode,
    ) -> PollStep {
        let mut tasks = self.cell.tasks_for(number, &poll.running);
        tasks.lease = lease;
        tasks.acknowledged = poll.ended.iter().map(|ended| ended.run.clone()).collect();
        let ended = |run: &TaskRun| poll.ended.iter().any(|ended| ended.run == *run);
        tasks.stop.retain(|stop| !ended(&stop.run));
        tasks.assigned.retain(|assigned| !ended(&assigned.run));
        // Runs that the worker already has are left out: with 18 runs per worker, listing all of
        // them in every answer would be most of the traffic of control.
        let holds = |run: &TaskRun| poll.running.contains(run);
        tasks.assigned.retain(|assigned| !holds(&assigned.run));
        let Some(leader) = &mut self.leader else {
            return answer_without_lease();
        };
        let starts = !tasks.assigned.is_empty();
        // A run takes time to stop; orders that were already sent are no reason to answer.
        let orders = leader
            .sent_stops
            .get(&number)
            .is_none_or(|sent| *sent != tasks.stop);
        let changed = starts || orders || !poll.ended.is_empty();
        if !changed && mode == PollMode::Hold {
            return PollStep::Hold(leader.waker(number));
        }
        leader.sent_stops.insert(number, tasks.stop.clone());
        // From here on the worker may start the runs, so they no longer count as never sent.
        leader.unsent.remove(&number);
        PollStep::Answer(tasks)
    }
}

/// An answer without a lease: the worker starts nothing, stops nothing because of it, and polls
/// again.
fn answer_without_lease() -> PollStep {
    PollStep::Answer(WorkerTasks::default())
}

/// The commands that must be committed before the poll is answered.
fn poll_commands<P: Placer>(
    number: WorkerNumber,
    record: &WorkerRecord,
    poll: &WorkerPoll,
    cell: &crate::state::Cell,
    leader: &mut LeaderState<P>,
) -> Vec<Command> {
    let mut commands = Vec::new();
    if record.spec != poll.worker {
        commands.push(Command::WorkerUp {
            spec: poll.worker.clone(),
            process: poll.process,
        });
    }
    let ended = unrecorded_ends(number, poll, cell);
    if !ended.is_empty() {
        commands.push(Command::Report(vec![WorkerReport {
            worker: number,
            ended,
        }]));
    }
    if poll.leaving && !record.leaving {
        commands.push(Command::WorkerLeaving(number));
    }
    if poll.leaving && record.leaving && record.runs.is_empty() && poll.running.is_empty() {
        leader.workers.release(&number, poll.process);
        commands.push(Command::WorkerDown {
            worker: number,
            process: poll.process,
            never_sent: Vec::new(),
        });
    }
    commands
}

/// Run ends in the poll that the cell hasn't recorded yet.
fn unrecorded_ends(
    number: WorkerNumber,
    poll: &WorkerPoll,
    cell: &crate::state::Cell,
) -> Vec<(u32, u32, u32, crate::workload::RunEnd)> {
    let ends = poll.ended.iter().filter_map(|ended| {
        let (job_number, job) = cell.job(&ended.run.task.job)?;
        let index = ended.run.task.index;
        let task = job.tasks.get(index as usize)?;
        let open = match &task.phase {
            TaskPhase::Running(running) => running.worker == number,
            phase => *phase == TaskPhase::Unknown,
        };
        let current = open && task.attempt == ended.run.attempt;
        current.then_some((job_number, index, ended.run.attempt, ended.end))
    });
    ends.collect()
}

impl<P: Placer> LeaderState<P> {
    /// Records a poll's number and returns whether no later poll was received before.
    fn is_latest(&mut self, number: WorkerNumber, sequence: u64) -> bool {
        let latest = self.sequences.entry(number).or_default();
        *latest = sequence.max(*latest);
        *latest == sequence
    }

    /// The poll with its list of runs filled in. `None` if the poll left the list out and this
    /// leader doesn't have it, as after a change of leader.
    ///
    /// With 18 runs per worker the lists would be most of the data that control receives,
    /// although they rarely change between two polls.
    fn with_run_list(&mut self, number: WorkerNumber, poll: &WorkerPoll) -> Option<WorkerPoll> {
        let mut complete = poll.clone();
        if poll.unchanged {
            let held = self.run_lists.get(&number);
            let held = held.filter(|held| held.process == poll.process && held.list == poll.list);
            complete.running.clone_from(&held?.running);
            return Some(complete);
        }
        let held = RunList {
            process: poll.process,
            list: poll.list,
            running: poll.running.clone(),
        };
        self.run_lists.insert(number, held);
        Some(complete)
    }

    /// Passes the measured usage of runs to the placer.
    fn record_usage(&mut self, clock: Timestamp, poll: &WorkerPoll) {
        for usage in &poll.usage {
            let used = Resources {
                millicores: usage.millicores,
                memory_mb: usage.memory_mb,
                accelerators: 0,
            };
            let run = usage.run.clone();
            self.placer.apply(clock, Event::Usage { run, used });
        }
    }
}
