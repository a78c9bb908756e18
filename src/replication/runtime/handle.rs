//! Starting a replica, and the handle with which the rest of the process uses it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::sync::{oneshot, watch};
use xtra::{Address, Mailbox};

use super::config::{Formation, ReplicaConfig};
use super::control::{self, Control};
use super::messages::{
    Confirmation, Propose, Read, ReadLocal, Stop, Tick, TransferLeadership, UpdateMachine,
};
use super::peers::Directory;
use super::{disk, monotonic_now, peers};
use crate::error::{Error, Result, Step};
use crate::ids::Timestamp;
use crate::replication::addresses::{Addresses, Identity};
use crate::replication::core::{Core, CoreConfig, Entry, HardState, Membership, Payload};
use crate::replication::core::{Recovered, Save};
use crate::replication::machine::{
    ProposeError, ReadError, ReadPoint, ReplicaStatus, StateMachine,
};
use crate::storage::{Files, RealFiles, Store, WriteError};

/// Most messages queued for the control thread.
const MAILBOX: usize = 4096;
/// Ticks of the core's timers in one heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 4;

/// Starts replicas; a running one is used through its `ReplicaHandle`.
#[derive(Debug)]
pub struct Replica;

/// Handle of a running replica; cheap to clone.
pub struct ReplicaHandle<M: StateMachine> {
    control: Address<Control<M>>,
    status: watch::Receiver<ReplicaStatus>,
    /// Longest time that a leadership transfer is waited for.
    transfer_timeout: Duration,
    ended: watch::Receiver<bool>,
    directory: Directory,
}

impl<M: StateMachine> Clone for ReplicaHandle<M> {
    fn clone(&self) -> Self {
        Self {
            control: self.control.clone(),
            status: self.status.clone(),
            transfer_timeout: self.transfer_timeout,
            ended: self.ended.clone(),
            directory: Arc::clone(&self.directory),
        }
    }
}

impl Replica {
    /// Opens the data folder and starts the replica's threads.
    pub fn start<M: StateMachine>(cfg: ReplicaConfig, machine: M) -> Result<ReplicaHandle<M>> {
        Self::start_with(cfg, machine, RealFiles)
    }

    /// Like `start`, with the given file operations; tests use it to inject disk faults.
    pub fn start_with<M: StateMachine>(
        cfg: ReplicaConfig,
        machine: M,
        files: impl Files,
    ) -> Result<ReplicaHandle<M>> {
        let (mut store, opened) = Store::open_with(&cfg.data, files)?;
        let listener = TcpListener::bind(cfg.replica_listen).map_err(|e| {
            Error::caused(Step::Listen, "listening for replicas", e).with_peer(cfg.replica_listen)
        })?;
        let addr = listener
            .local_addr()
            .map_err(|e| Error::caused(Step::Listen, "reading the local address", e))?;
        let core_cfg = cfg.core_config(opened.id, addr);
        let mut found = opened.recovered;
        let forms_group = match cfg.form {
            Formation::FormGroup => true,
            Formation::FormIfEmpty => is_unused(&found),
            Formation::Join | Formation::ForceGroupOfOne => false,
        };
        if forms_group {
            found = form_group(&mut store, &core_cfg, found, &cfg)?;
        }
        let mut core = Core::new(core_cfg, rand::random(), monotonic_now(), found);
        if cfg.form == Formation::ForceGroupOfOne {
            core.force_group_of_one(monotonic_now());
        }
        spawn(cfg, core, machine, store, listener)
    }
}

/// Whether the data folder has never held a log.
fn is_unused(found: &Recovered) -> bool {
    let no_log = found.hard == HardState::default() && found.entries.is_empty();
    no_log && found.snapshot.index == 0
}

