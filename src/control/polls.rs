//! A worker's poll: its lease, the runs it must hold, and the ends it reports.

use std::time::Duration;

use tokio::sync::watch;

use super::machine::{Command, HeldList, Lead, Machine};
use crate::ids::Timestamp;
use crate::placement::{Event, Placer};
use crate::resources::Resources;
use crate::state::{TaskPhase, WorkerNumber, WorkerRecord, WorkerReport};
use crate::wire::{WorkerPoll, WorkerTasks};
use crate::workload::TaskRun;

/// What comes next for a poll.
#[derive(Debug)]
pub enum PollStep {
    /// These commands must be agreed first; then the poll is looked at again.
    Propose(Vec<Command>),
    /// The answer.
    Answer(WorkerTasks),
    /// There is no news; look again when woken or when the poll's wait is over.
    Hold(watch::Receiver<()>),
}

/// Whether a poll may be held back while there is no news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// Hold it back until there is news.
    Hold,
    /// Answer now.
    AnswerNow,
}

impl<P: Placer + Send + 'static> Machine<P> {
    /// Looks at a poll at `now`, a monotonic time at which leadership was confirmed after the
    /// poll arrived.
    pub fn poll_worker(
        &mut self,
        now: Timestamp,
        poll: &WorkerPoll,
        patience: Patience,
    ) -> PollStep {
        let lease = self.cell.document().policy.lease;
        let Some((number, record)) = self.cell.worker(&poll.worker.id) else {
            return self.poll_of_stranger(poll);
        };
        let Some(lead) = &mut self.lead else {
            return refuse_lease();
        };
        if record.process == poll.process && !lead.is_latest(number, poll.sequence) {
            // A later poll of this process came first: this one's list of runs is out of date.
            return refuse_lease();
        }
        if record.process != poll.process || !lead.workers.renew(&number, poll.process, now, lease)
        {
            // An earlier process may still run tasks under its lease, or this one's lease is
            // over and its runs are being given to others. Without a lease it starts nothing.
            return refuse_lease();
        }
        let Some(poll) = &lead.whole_poll(number, poll) else {
            return PollStep::Answer(WorkerTasks {
                lease,
                send_list: true,
                ..WorkerTasks::default()
            });
        };
        let commands = commands_for(number, record, poll, &self.cell, lead);
        if !commands.is_empty() {
            return PollStep::Propose(commands);
        }
        lead.take_usage(self.cell.clock, poll);
        self.answer_poll(number, poll, lease, patience)
    }

    fn poll_of_stranger(&self, poll: &WorkerPoll) -> PollStep {
        if poll.leaving {
            return refuse_lease();
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
        patience: Patience,
    ) -> PollStep {
        let mut tasks = self.cell.tasks_for(number, &poll.running);
        tasks.lease = lease;
        tasks.acknowledged = poll.ended.iter().map(|ended| ended.run.clone()).collect();
        let ended = |run: &TaskRun| poll.ended.iter().any(|ended| ended.run == *run);
        tasks.stop.retain(|stop| !ended(&stop.run));
        tasks.assigned.retain(|assigned| !ended(&assigned.run));
        // Only what the worker does not hold yet is told: with 18 runs a worker, telling all of
        // them in every answer would be most of control's traffic.
        let holds = |run: &TaskRun| poll.running.contains(run);
        tasks.assigned.retain(|assigned| !holds(&assigned.run));
        let Some(lead) = &mut self.lead else {
            return refuse_lease();
        };
        let starts = !tasks.assigned.is_empty();
        // A run takes a while to stop; the same orders again are no news.
        let orders = lead
            .told
            .get(&number)
            .is_none_or(|told| *told != tasks.stop);
        let news = starts || orders || !poll.ended.is_empty();
        if !news && patience == Patience::Hold {
            return PollStep::Hold(lead.waker(number));
        }
        lead.told.insert(number, tasks.stop.clone());
        // From here on the runs may start: they can no longer be proved not to have run.
        lead.unsent.remove(&number);
        PollStep::Answer(tasks)
    }
}

/// An answer without a lease: start nothing, stop nothing on its account, poll again.
fn refuse_lease() -> PollStep {
    PollStep::Answer(WorkerTasks::default())
}

fn commands_for<P: Placer>(
    number: WorkerNumber,
    record: &WorkerRecord,
    poll: &WorkerPoll,
    cell: &crate::state::Cell,
    lead: &mut Lead<P>,
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
        lead.workers.give_up(&number, poll.process);
        commands.push(Command::WorkerDown {
            worker: number,
            process: poll.process,
            never_sent: Vec::new(),
        });
    }
    commands
}

/// Ends in the poll that the cell has not recorded yet.
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

impl<P: Placer> Lead<P> {
    /// Whether no later poll was seen, and notes this one.
    fn is_latest(&mut self, number: WorkerNumber, sequence: u64) -> bool {
        let latest = self.sequences.entry(number).or_default();
        *latest = sequence.max(*latest);
        *latest == sequence
    }

    /// The poll with its list of runs; none when the list was left out and is not known here,
    /// as after a change of leaders.
    ///
    /// At 18 runs a worker the lists would be most of what control receives, although they
    /// seldom change between two polls.
    fn whole_poll(&mut self, number: WorkerNumber, poll: &WorkerPoll) -> Option<WorkerPoll> {
        let mut whole = poll.clone();
        if poll.unchanged {
            let held = self.lists.get(&number);
            let held = held.filter(|held| held.process == poll.process && held.list == poll.list);
            whole.running.clone_from(&held?.running);
            return Some(whole);
        }
        let held = HeldList {
            process: poll.process,
            list: poll.list,
            running: poll.running.clone(),
        };
        self.lists.insert(number, held);
        Some(whole)
    }

    fn take_usage(&mut self, clock: Timestamp, poll: &WorkerPoll) {
        for usage in &poll.usage {
            let used = Resources {
                millicores: usage.millicores,
                memory_mb: usage.memory_mb,
                accelerators: 0,
            };
            let run = usage.run.clone();
            self.placer.handle(clock, Event::Usage { run, used });
        }
    }
}
