//! The state machine of the replicated log: the cell, and the volatile state of its leader.

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

/// Lease of an entry host. Short, because the minions of a lost entry host stay idle until it
/// expires.
pub const ENTRY_LEASE: Duration = Duration::from_secs(2);

/// The replicated cell and the volatile state of its leader.
pub struct Machine<P> {
    pub(crate) cell: Cell,
    pub(super) make_placer: fn() -> P,
    /// `None` unless this replica is the leader.
    pub(super) leader: Option<LeaderState<P>>,
    pub(super) feed: watch::Sender<u64>,
    /// The last feed built, with the value of [`Cell::feed_changes`] it was built at; shared by all
    /// connections.
    latest_feed: Option<(u64, Arc<Feed>)>,
}

/// The last list of runs that a worker process sent.
pub(super) struct RunList {
    pub(super) process: ProcessId,
    /// Number of the list, by which later polls refer to it.
    pub(super) list: u64,
    pub(super) running: Vec<TaskRun>,
}

/// Volatile state of the leader; each new leader starts with a new one.
pub(super) struct LeaderState<P> {
    pub(super) placer: P,
    /// The cell's time minus monotonic time.
    pub(super) offset: Duration,
    pub(super) workers: LeaseTable<WorkerNumber>,
    pub(super) entries: LeaseTable<EntryId>,
    pub(super) minions: LeaseTable<MinionId>,
    /// Runs granted by this leader that were not yet in an answer to their worker.
    pub(super) unsent: BTreeMap<WorkerNumber, BTreeSet<(JobNumber, TaskIndex, Attempt)>>,
    /// Notifies a worker's waiting poll of changes.
    pub(super) wakers: BTreeMap<WorkerNumber, watch::Sender<()>>,
    /// Stop orders in the latest answer to each worker.
    pub(super) sent_stops: BTreeMap<WorkerNumber, Vec<StopRun>>,
    /// Latest list of runs of each worker.
    pub(super) run_lists: BTreeMap<WorkerNumber, RunList>,
    /// Highest poll number received from each worker's process.
    pub(super) sequences: BTreeMap<WorkerNumber, u64>,
    /// Document revision that each entry host reported to have in force, and when.
    pub(super) in_force: BTreeMap<EntryId, (Revision, Timestamp)>,
    /// Counts against the objectives since the last [`Command::Burn`].
    pub(super) tally: Tally,
    /// Time when the tally was last written to the log.
    pub(super) tally_flushed_at: Timestamp,
    /// Time of the last check of the distribution of minions.
    pub(super) balanced_at: Timestamp,
}

impl<P: Placer + Send + 'static> Machine<P> {
    /// Creates a machine with an empty cell; `make_placer` is called on each election to leader.
    pub fn new(make_placer: fn() -> P) -> Self {
        Self {
            cell: Cell::default(),
            make_placer,
            leader: None,
            feed: watch::Sender::new(0),
            latest_feed: None,
        }
    }

    /// The replicated state.
    pub fn cell(&self) -> &Cell {
        &self.cell
    }

    /// Receiver of a counter that increases with each change to the feed of the entry hosts.
    pub fn feed_changes(&self) -> watch::Receiver<u64> {
        self.feed.subscribe()
    }

    /// The complete feed, rebuilt only after a change.
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

    /// Converts monotonic time to the cell's time. Without the leader's offset it returns the time
    /// of the latest command.
    pub(super) fn cell_time(&self, now: Timestamp) -> Timestamp {
        self.leader
            .as_ref()
            .map_or(self.cell.clock, |leader| now + leader.offset)
    }

    /// Passes changes of the cell to the placer, the waiting polls and the feed.
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
        let Some(leader) = &mut self.leader else {
            return;
        };
        for event in events {
            leader.placer.apply(clock, event);
        }
        for worker in touched {
            if let Some(waker) = leader.wakers.get(&worker) {
                waker.send_replace(());
            }
        }
    }

    /// Counts first starts against the objectives and marks the granted runs as unsent.
    fn record_grants(&mut self, command: &Command) {
        let (Some(leader), Command::Place(place)) = (&mut self.leader, command) else {
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
                        leader.tally.record(event);
                    }
                    let run = (group.job, index, task.attempt);
                    leader.unsent.entry(start.worker).or_default().insert(run);
                }
            }
        }
    }

    /// Applies new objectives, and drops the leader's state of lost workers, entry hosts and
    /// minions.
    fn record_losses(&mut self, command: &Command) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        match command {
            Command::PutDocument { .. } => {
                leader
                    .tally
                    .set_objectives(&self.cell.document().objectives);
            }
            Command::WorkerDown { worker, .. } => {
                leader.workers.remove(worker);
                leader.unsent.remove(worker);
                leader.sent_stops.remove(worker);
                leader.sequences.remove(worker);
                leader.run_lists.remove(worker);
            }
            Command::EntryDown { entry, .. } => {
                leader.entries.remove(entry);
                leader.in_force.remove(entry);
            }
            Command::MinionDown { minion, .. } => leader.minions.remove(minion),
            _ => {}
        }
    }
}

