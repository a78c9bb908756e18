//! One simulated host: its disk, its clock and the replica that runs on it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::history::OpId;
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};
use crate::replication::addresses::{Addresses, Identity};
use crate::replication::core::{
    Core, CoreConfig, HardState, Member, Message, ReadId, Recovered, Save, Snapshot,
};

/// State that survives a crash.
#[derive(Clone, Debug, Default)]
pub(super) struct Disk {
    pub(super) id: ReplicaId,
    pub(super) state: Recovered,
}

impl Disk {
    pub(super) fn write(&mut self, save: &Save) {
        let state = &mut self.state;
        if let Some(snapshot) = &save.snapshot {
            state.snapshot = Snapshot::clone(&snapshot.snapshot);
            state.hard = snapshot.hard;
            state.base = snapshot.base;
            state.entries = snapshot.kept.clone();
        }
        if let Some(hard) = save.hard {
            state.hard = hard;
        }
        for entry in &save.entries {
            let at = (entry.index - state.base.0 - 1) as usize;
            state.entries.truncate(at);
            state.entries.push(entry.clone());
        }
    }

    /// Writes only the snapshot of a save, as a crash before its log leaves it.
    fn write_snapshot(&mut self, save: &Save) {
        if let Some(snapshot) = &save.snapshot {
            self.state.merge(Snapshot::clone(&snapshot.snapshot));
        }
    }

    pub(super) fn last_index(&self) -> LogIndex {
        let state = &self.state;
        state.entries.last().map_or(state.base.0, |e| e.index)
    }

    /// Whether the disk holds this committed entry, or a snapshot that includes it.
    pub(super) fn holds(&self, index: LogIndex, term: Term) -> bool {
        let state = &self.state;
        let entry = state.entries.iter().find(|e| e.index == index);
        state.snapshot.index >= index || entry.is_some_and(|e| e.term == term)
    }

    /// An empty disk for the given replica id.
    pub(super) fn empty(id: ReplicaId) -> Self {
        Self {
            id,
            state: Recovered {
                hard: HardState::default(),
                ..Recovered::default()
            },
        }
    }
}

/// Clocks of a host: the monotonic clock has an offset and a rate error, the Unix clock an offset.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    pub(super) offset: Duration,
    pub(super) rate: f64,
    pub(super) unix: Duration,
}

impl Clock {
    pub(super) fn monotonic(&self, now: Timestamp) -> Timestamp {
        self.offset + now.mul_f64(self.rate)
    }

    pub(super) fn unix(&self, now: Timestamp) -> Timestamp {
        self.unix + now
    }
}

/// State machine of the simulated replicas: a register, of which only the version is kept.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Register {
    /// Index of the last write.
    pub(super) version: LogIndex,
}

/// A running replica.
pub(super) struct Running {
    pub(super) core: Core,
    pub(super) addresses: Addresses,
    pub(super) register: Register,
    pub(super) writes: BTreeMap<LogIndex, (Term, OpId)>,
    pub(super) reads: BTreeMap<ReadId, OpId>,
    /// Leased reads to decide once the effects of the batch are executed.
    pub(super) deferred_reads: Vec<OpId>,
    pub(super) unsynced: VecDeque<Save>,
    /// Last term in which it was observed as leader.
    pub(super) led_term: Term,
}

/// An input to a replica.
#[derive(Clone, Debug)]
pub(super) enum Input {
    /// A message, and the peer that has sent it over its connection.
    Message(Identity, Box<Message>),
    Synced(u64),
    Tick,
    Write(OpId),
    Read(OpId),
    LeasedRead(OpId),
    TransferLeadership,
    DiskFull(bool),
}

/// A simulated host.
pub(super) struct Host {
    pub(super) disk: Disk,
    pub(super) member: Member,
    /// Peers in the settings; they are in effect from the next start.
    pub(super) configured: Vec<SocketAddr>,
    /// The host has ended for good.
    pub(super) retired: bool,
    pub(super) clock: Clock,
    pub(super) running: Option<Running>,
    /// Counts starts and crashes, so that inputs for an earlier process are dropped.
    pub(super) incarnation: u64,
    pub(super) paused_until: Timestamp,
    /// Inputs are handled, and the effects are executed only when the batch ends.
    pub(super) in_batch: bool,
    /// Inputs that arrived during a pause.
    pub(super) queued_inputs: VecDeque<Input>,
    /// Longest duration of a sync.
    pub(super) longest_sync: Duration,
}

impl Host {
    pub(super) fn start(&mut self, cfg: CoreConfig, seed: u64, now: Timestamp) {
        let found = self.disk.state.clone();
        self.incarnation += 1;
        self.queued_inputs.clear();
        self.in_batch = false;
        let addresses = Addresses::new(cfg.member.addr, self.configured.clone());
        self.running = Some(Running {
            addresses,
            core: Core::new(cfg, seed, self.clock.monotonic(now), found),
            register: Register::default(),
            writes: BTreeMap::new(),
            reads: BTreeMap::new(),
            deferred_reads: Vec::new(),
            unsynced: VecDeque::new(),
            led_term: 0,
        });
    }

    /// Ends the process; the first `kept` of its unsynced saves survive on the disk, and with
    /// `keeps_snapshot` the snapshot of the next.
    pub(super) fn crash(&mut self, kept: usize, keeps_snapshot: bool) {
        let Some(running) = self.running.take() else {
            return;
        };
        for save in running.unsynced.iter().take(kept) {
            self.disk.write(save);
        }
        if let Some(next) = running.unsynced.get(kept).filter(|_| keeps_snapshot) {
            self.disk.write_snapshot(next);
        }
        self.incarnation += 1;
        self.queued_inputs.clear();
        self.in_batch = false;
        self.paused_until = Timestamp::ZERO;
    }
}
