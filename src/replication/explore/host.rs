//! One host of the explored group: its disk, its clock and the replica that runs on it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::history::OpId;
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};
use crate::replication::core::{
    Core, CoreConfig, HardState, Message, ReadId, Recovered, Save, Snapshot,
};

/// What survives a crash.
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

    /// What a new disk under the old id holds when identities are not renewed.
    pub(super) fn wiped(id: ReplicaId) -> Self {
        Self {
            id,
            state: Recovered {
                hard: HardState::default(),
                ..Recovered::default()
            },
        }
    }
}

/// A clock that starts anywhere and runs a little fast or slow.
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

/// The register as one replica holds it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Register {
    /// Index of the last write.
    pub(super) version: LogIndex,
}

/// A running replica.
pub(super) struct Running {
    pub(super) core: Core,
    pub(super) register: Register,
    pub(super) writes: BTreeMap<LogIndex, (Term, OpId)>,
    pub(super) reads: BTreeMap<ReadId, OpId>,
    pub(super) unsynced: VecDeque<Save>,
    /// Last term in which it was seen to lead.
    pub(super) led_term: Term,
}

/// Something that reaches a replica.
#[derive(Clone, Debug)]
pub(super) enum Input {
    Message(Message),
    Synced(u64),
    Tick,
    Write(OpId),
    Read(OpId),
    TransferLeadership,
    DiskFull(bool),
}

/// One host.
pub(super) struct Host {
    pub(super) disk: Disk,
    pub(super) clock: Clock,
    pub(super) running: Option<Running>,
    /// Counts starts, so that what was meant for an earlier process is dropped.
    pub(super) life: u64,
    pub(super) paused_until: Timestamp,
    /// What arrived during the pause.
    pub(super) waiting: VecDeque<Input>,
    /// Longest time a sync takes.
    pub(super) slow_sync: Duration,
}

impl Host {
    pub(super) fn start(&mut self, cfg: CoreConfig, seed: u64, now: Timestamp) {
        let found = self.disk.state.clone();
        self.life += 1;
        self.waiting.clear();
        self.running = Some(Running {
            core: Core::new(cfg, seed, self.clock.monotonic(now), found),
            register: Register::default(),
            writes: BTreeMap::new(),
            reads: BTreeMap::new(),
            unsynced: VecDeque::new(),
            led_term: 0,
        });
    }

    /// Ends the process; the first `kept` of its unsynced saves had reached the disk.
    pub(super) fn crash(&mut self, kept: usize) {
        let Some(running) = self.running.take() else {
            return;
        };
        for save in running.unsynced.iter().take(kept) {
            self.disk.write(save);
        }
        self.life += 1;
        self.waiting.clear();
        self.paused_until = Timestamp::ZERO;
    }
}
