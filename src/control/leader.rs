//! The leader's periodic work: expired leases, placement decisions, and balancing of minions over
//! entry hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use super::machine::{Command, Machine};
use crate::ids::{MinionId, TaskIndex, Timestamp};
use crate::placement::{Decision, Placer};
use crate::resources::Resources;
use crate::state::{Cell, JobNumber, Place, PlaceJob, RunOrder, Start, WorkerNumber};
use crate::workload::TaskRun;

/// Maximum number of starts in one log entry.
const MAX_STARTS_PER_BATCH: usize = 2_000;

/// Time between two checks of the distribution of minions over entry hosts.
const BALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of minions moved per check; a minion is idle while it moves.
const MAX_MOVES_PER_CHECK: usize = 4;

impl<P: Placer + Send + 'static> Machine<P> {
    /// The commands that are due: lease expiries, moves of minions, counts, placement decisions.
    pub(super) fn due_commands(&mut self, now: Timestamp) -> Vec<Command> {
        let Some(leader) = &mut self.leader else {
            return Vec::new();
        };
        leader.offset = leader.offset.max(self.cell.clock.saturating_sub(now));
        let mut commands = self.expire_leases(now);
        commands.extend(self.balance(now));
        commands.extend(self.flush_tally(now));
        commands.extend(self.decide(now));
        commands
    }

    fn expire_leases(&mut self, now: Timestamp) -> Vec<Command> {
        let Some(leader) = &mut self.leader else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (worker, process) in leader.workers.expire(now) {
            let never_sent = leader.never_sent(worker);
            commands.push(Command::WorkerDown {
                worker,
                process,
                never_sent,
            });
        }
        for (entry, process) in leader.entries.expire(now) {
            commands.push(Command::EntryDown { entry, process });
        }
        for (minion, process) in leader.minions.expire(now) {
            commands.push(Command::MinionDown { minion, process });
        }
        commands
    }

    fn decide(&mut self, now: Timestamp) -> Vec<Command> {
        let time = self.cell_time(now);
        let Some(leader) = &mut self.leader else {
            return Vec::new();
        };
        let mut decisions = Vec::new();
        leader
            .placer
            .decide(time, MAX_STARTS_PER_BATCH, &mut decisions);
        commands_from(&self.cell, decisions)
    }

    /// Moves minions from the entry host that owns the most towards the average.
    fn balance(&mut self, now: Timestamp) -> Option<Command> {
        let leader = self.leader.as_mut()?;
        if now < leader.balanced_at + BALANCE_INTERVAL {
            return None;
        }
        leader.balanced_at = now;
        let moved = minions_to_move(&self.cell);
        (!moved.is_empty()).then_some(Command::MoveMinions(moved))
    }
}

/// Minions to move away from the entry host that owns the most; empty while earlier moves are in
/// progress or when the difference is less than two. A minion that would be assigned to the same
/// entry host again, because it is in that one's availability zone, is not moved.
fn minions_to_move(cell: &Cell) -> Vec<MinionId> {
    let moving = cell
        .minions
        .values()
        .any(|minion| minion.release || minion.owner.is_none());
    let mut shares = cell.shares();
    let most = shares.iter().max_by_key(|(_, owned)| **owned);
    let fewest = shares.values().min();
    let (Some((from, most)), Some(fewest)) = (most, fewest) else {
        return Vec::new();
    };
    let surplus = (most - fewest) / 2;
    if moving || surplus == 0 {
        return Vec::new();
    }
    let from = *from;
    let owned = cell
        .minions
        .iter()
        .filter(|(_, minion)| minion.owner.as_ref() == Some(from));
    let mut moved = Vec::new();
    for (id, minion) in owned {
        if moved.len() >= surplus.min(MAX_MOVES_PER_CHECK) {
            break;
        }
        let mut after = shares.clone();
        after.entry(from).and_modify(|owned| *owned -= 1);
        let Some(to) = cell.best_owner(&minion.announced.zone, &after) else {
            break;
        };
        if to != from {
            after.entry(to).and_modify(|owned| *owned += 1);
            shares = after;
            moved.push(id.clone());
        }
    }
    moved
}

fn commands_from(cell: &Cell, decisions: Vec<Decision>) -> Vec<Command> {
    let mut batch = Batch::default();
    let mut commands = Vec::new();
    for decision in decisions {
        match decision {
            Decision::Start {
                run,
                worker,
                granted,
            } => batch.start(cell, &run, &worker, granted),
            Decision::Stop {
                run, how, reason, ..
            } => {
                let job = cell.job_numbers.get(&run.task.job);
                batch.orders.extend(job.map(|job| RunOrder {
                    job: *job,
                    index: run.task.index,
                    attempt: run.attempt,
                    how,
                    reason,
                }));
            }
            Decision::Unschedulable { job, reason } => {
                let reason = CompactString::from(reason);
                commands.push(Command::MarkUnschedulable { job, reason });
            }
            Decision::FailJob { job, reason } => {
                let reason = CompactString::from(reason);
                commands.push(Command::FailJob { job, reason });
            }
            Decision::Quarantine(id) => commands.extend(quarantine(cell, &id, true)),
            Decision::EndQuarantine(id) => commands.extend(quarantine(cell, &id, false)),
        }
    }
    commands.extend(batch.into_commands());
    commands
}

fn quarantine(cell: &Cell, id: &crate::ids::WorkerId, on: bool) -> Option<Command> {
    let (worker, _) = cell.worker(id)?;
    Some(Command::Quarantine { worker, on })
}

/// Key by which starts are grouped: job, and granted resources if they differ from its need.
type StartGroup = (JobNumber, Option<Resources>);

/// Collects starts and orders into at most two commands.
#[derive(Default)]
struct Batch {
    starts: BTreeMap<StartGroup, Vec<(TaskIndex, WorkerNumber)>>,
    orders: Vec<RunOrder>,
}

impl Batch {
    fn start(
        &mut self,
        cell: &Cell,
        run: &TaskRun,
        worker: &crate::ids::WorkerId,
        granted: Resources,
    ) {
        let job = cell.job(&run.task.job);
        let worker = cell.worker_numbers.get(worker);
        let (Some((number, job)), Some(worker)) = (job, worker) else {
            return;
        };
        let granted = (granted != job.spec.need).then_some(granted);
        let group = self.starts.entry((number, granted)).or_default();
        group.push((run.task.index, *worker));
    }

    fn into_commands(self) -> Vec<Command> {
        let mut jobs = Vec::new();
        for ((job, granted), mut tasks) in self.starts {
            tasks.sort_unstable();
            let mut last = 0;
            let starts = tasks.into_iter().map(|(index, worker)| {
                let step = index - std::mem::replace(&mut last, index);
                Start { step, worker }
            });
            jobs.push(PlaceJob {
                job,
                granted,
                starts: starts.collect(),
            });
        }
        let mut commands = Vec::new();
        if !jobs.is_empty() {
            commands.push(Command::Place(Place { jobs }));
        }
        if !self.orders.is_empty() {
            commands.push(Command::Stop(self.orders));
        }
        commands
    }
}
