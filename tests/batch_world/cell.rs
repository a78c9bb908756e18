//! Simulated minions that execute orders immediately.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use yuccahold::batch::dispatch::{Answer, HoldAnswer, ListedEnd, Listing, StartOrder};
use yuccahold::batch::model::{EndKind, JobId, MinionNumber, TaskId};

use super::{World, listed};

/// Minions of a cell that execute orders without delay and without faults of their own.
#[derive(Default)]
pub struct Cell {
    /// Active runs, with the time of their end unless they run until stopped.
    pub runs: BTreeMap<TaskId, (MinionNumber, StartOrder, Option<Duration>)>,
    /// Number of the last end reported by each minion.
    last_ends: BTreeMap<MinionNumber, u64>,
    /// Minions that no longer answer holds.
    pub gone: BTreeSet<MinionNumber>,
    /// Executed starts, in order.
    pub started: Vec<(Duration, TaskId)>,
    /// When the last run of each job ended as done.
    pub done: BTreeMap<JobId, Duration>,
    /// The minion of each run that was ordered to stop.
    pub stopped: Vec<MinionNumber>,
}

impl Cell {
    /// Executes starts and stops, ends runs that are over, and answers holds. `run_time` gives the
    /// time after which a run is done, or `None` if it runs until stopped.
    pub fn work(&mut self, world: &mut World, run_time: impl Fn(&StartOrder) -> Option<Duration>) {
        for (minion, start) in world.take_starts() {
            let clock = Some(world.now);
            let until = run_time(&start).map(|time| world.now + time);
            self.started.push((world.now, start.task));
            let (task, run) = (start.task, start.run);
            self.runs.insert(task, (minion, start, until));
            let (now, answer) = (world.now, Answer::Done { clock });
            let ledger = &world.ledger;
            world
                .leader
                .start_answered(now, minion, (task, run), now, answer, ledger);
        }
        let stops = world.take_stops();
        self.stopped.extend(stops.iter().map(|s| s.0));
        let stops: BTreeSet<_> = stops.iter().map(|s| (s.1, s.2)).collect();
        for (task, run) in &stops {
            let minion = self.runs.get(task).map(|(minion, ..)| *minion);
            if let Some(minion) = minion {
                let clock = Some(world.now);
                let (now, answer) = (world.now, Answer::Done { clock });
                world
                    .leader
                    .stop_answered(now, minion, (*task, *run), now, answer);
            }
        }
        let over = self
            .runs
            .iter()
            .filter_map(|(task, (minion, start, until))| {
                let stopped = stops.contains(&(*task, start.run));
                let done = until.is_some_and(|until| until <= world.now);
                let kind = if stopped {
                    EndKind::Stopped
                } else {
                    EndKind::Done
                };
                (stopped || done).then_some((*task, *minion, start.run, kind))
            });
        let mut listings: BTreeMap<MinionNumber, Vec<ListedEnd>> = BTreeMap::new();
        for (task, minion, run, kind) in over.collect::<Vec<_>>() {
            self.runs.remove(&task);
            if kind == EndKind::Done {
                self.done.insert(task.step.job, world.now);
            }
            let number = self.last_ends.entry(minion).or_default();
            *number += 1;
            listings.entry(minion).or_default().push(ListedEnd {
                number: *number,
                task,
                run,
                kind,
                checkpoint: "saved".into(),
            });
        }
        for (minion, _) in world.take_holds() {
            if self.gone.contains(&minion) {
                world.silent_hold(minion);
            } else {
                listings.entry(minion).or_default();
            }
        }
        for (minion, ended) in listings {
            let active = self.runs.values().filter(|(m, ..)| *m == minion);
            let running = active.map(|(_, start, _)| listed(start)).collect();
            let listing = Listing {
                clock: world.now,
                running,
                ended,
                ..Listing::default()
            };
            let answer = HoldAnswer::Listing(listing);
            let (now, ledger) = (world.now, &world.ledger);
            world.leader.hold_answered(now, minion, now, answer, ledger);
        }
        world.decide();
    }
}
