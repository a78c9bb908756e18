//! The control thread: an actor that owns the core and the state machine.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::sync::{oneshot, watch};
use xtra::{Actor, Context, Handler, Mailbox};

use super::disk::DiskQueue;
use super::messages::{
    Confirmation, DiskNews, FromPeer, Inform, Local, Propose, Read, ReadJob, Stop, Tick,
    TransferLeadership,
};
use super::peers::PeerQueue;
use super::{monotonic_now, unix_now};
use crate::error::Error;
use crate::ids::{LogIndex, Term};
use crate::replication::core::{Core, Effect, Entry, Payload, ReadId, Refused, Save};
use crate::replication::machine::{ProposeError, ReadError, ReplicaStatus, StateMachine};

/// Most commands that wait for agreement at once.
const MAX_PENDING: usize = 16 * 1024;
/// Longest command in bytes; some fit into one message with room to spare.
const MAX_COMMAND: usize = 8 * 1024 * 1024;
/// Most messages taken before the effects are carried out.
const MAX_BATCH: usize = 1024;

type ReplySender<M> = oneshot::Sender<Result<<M as StateMachine>::Reply, ProposeError>>;

/// State of the control thread.
pub(super) struct Control<M: StateMachine> {
    pub(super) core: Core,
    pub(super) machine: M,
    pub(super) disk: Option<DiskQueue>,
    pub(super) disk_busy: bool,
    pub(super) unsaved: Vec<Save>,
    pub(super) peers: PeerQueue,
    pub(super) status: watch::Sender<ReplicaStatus>,
    pub(super) on_disk_failure: fn(&Error),
    pub(super) pending: BTreeMap<LogIndex, (Term, ReplySender<M>)>,
    pub(super) reads: BTreeMap<ReadId, ReadJob<M>>,
    pub(super) led_since_tick: bool,
    pub(super) stopped: bool,
}

impl<M: StateMachine> Actor for Control<M> {
    type Stop = ();

    async fn stopped(self) {}
}

/// Takes messages in batches: what many proposals ask for is saved and sent together.
pub(super) async fn run<M: StateMachine>(mailbox: Mailbox<Control<M>>, mut control: Control<M>) {
    let address = mailbox.address();
    control.carry_out();
    while !control.stopped {
        let _ = mailbox.next().await.dispatch_to(&mut control).await;
        for _ in 1..MAX_BATCH {
            // Looked at first: a receive that is begun and given up can lose a message that
            // arrives at that moment, and with it a command or the news of a sync.
            if address.is_empty() {
                break;
            }
            let _ = mailbox.next().await.dispatch_to(&mut control).await;
        }
        if !control.stopped {
            control.carry_out();
        }
    }
    control.refuse_all();
}

