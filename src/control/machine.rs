//! The state machine above the replicated log: the cell, and what only its leader holds.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::burn::start_event;
use crate::error::Result;
use crate::ids::{Attempt, EntryId, LogIndex, MinionId, ProcessId, Revision, TaskIndex, Timestamp};
use crate::lease::LeaseTable;
use crate::placement::Placer;
use crate::replication::StateMachine;
use crate::slo::Tally;
use crate::state::{Cell, JobNumber, Reply, WorkerNumber};
use crate::wire::{Feed, RefusalKind, StopRun};
use crate::workload::TaskRun;

pub use crate::state::Command;

/// Lease of an entry host. A short one bounds how long its minions are idle after its death.
pub const ENTRY_LEASE: Duration = Duration::from_secs(2);

/// The replicated cell and the volatile state of its leader.
pub struct Machine<P> {
    pub(crate) cell: Cell,
    pub(super) make_placer: fn() -> P,
    /// What only a leader holds; none on a follower.
    pub(super) lead: Option<Lead<P>>,
    pub(super) feed: watch::Sender<u64>,
    /// The feed that belongs to a number of changes, shared by all connections.
    latest_feed: Option<(u64, Arc<Feed>)>,
}

/// A worker's list of runs.
pub(super) struct HeldList {
    pub(super) process: ProcessId,
    pub(super) list: u64,
    pub(super) running: Vec<TaskRun>,
}

/// Volatile state of a leader, built anew by each one.
pub(super) struct Lead<P> {
    pub(super) placer: P,
    /// What to add to monotonic time to get the cell's time.
    pub(super) offset: Duration,
    pub(super) workers: LeaseTable<WorkerNumber>,
    pub(super) entries: LeaseTable<EntryId>,
    pub(super) minions: LeaseTable<MinionId>,
    /// Runs granted by this leader that no answer has named yet.
    pub(super) unsent: BTreeMap<WorkerNumber, BTreeSet<(JobNumber, TaskIndex, Attempt)>>,
    /// Wakes a worker's waiting poll.
    pub(super) wakers: BTreeMap<WorkerNumber, watch::Sender<()>>,
    /// Orders to stop in the latest answer to each worker.
    pub(super) told: BTreeMap<WorkerNumber, Vec<StopRun>>,
    /// Latest list of runs that each worker sent.
    pub(super) lists: BTreeMap<WorkerNumber, HeldList>,
    /// Number of the latest poll seen of each worker's process.
    pub(super) sequences: BTreeMap<WorkerNumber, u64>,
    /// Document revision that each entry host reports, and when it did.
    pub(super) in_force: BTreeMap<EntryId, (Revision, Timestamp)>,
    /// Starts counted against the objectives since the last command.
    pub(super) tally: Tally,
    /// When starts were last handed to the log.
    pub(super) tallied: Timestamp,
    /// When the entry hosts' shares of minions were last compared.
    pub(super) balanced: Timestamp,
}

impl<P: Placer + Send + 'static> Machine<P> {
    /// An empty cell.
    pub fn new(make_placer: fn() -> P) -> Self {
        Self {
            cell: Cell::default(),
            make_placer,
            lead: None,
            feed: watch::Sender::new(0),
            latest_feed: None,
        }
    }

    /// The replicated state.
    pub fn cell(&self) -> &Cell {
        &self.cell
    }

    /// Grows with each change to what entry hosts are fed.
    pub fn feed_changes(&self) -> watch::Receiver<u64> {
        self.feed.subscribe()
    }

    /// Everything an entry host must hold. Built once for each change.
    pub fn latest_feed(&mut self) -> Arc<Feed> {
        let changes = self.cell.feed_changes();
        match &self.latest_feed {
            Some((at, feed)) if *at == changes => Arc::clone(feed),
            _ => {
                let feed = Arc::new(self.cell.feed());
                self.latest_feed = Some((changes, Arc::clone(&feed)));
                feed
            }
        }
    }

    /// The cell's time that belongs to a monotonic time; only a leader knows it.
    pub(super) fn cell_time(&self, now: Timestamp) -> Timestamp {
        self.lead
            .as_ref()
            .map_or(self.cell.clock, |lead| now + lead.offset)
    }

    /// Hands what changed in the cell to the placer, the waiting polls and the feed.
    pub(super) fn publish(&mut self) {
        let events = self.cell.take_events();
        let touched = self.cell.take_changed_workers();
        let changes = self.cell.feed_changes();
        self.feed.send_if_modified(|seen| {
            let modified = *seen != changes;
            *seen = changes;
            modified
        });
        let clock = self.cell.clock;
        let Some(lead) = &mut self.lead else { return };
        for event in events {
            lead.placer.handle(clock, event);
        }
        for worker in touched {
            if let Some(waker) = lead.wakers.get(&worker) {
                waker.send_replace(());
            }
        }
    }

    fn note_grants(&mut self, command: &Command) {
        let (Some(lead), Command::Place(place)) = (&mut self.lead, command) else {
            return;
        };
        for group in &place.jobs {
            let mut index = 0;
            for start in &group.starts {
                index += start.step;
                let task = self.cell.jobs.get(&group.job);
                let task = task.and_then(|job| job.tasks.get(index as usize));
                let granted = task.filter(|task| {
                    task.running()
                        .is_some_and(|running| running.worker == start.worker)
                });
                if let Some(task) = granted {
                    if let Some(event) = start_event(&self.cell, group.job, start.worker)
                        && task.attempt == 1
                    {
                        lead.tally.record(event);
                    }
                    let run = (group.job, index, task.attempt);
                    lead.unsent.entry(start.worker).or_default().insert(run);
                }
            }
        }
    }

    fn note_losses(&mut self, command: &Command) {
        let Some(lead) = &mut self.lead else { return };
        match command {
            Command::PutDocument { .. } => {
                lead.tally.set_objectives(&self.cell.document().objectives);
            }
            Command::WorkerDown { worker, .. } => {
                lead.workers.forget(worker);
                lead.unsent.remove(worker);
                lead.told.remove(worker);
                lead.sequences.remove(worker);
                lead.lists.remove(worker);
            }
            Command::EntryDown { entry, .. } => {
                lead.entries.forget(entry);
                lead.in_force.remove(entry);
            }
            Command::MinionDown { minion, .. } => lead.minions.forget(minion),
            _ => {}
        }
    }
}

