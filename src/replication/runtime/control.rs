//! The control thread: an actor that owns the consensus core and the state machine.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::sync::{oneshot, watch};
use xtra::{Actor, Context, Handler, Mailbox};

use super::disk::DiskQueue;
use super::messages::{
    Confirmation, DiskEvent, FromPeer, Propose, Read, ReadJob, ReadLocal, Stop, Tick,
    TransferLeadership, UpdateMachine,
};
use super::peers::PeerQueue;
use super::{monotonic_now, unix_now};
use crate::error::Error;
use crate::ids::{LogIndex, Term};
use crate::replication::core::{Core, Effect, Entry, Payload, ReadId, Refused, Save};
use crate::replication::machine::{
    ProposeError, ReadError, ReadPoint, ReplicaStatus, StateMachine,
};

/// Most commands that may wait to be committed.
const MAX_PENDING: usize = 16 * 1024;
/// Longest command in bytes; a message to a peer can hold several of this length.
const MAX_COMMAND: usize = 8 * 1024 * 1024;
/// Most messages handled before the effects are executed.
const MAX_BATCH: usize = 1024;

type ReplySender<M> = oneshot::Sender<Result<<M as StateMachine>::Reply, ProposeError>>;

/// State of the control thread.
pub(super) struct Control<M: StateMachine> {
    pub(super) core: Core,
    pub(super) machine: M,
    /// Last entry applied to `machine`. The core counts an entry as applied once it has handed it
    /// over.
    pub(super) machine_applied: LogIndex,
    pub(super) disk: Option<DiskQueue>,
    /// The disk thread has a batch whose result it has not reported yet.
    pub(super) disk_busy: bool,
    /// Saves to pass to the disk thread once it is free.
    pub(super) queued_saves: Vec<Save>,
    pub(super) peers: PeerQueue,
    pub(super) status: watch::Sender<ReplicaStatus>,
    pub(super) on_disk_failure: fn(&Error),
    /// Proposals that are appended and not applied.
    pub(super) pending: BTreeMap<LogIndex, (Term, ReplySender<M>)>,
    pub(super) reads: BTreeMap<ReadId, ReadJob<M>>,
    /// Leased reads that came while leadership was not confirmed. They are decided once the effects
    /// of their batch are executed, as those may confirm it: a refusal makes its caller search for
    /// the leader again.
    pub(super) deferred_reads: Vec<ReadJob<M>>,
    /// The state machine must be asked for commands, although no entry was applied.
    pub(super) machine_due: bool,
    pub(super) stopped: bool,
}

impl<M: StateMachine> Actor for Control<M> {
    type Stop = ();

    async fn stopped(self) {}
}

/// Handles messages in batches, so that many proposals are saved and sent together.
pub(super) async fn run<M: StateMachine>(mailbox: Mailbox<Control<M>>, mut control: Control<M>) {
    let address = mailbox.address();
    control.execute_effects();
    while !control.stopped {
        let _ = mailbox.next().await.dispatch_to(&mut control).await;
        for _ in 1..MAX_BATCH {
            // Checked before receiving: a receive that is cancelled can lose a message that arrives
            // at that moment, such as a command or the result of a sync.
            if address.is_empty() {
                break;
            }
            let _ = mailbox.next().await.dispatch_to(&mut control).await;
        }
        if !control.stopped {
            control.execute_effects();
        }
    }
    control.fail_pending_on_stop();
}