impl<M: StateMachine> Control<M> {
    /// Carries out what the core wants, until it wants nothing more.
    fn carry_out(&mut self) {
        let mut applied = std::mem::take(&mut self.led_since_tick);
        self.core.replicate(monotonic_now());
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() && !applied {
                break;
            }
            for effect in effects {
                applied |= matches!(effect, Effect::Apply(_));
                self.carry_out_one(effect);
            }
            if std::mem::take(&mut applied) {
                self.lead();
            }
        }
        self.save_more();
        if !self.core.is_leader() {
            self.fail_waiting();
        }
        let status = self.core.status();
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }

    fn carry_out_one(&mut self, effect: Effect) {
        match effect {
            Effect::Save(save) => self.unsaved.push(save),
            Effect::Send(message) => {
                let addr = self.core.members().get(message.to).map(|m| m.addr);
                self.peers.send(addr, message);
            }
            Effect::Announce(message) => self.peers.announce(message, self.core.members().addrs()),
            Effect::Apply(entries) => entries.into_iter().for_each(|e| self.apply(e)),
            Effect::Restore(snapshot) => {
                if let Err(e) = self.machine.restore(&snapshot.data) {
                    self.fail(&e);
                }
            }
            Effect::Leadership(leading) => {
                if leading {
                    self.machine.term_began(self.core.term());
                }
                self.machine.leadership_changed(leading, monotonic_now());
                self.led_since_tick |= leading;
            }
            Effect::ReadsReady(through) => self.run_reads(through),
            Effect::TakeSnapshot(index) => {
                let data = self.machine.snapshot();
                self.core.snapshot_taken(index, data);
            }
        }
    }

    fn apply(&mut self, entry: Entry) {
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
        // Read now: this thread may have been paused since the confirmation.
        let now = monotonic_now();
        if self.core.is_confirmed(now) {
            job(Ok((&mut self.machine, now)));
        } else {
            job(Err(self.not_leading()));
        }
    }

    /// Lets the machine propose commands of its own while leadership is confirmed.
    fn lead(&mut self) {
        let now = monotonic_now();
        if !self.core.is_confirmed(now) {
            return;
        }
        for command in self.machine.lead(now) {
            // Shared, not copied: a refusal is rare, and a batch may hold hundreds of starts.
            let command = Bytes::from(command);
            let taken = self.core.propose(now, unix_now(), command.clone());
            if taken.is_err() {
                self.machine.not_taken(command.into());
            }
        }
        self.core.replicate(now);
    }

    fn save_more(&mut self) {
        if self.disk_busy || self.unsaved.is_empty() {
            return;
        }
        if let Some(disk) = &self.disk {
            self.disk_busy = disk.try_send(std::mem::take(&mut self.unsaved)).is_ok();
        }
    }

    fn fail_waiting(&mut self) {
        for (_, (_, tx)) in std::mem::take(&mut self.pending) {
            let _ = tx.send(Err(ProposeError::Unknown));
        }
        for (_, job) in std::mem::take(&mut self.reads) {
            job(Err(self.not_leading()));
        }
    }

    fn refuse_all(&mut self) {
        for (_, (_, tx)) in std::mem::take(&mut self.pending) {
            let _ = tx.send(Err(ProposeError::Unknown));
        }
        for (_, job) in std::mem::take(&mut self.reads) {
            job(Err(ReadError::Stopping));
        }
    }

    fn not_leading(&self) -> ReadError {
        ReadError::NotLeader {
            leader: self.other_leader(),
        }
    }

    fn other_leader(&self) -> Option<std::net::SocketAddr> {
        let status = self.core.status();
        status
            .leader_addr
            .filter(|_| status.leader != Some(status.id))
    }

    fn fail(&mut self, e: &Error) {
        // Nothing more leaves: the loop ends before the next effect.
        self.stopped = true;
        (self.on_disk_failure)(e);
    }
}

impl<M: StateMachine> Handler<Propose<M>> for Control<M> {
    type Return = ();

    async fn handle(&mut self, message: Propose<M>, _: &mut Context<Self>) {
        let Propose { command, reply } = message;
        if self.pending.len() >= MAX_PENDING {
            let _ = reply.send(Err(ProposeError::Overloaded("too many commands wait")));
            return;
        }
        if command.len() > MAX_COMMAND {
            let _ = reply.send(Err(ProposeError::Overloaded("the command is too long")));
            return;
        }
        match self.core.propose(monotonic_now(), unix_now(), command) {
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

    async fn handle(&mut self, Read { by, job }: Read<M>, _: &mut Context<Self>) {
        match by {
            Confirmation::Round => match self.core.read(monotonic_now()) {
                Ok(id) => {
                    self.reads.insert(id, job);
                }
                Err(_) => job(Err(self.not_leading())),
            },
            Confirmation::Lease => {
                self.run_if_confirmed(job);
                self.led_since_tick = true;
            }
        }
    }
}

impl<M: StateMachine> Handler<Local<M>> for Control<M> {
    type Return = ();

    async fn handle(&mut self, Local(job): Local<M>, _: &mut Context<Self>) {
        job(&self.machine);
    }
}

impl<M: StateMachine> Handler<Inform<M>> for Control<M> {
    type Return = ();

    async fn handle(&mut self, Inform(job): Inform<M>, _: &mut Context<Self>) {
        job(&mut self.machine, monotonic_now());
        self.led_since_tick = true;
    }
}

impl<M: StateMachine> Handler<FromPeer> for Control<M> {
    type Return = ();

    async fn handle(&mut self, FromPeer(message): FromPeer, _: &mut Context<Self>) {
        self.core.receive(monotonic_now(), message);
    }
}

impl<M: StateMachine> Handler<DiskNews> for Control<M> {
    type Return = ();

    async fn handle(&mut self, news: DiskNews, _: &mut Context<Self>) {
        let now = monotonic_now();
        match news {
            DiskNews::Synced(seq) => {
                self.disk_busy = false;
                self.core.disk_full(now, false);
                self.core.saved(now, seq);
            }
            DiskNews::Full => self.core.disk_full(now, true),
            DiskNews::Failed(e) => self.fail(&e),
        }
    }
}

impl<M: StateMachine> Handler<Tick> for Control<M> {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.core.tick(monotonic_now());
        self.led_since_tick = true;
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