impl<P: Placer + Send + 'static> StateMachine for Machine<P> {
    type Reply = Reply;

    fn apply(&mut self, _index: LogIndex, at: Timestamp, command: &[u8]) -> Reply {
        let command = match Command::from_bytes(command) {
            Ok(command) => command,
            // Every replica of this version refuses it alike, so they stay equal.
            Err(e) => {
                return Reply::Refused(crate::wire::Refusal {
                    kind: RefusalKind::Invalid,
                    message: e.to_string(),
                    retry_after: None,
                });
            }
        };
        // Only a leader notes anything, and only of these; answers kept under keys, which may be
        // large, are not copied.
        let noted = matches!(
            command,
            Command::Place(_)
                | Command::PutDocument { .. }
                | Command::WorkerDown { .. }
                | Command::EntryDown { .. }
                | Command::MinionDown { .. }
        );
        let noted = (noted && self.lead.is_some()).then(|| command.clone());
        let reply = self.cell.apply(at, command);
        if let Some(command) = &noted {
            self.note_grants(command);
            self.note_losses(command);
        }
        self.publish();
        reply
    }

    fn leadership_changed(&mut self, leading: bool, now: Timestamp) {
        if !leading {
            self.lead = None;
            return;
        }
        self.cell.take_events();
        self.cell.take_changed_workers();
        let mut lead = Lead::new((self.make_placer)(), now, self.cell.clock);
        for event in self.cell.replayed_events() {
            lead.placer.handle(self.cell.clock, event);
        }
        lead.assume_leases(&self.cell, now);
        lead.tally.set_objectives(&self.cell.document().objectives);
        self.lead = Some(lead);
    }

    fn lead(&mut self, now: Timestamp) -> Vec<Vec<u8>> {
        self.publish();
        let commands = self.upkeep(now);
        commands
            .iter()
            .filter_map(|command| command.to_bytes().ok())
            .collect()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.cell.to_bytes().unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<()> {
        self.cell = Cell::from_bytes(snapshot)?;
        self.latest_feed = None;
        self.publish();
        Ok(())
    }
}

impl<P: Placer> Lead<P> {
    fn new(placer: P, now: Timestamp, clock: Timestamp) -> Self {
        Self {
            placer,
            offset: clock.saturating_sub(now),
            workers: LeaseTable::default(),
            entries: LeaseTable::default(),
            minions: LeaseTable::default(),
            unsent: BTreeMap::new(),
            wakers: BTreeMap::new(),
            told: BTreeMap::new(),
            lists: BTreeMap::new(),
            sequences: BTreeMap::new(),
            in_force: BTreeMap::new(),
            tally: Tally::default(),
            tallied: now,
            balanced: now,
        }
    }

    /// Treats every lease an earlier leader may have granted as granted now.
    fn assume_leases(&mut self, cell: &Cell, now: Timestamp) {
        let ttl = cell.document().policy.lease;
        for (number, worker) in &cell.workers {
            self.workers.assume(*number, worker.process, now, ttl);
        }
        for (id, entry) in &cell.entries {
            self.entries
                .assume(id.clone(), entry.process, now, ENTRY_LEASE);
        }
        for (id, minion) in &cell.minions {
            let announced = &minion.announced;
            self.minions
                .assume(id.clone(), announced.process, now, announced.ttl);
        }
    }

    /// A receiver that sees every later change of the worker's tasks.
    pub(super) fn waker(&mut self, worker: WorkerNumber) -> watch::Receiver<()> {
        let waker = self.wakers.entry(worker);
        waker.or_insert_with(|| watch::Sender::new(())).subscribe()
    }

    /// Takes the runs of a worker that no answer has named.
    pub(super) fn never_sent(&mut self, worker: WorkerNumber) -> Vec<(JobNumber, TaskIndex)> {
        let unsent = self.unsent.remove(&worker).unwrap_or_default();
        unsent
            .into_iter()
            .map(|(job, index, _)| (job, index))
            .collect()
    }

    pub(super) fn process_of_entry(&self, entry: &EntryId) -> Option<ProcessId> {
        self.entries.holder(entry)
    }
}