impl<M: StateMachine> Control<M> {
    /// Executes the core's effects until there are none left.
    fn execute_effects(&mut self) {
        let mut applied = std::mem::take(&mut self.machine_due);
        self.core.replicate(monotonic_now());
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() && !applied {
                break;
            }
            for effect in effects {
                applied |= matches!(effect, Effect::Apply(_));
                self.execute_effect(effect);
            }
            for job in std::mem::take(&mut self.deferred_reads) {
                self.run_if_confirmed(job);
            }
            if std::mem::take(&mut applied) {
                self.propose_machine_commands();
            }
        }
        self.submit_saves();
        if !self.core.is_leader() {
            self.fail_pending();
        }
        let status = self.core.status(monotonic_now());
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }

    fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Save(save) => self.queued_saves.push(save),
            Effect::Send(message) => {
                let addr = self.core.members().get(message.to).map(|m| m.addr);
                self.peers.send(addr, message);
            }
            Effect::Announce(message) => self.peers.announce(message, self.core.members().addrs()),
            Effect::Apply(entries) => entries.into_iter().for_each(|e| self.apply(e)),
            Effect::Restore(snapshot) => {
                self.machine_applied = snapshot.index;
                if let Err(e) = self.machine.restore(&snapshot.data) {
                    self.stop_on_failure(&e);
                }
            }
            Effect::Leadership(Some(term)) => {
                let now = monotonic_now();
                self.machine.term_started(term);
                self.machine.leadership_changed(true, now);
                self.core.leadership_applied(now, term);
                self.machine_due = true;
            }
            Effect::Leadership(None) => self.machine.leadership_changed(false, monotonic_now()),
            Effect::ReadsReady(through) => self.run_reads(through),
            Effect::TakeSnapshot(index) => {
                let data = self.machine.snapshot();
                self.core.snapshot_taken(index, data);
            }
        }
    }

    fn apply(&mut self, entry: Entry) {
        self.machine_applied = entry.index;
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let reply = self.machine.apply(entry.index, entry.at, command);
        let Some((term, tx)) = self.pending.remove(&entry.index) else {
            return;
        };
        let outcome = if term == entry.term {
            Ok(reply)
        } else {
            Err(ProposeError::Unknown)
        };
        let _ = tx.send(outcome);
    }

    fn run_reads(&mut self, through: ReadId) {
        let later = self.reads.split_off(&(through + 1));
        for (_, job) in std::mem::replace(&mut self.reads, later) {
            self.run_if_confirmed(job);
        }
    }

    fn run_if_confirmed(&mut self, job: ReadJob<M>) {
        // Reads the clock again: this thread may have been paused since leadership was confirmed.
        let now = monotonic_now();
        if self.core.is_confirmed(now) {
            let at = ReadPoint {
                now,
                term: self.core.term(),
                committed: self.core.committed(),
                applied: self.machine_applied,
            };
            if at.applied < at.committed {
                metrics::counter!("yuccahold_replica_reads_behind_total").increment(1);
            }
            job(Ok((&mut self.machine, at)));
        } else {
            job(Err(self.not_leader_error()));
        }
    }

    /// Proposes the state machine's own commands while this replica holds the leader lease.
    fn propose_machine_commands(&mut self) {
        let now = monotonic_now();
        if !self.core.is_confirmed(now) {
            return;
        }
        for command in self.machine.own_commands(now) {
            // Shared, not copied: refusals are rare, and a batch may hold hundreds of starts.
            let command = Bytes::from(command);
            let taken = self.core.propose(now, unix_now(), command.clone());
            if taken.is_err() {
                self.machine.rejected(command.into());
            }
        }
        self.core.replicate(now);
    }

    fn submit_saves(&mut self) {
        if self.disk_busy || self.queued_saves.is_empty() {
            return;
        }
        if let Some(disk) = &self.disk {
            self.disk_busy = disk
                .try_send(std::mem::take(&mut self.queued_saves))
                .is_ok();
        }
    }

    fn fail_pending(&mut self) {
        for (_, (_, tx)) in std::mem::take(&mut self.pending) {
            let _ = tx.send(Err(ProposeError::Unknown));
        }
        for (_, job) in std::mem::take(&mut self.reads) {
            job(Err(self.not_leader_error()));
        }
    }

    fn fail_pending_on_stop(&mut self) {
        for (_, (_, tx)) in std::mem::take(&mut self.pending) {
            let _ = tx.send(Err(ProposeError::Unknown));
        }
        let reads = std::mem::take(&mut self.reads).into_values();
        for job in reads.chain(std::mem::take(&mut self.deferred_reads)) {
            job(Err(ReadError::Stopping));
        }
    }

    fn not_leader_error(&self) -> ReadError {
        ReadError::NotLeader {
            leader: self.other_leader(),
        }
    }

    fn other_leader(&self) -> Option<std::net::SocketAddr> {
        let status = self.core.status(monotonic_now());
        status
            .leader_addr
            .filter(|_| status.leader != Some(status.id))
    }

    fn stop_on_failure(&mut self, e: &Error) {
        // Ends the loop in `run` before it executes effects again.
        self.stopped = true;
        (self.on_disk_failure)(e);
    }
}