/// Forms a group of one: writes a first log entry whose membership has only this replica.
fn form_group(
    store: &mut Store<impl Files>,
    core: &CoreConfig,
    found: Recovered,
    cfg: &ReplicaConfig,
) -> Result<Recovered> {
    if !is_unused(&found) {
        let message = "a group can only be formed on an empty folder; this one holds a replica";
        return Err(Error::new(Step::Storage, message).with_peer(cfg.data.display()));
    }
    let hard = HardState {
        term: 1,
        voted_for: Some(core.id),
    };
    let entry = Entry {
        index: 1,
        term: 1,
        at: super::unix_now(),
        payload: Payload::Members(Membership::of_one(core.id, core.member.clone())),
    };
    let save = Save {
        hard: Some(hard),
        entries: vec![entry.clone()],
        ..Save::default()
    };
    store.write(&[save]).map_err(|e| match e {
        WriteError::Full => Error::new(Step::Storage, "the disk is full"),
        WriteError::Failed(e) => e,
    })?;
    Ok(Recovered {
        hard,
        entries: vec![entry],
        ..found
    })
}

fn spawn<M: StateMachine>(
    cfg: ReplicaConfig,
    core: Core,
    machine: M,
    store: Store<impl Files>,
    listener: TcpListener,
) -> Result<ReplicaHandle<M>> {
    let (address, mailbox) = Mailbox::bounded(MAILBOX);
    let (status_tx, status) = watch::channel(core.status(monotonic_now()));
    let (disk_tx, disk_rx) = mpsc::sync_channel(1);
    let (ended_tx, ended) = watch::channel(false);
    let identity = Identity {
        id: core.id(),
        addr: core.own_addr(),
    };
    let addresses = Addresses::new(identity.addr, cfg.peers.clone());
    let directory = Directory::new(Mutex::new(addresses));
    let (peer_queue, peer_thread) = peers::spawn(
        &cfg,
        Arc::clone(&directory),
        identity,
        listener,
        address.downgrade(),
    )?;
    let disk_address = address.clone();
    let disk_thread = thread("replica-disk", move || {
        disk::run(store, disk_rx, disk_address);
    })?;
    let control = Control {
        core,
        machine,
        machine_applied: 0,
        disk: Some(disk_tx),
        disk_busy: false,
        queued_saves: Vec::new(),
        peers: peer_queue,
        status: status_tx,
        on_disk_failure: cfg.on_disk_failure,
        pending: BTreeMap::new(),
        reads: BTreeMap::new(),
        deferred_reads: Vec::new(),
        machine_due: false,
        stopped: false,
    };
    let tick = cfg.heartbeat / TICKS_PER_HEARTBEAT;
    thread("replica-control", move || {
        run_control(control, mailbox, tick);
        // The senders of both queues are dropped by now, so both threads end.
        let _ = disk_thread.join();
        let _ = peer_thread.join();
        let _ = ended_tx.send(true);
    })?;
    Ok(ReplicaHandle {
        control: address,
        status,
        transfer_timeout: cfg.election_timeout * 2,
        ended,
        directory,
    })
}

fn thread(name: &str, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .map_err(|e| Error::caused(Step::Replicate, "starting a thread", e))
}

fn run_control<M: StateMachine>(control: Control<M>, mailbox: Mailbox<Control<M>>, tick: Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime without I/O needs no resources");
    let address = mailbox.address();
    runtime.block_on(async {
        let ticker = async {
            let mut interval = tokio::time::interval(tick);
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                interval.tick().await;
                if address.send(Tick).detach().priority(1).await.is_err() {
                    break;
                }
            }
        };
        tokio::select! {
            () = control::run(mailbox, control) => {}
            () = ticker => {}
        }
    });
}

impl<M: StateMachine> ReplicaHandle<M> {
    /// Appends a command to the log and returns the state machine's reply once it is committed and
    /// applied.
    pub async fn propose(&self, command: Vec<u8>) -> Result<M::Reply, ProposeError> {
        self.propose_until(Timestamp::MAX, command).await
    }