impl<P: Placer + Send + 'static> StateMachine for Machine<P> {
    type Reply = Reply;

    fn apply(&mut self, _index: LogIndex, at: Timestamp, command: &[u8]) -> Reply {
        let command = match Command::from_bytes(command) {
            Ok(command) => command,
            // All replicas of this version refuse the entry, so their states stay equal.
            Err(e) => {
                return Reply::Refused(crate::wire::Refusal {
                    kind: RefusalKind::Invalid,
                    message: e.to_string(),
                    retry_after: None,
                });
            }
        };
        // Only the leader records anything, and only for these commands. Others aren't cloned,
        // because the answers stored under keys may be large.
        let recorded = matches!(
            command,
            Command::Place(_)
                | Command::PutDocument { .. }
                | Command::WorkerDown { .. }
                | Command::EntryDown { .. }
                | Command::MinionDown { .. }
        );
        let recorded = (recorded && self.leader.is_some()).then(|| command.clone());
        let reply = self.cell.apply(at, command);
        if let Some(command) = &recorded {
            self.record_grants(command);
            self.record_losses(command);
        }
        self.publish();
        reply
    }

    fn leadership_changed(&mut self, leading: bool, now: Timestamp) {
        if !leading {
            self.leader = None;
            return;
        }
        self.cell.take_events();
        self.cell.take_changed_workers();
        let mut leader = LeaderState::new((self.make_placer)(), now, self.cell.clock);
        for event in self.cell.replayed_events() {
            leader.placer.apply(self.cell.clock, event);
        }
        leader.assume_leases(&self.cell, now);
        leader
            .tally
            .set_objectives(&self.cell.document().objectives);
        self.leader = Some(leader);
    }

    fn own_commands(&mut self, now: Timestamp) -> Vec<Vec<u8>> {
        self.publish();
        let commands = self.due_commands(now);
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

impl<P: Placer> LeaderState<P> {
    fn new(placer: P, now: Timestamp, clock: Timestamp) -> Self {
        Self {
            placer,
            offset: clock.saturating_sub(now),
            workers: LeaseTable::default(),
            entries: LeaseTable::default(),
            minions: LeaseTable::default(),
            unsent: BTreeMap::new(),
            wakers: BTreeMap::new(),
            sent_stops: BTreeMap::new(),
            run_lists: BTreeMap::new(),
            sequences: BTreeMap::new(),
            in_force: BTreeMap::new(),
            tally: Tally::default(),
            tally_flushed_at: now,
            balanced_at: now,
        }
    }

    /// Treats every lease that an earlier leader may have granted as granted now: this leader
    /// can't tell when it was last renewed.
    fn assume_leases(&mut self, cell: &Cell, now: Timestamp) {
        let ttl = cell.document().policy.lease;
        for (number, worker) in &cell.workers {
            self.workers
                .assume_granted(*number, worker.process, now, ttl);
        }
        for (id, entry) in &cell.entries {
            self.entries
                .assume_granted(id.clone(), entry.process, now, ENTRY_LEASE);
        }
        for (id, minion) in &cell.minions {
            let announced = &minion.announced;
            self.minions
                .assume_granted(id.clone(), announced.process, now, announced.ttl);
        }
    }

    /// Subscribes to later changes of the worker's tasks.
    pub(super) fn waker(&mut self, worker: WorkerNumber) -> watch::Receiver<()> {
        let waker = self.wakers.entry(worker);
        waker.or_insert_with(|| watch::Sender::new(())).subscribe()
    }

    /// Removes and returns the worker's granted runs that were in no answer to it.
    pub(super) fn never_sent(&mut self, worker: WorkerNumber) -> Vec<(JobNumber, TaskIndex)> {
        let unsent = self.unsent.remove(&worker).unwrap_or_default();
        unsent
            .into_iter()
            .map(|(job, index, _)| (job, index))
            .collect()
    }

    /// Process that holds the entry host's lease.
    pub(super) fn process_of_entry(&self, entry: &EntryId) -> Option<ProcessId> {
        self.entries.active_process(entry)
    }
}