impl<M: StateMachine> Handler<Propose<M>> for Control<M> {
    type Return = ();

    async fn handle(&mut self, message: Propose<M>, _: &mut Context<Self>) {
        let Propose {
            command,
            until,
            reply,
        } = message;
        let now = monotonic_now();
        if now > until {
            let _ = reply.send(Err(ProposeError::Expired));
            return;
        }
        if self.pending.len() >= MAX_PENDING {
            let _ = reply.send(Err(ProposeError::Overloaded("too many commands wait")));
            return;
        }
        if command.len() > MAX_COMMAND {
            let _ = reply.send(Err(ProposeError::Overloaded("the command is too long")));
            return;
        }
        match self.core.propose(now, unix_now(), command) {
            Ok(index) => {
                self.pending.insert(index, (self.core.term(), reply));
            }
            Err(Refused::NotLeader) => {
                let leader = self.other_leader();
                let _ = reply.send(Err(ProposeError::NotLeader { leader }));
            }
            Err(Refused::DiskFull) => {
                let _ = reply.send(Err(ProposeError::Overloaded("the disk is full")));
            }
        }
    }
}

impl<M: StateMachine> Handler<Read<M>> for Control<M> {
    type Return = ();

    async fn handle(&mut self, Read { confirmation, job }: Read<M>, _: &mut Context<Self>) {
        match confirmation {
            Confirmation::Round => match self.core.read(monotonic_now()) {
                Ok(id) => {
                    self.reads.insert(id, job);
                }
                Err(_) => job(Err(self.not_leader_error())),
            },
            Confirmation::Lease => {
                if self.core.is_confirmed(monotonic_now()) {
                    self.run_if_confirmed(job);
                } else {
                    self.deferred_reads.push(job);
                }
                // Also makes sure that the batch reaches the deferred reads if it has no effects.
                self.machine_due = true;
            }
        }
    }
}

impl<M: StateMachine> Handler<ReadLocal<M>> for Control<M> {
    type Return = ();

    async fn handle(&mut self, ReadLocal(job): ReadLocal<M>, _: &mut Context<Self>) {
        job(&self.machine);
    }
}

impl<M: StateMachine> Handler<UpdateMachine<M>> for Control<M> {
    type Return = ();

    async fn handle(&mut self, UpdateMachine(job): UpdateMachine<M>, _: &mut Context<Self>) {
        job(&mut self.machine, monotonic_now());
        self.machine_due = true;
    }
}

impl<M: StateMachine> Handler<FromPeer> for Control<M> {
    type Return = ();

    async fn handle(&mut self, FromPeer(message): FromPeer, _: &mut Context<Self>) {
        self.core.receive(monotonic_now(), message);
    }
}

impl<M: StateMachine> Handler<DiskEvent> for Control<M> {
    type Return = ();

    async fn handle(&mut self, event: DiskEvent, _: &mut Context<Self>) {
        let now = monotonic_now();
        match event {
            DiskEvent::Synced(seq) => {
                self.disk_busy = false;
                self.core.disk_full(now, false);
                self.core.saved(now, seq);
            }
            DiskEvent::Full => self.core.disk_full(now, true),
            DiskEvent::Failed(e) => self.stop_on_failure(&e),
        }
    }
}

impl<M: StateMachine> Handler<Tick> for Control<M> {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.core.tick(monotonic_now());
        self.machine_due = true;
    }
}

impl<M: StateMachine> Handler<TransferLeadership> for Control<M> {
    type Return = ();

    async fn handle(&mut self, _: TransferLeadership, _: &mut Context<Self>) {
        self.core.transfer_leadership(monotonic_now());
    }
}

impl<M: StateMachine> Handler<Stop> for Control<M> {
    type Return = ();

    async fn handle(&mut self, _: Stop, _: &mut Context<Self>) {
        self.stopped = true;
    }
}