    /// `propose`, but nothing is appended after `until`, in monotonic time. This process may be
    /// stopped for any time before the append.
    pub async fn propose_until(
        &self,
        until: Timestamp,
        command: Vec<u8>,
    ) -> Result<M::Reply, ProposeError> {
        let (reply, rx) = oneshot::channel();
        let message = Propose {
            command,
            until,
            reply,
        };
        if self.control.send(message).detach().await.is_err() {
            return Err(ProposeError::Stopping);
        }
        // The sender was dropped with the control thread; the command may already be in the log.
        rx.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Runs `f` on the state once a quorum has confirmed, after this call, that this replica is the
    /// leader, and everything committed before the call is applied. `f` gets the monotonic time at
    /// which it runs.
    pub async fn read<R: Send + 'static>(
        &self,
        f: impl FnOnce(&mut M, Timestamp) -> R + Send + 'static,
    ) -> Result<R, ReadError> {
        let read = |machine: &mut M, at: ReadPoint| f(machine, at.now);
        self.read_by(Confirmation::Round, read).await
    }

    /// Runs `f` on the state if this replica holds the leader lease. No heartbeat round is needed:
    /// voters do not elect another leader within their election timeout, and the clock used here
    /// includes suspensions, so the state that `f` gets was the newest at some moment after this
    /// call. `f` also gets the time and the point in the log at which it runs.
    pub async fn leased<R: Send + 'static>(
        &self,
        f: impl FnOnce(&mut M, ReadPoint) -> R + Send + 'static,
    ) -> Result<R, ReadError> {
        self.read_by(Confirmation::Lease, f).await
    }

    async fn read_by<R: Send + 'static>(
        &self,
        confirmation: Confirmation,
        f: impl FnOnce(&mut M, ReadPoint) -> R + Send + 'static,
    ) -> Result<R, ReadError> {
        let (tx, rx) = oneshot::channel();
        let job = move |access: Result<(&mut M, ReadPoint), ReadError>| {
            let _ = tx.send(access.map(|(machine, at)| f(machine, at)));
        };
        let sent = self
            .control
            .send(Read {
                confirmation,
                job: Box::new(job),
            })
            .detach()
            .await;
        if sent.is_err() {
            return Err(ReadError::Stopping);
        }
        rx.await.unwrap_or(Err(ReadError::Stopping))
    }

    /// Runs `f` on the state machine, outside the log, then proposes the commands that the state
    /// machine returns if this replica leads. No effect once the replica has ended.
    pub async fn update_machine(&self, f: impl FnOnce(&mut M, Timestamp) + Send + 'static) {
        let _ = self.control.send(UpdateMachine(Box::new(f))).detach().await;
    }

    /// Runs `f` on this replica's own state, which may be stale. `None` once the replica has ended.
    pub async fn read_local<R: Send + 'static>(
        &self,
        f: impl FnOnce(&M) -> R + Send + 'static,
    ) -> Option<R> {
        let (tx, rx) = oneshot::channel();
        let job = move |machine: &M| {
            let _ = tx.send(f(machine));
        };
        let sent = self.control.send(ReadLocal(Box::new(job))).detach().await;
        sent.ok().map(drop)?;
        rx.await.ok()
    }

    /// Current status of the replica; the receiver is notified of every change.
    pub fn status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Replaces the addresses of the other configured replicas. This one announces itself to them
    /// whenever it is not a member or hears no leader.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        let mut directory = self.directory.lock().expect("no holder panics");
        directory.configure(peers);
    }

    /// Transfers leadership to another voter, if this replica leads and an active one exists. Waits
    /// up to two election timeouts for it.
    pub async fn transfer_leadership(&self) {
        if self.control.send(TransferLeadership).await.is_err() {
            return;
        }
        let mut status = self.status.clone();
        let own = status.borrow().id;
        let transferred = status.wait_for(|s| s.leader != Some(own));
        let _ = tokio::time::timeout(self.transfer_timeout, transferred).await;
    }

    /// Transfers leadership, ends the replica and waits until its files are closed.
    pub async fn stop(&self) {
        let others = self.status.borrow().voters.len() > 1;
        if others {
            self.transfer_leadership().await;
        }
        self.abort().await;
    }

    /// Ends the replica at once, without a leadership transfer, and waits until its files are closed.
    pub async fn abort(&self) {
        let _ = self.control.send(Stop).await;
        self.ended().await;
    }

    /// Waits until the replica has ended, by `stop`, `abort` or a disk failure.
    pub async fn ended(&self) {
        let mut ended = self.ended.clone();
        let _ = ended.wait_for(|done| *done).await;
    }
}
