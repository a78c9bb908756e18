//! Starting a replica, and the handle through which the rest of the process uses it.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::sync::{oneshot, watch};
use xtra::{Address, Mailbox};

use super::config::{Formation, ReplicaConfig};
use super::control::{self, Control};
use super::messages::{Confirmation, Inform, Local, Propose, Read, Stop, Tick, TransferLeadership};
use super::{disk, monotonic_now, peers};
use crate::error::{Error, Result, Step};
use crate::ids::Timestamp;
use crate::replication::core::{Core, CoreConfig, Entry, HardState, Membership, Payload};
use crate::replication::core::{Recovered, Save};
use crate::replication::machine::{ProposeError, ReadError, ReplicaStatus, StateMachine};
use crate::storage::{Files, RealFiles, Store, WriteError};

/// Messages that may wait for the control thread.
const MAILBOX: usize = 4096;
/// Ticks in one heartbeat.
const TICKS_A_HEARTBEAT: u32 = 4;

/// Namespace of the ways to start a replica.
#[derive(Debug)]
pub struct Replica;

/// Handle of a running replica; cheap to clone.
pub struct ReplicaHandle<M: StateMachine> {
    control: Address<Control<M>>,
    status: watch::Receiver<ReplicaStatus>,
    patience: Duration,
    ended: watch::Receiver<bool>,
}

impl<M: StateMachine> Clone for ReplicaHandle<M> {
    fn clone(&self) -> Self {
        Self {
            control: self.control.clone(),
            status: self.status.clone(),
            patience: self.patience,
            ended: self.ended.clone(),
        }
    }
}

impl Replica {
    /// Opens the data folder and starts the replica's threads.
    pub fn start<M: StateMachine>(cfg: ReplicaConfig, machine: M) -> Result<ReplicaHandle<M>> {
        Self::start_with(cfg, machine, RealFiles)
    }

    /// Starts with the given file operations.
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
            .map_err(|e| Error::caused(Step::Listen, "reading the own address", e))?;
        let core_cfg = cfg.core(opened.id, addr);
        let mut found = opened.recovered;
        let forms = match cfg.form {
            Formation::FormGroup => true,
            Formation::FormOnce => is_unused(&found),
            Formation::Join | Formation::ForceGroupOfOne => false,
        };
        if forms {
            found = form_group(&mut store, &core_cfg, found, &cfg)?;
        }
        let mut core = Core::new(core_cfg, rand::random(), monotonic_now(), found);
        if cfg.form == Formation::ForceGroupOfOne {
            core.force_group_of_one(monotonic_now());
        }
        spawn(cfg, core, machine, store, listener)
    }
}

/// Whether a folder has never held a log.
fn is_unused(found: &Recovered) -> bool {
    let nothing = found.hard == HardState::default() && found.entries.is_empty();
    nothing && found.snapshot.index == 0
}

/// Writes the first entry of a group of one.
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
    let (status_tx, status) = watch::channel(core.status());
    let (disk_tx, disk_rx) = mpsc::sync_channel(1);
    let (ended_tx, ended) = watch::channel(false);
    let identity = peers::Identity {
        id: core.id(),
        addr: core.own_addr(),
    };
    let (peer_queue, peer_thread) = peers::spawn(&cfg, identity, listener, address.downgrade())?;
    let disk_address = address.clone();
    let disk_thread = thread("replica-disk", move || {
        disk::run(store, disk_rx, disk_address);
    })?;
    let control = Control {
        core,
        machine,
        disk: Some(disk_tx),
        disk_busy: false,
        unsaved: Vec::new(),
        peers: peer_queue,
        status: status_tx,
        on_disk_failure: cfg.on_disk_failure,
        pending: BTreeMap::new(),
        reads: BTreeMap::new(),
        led_since_tick: false,
        stopped: false,
    };
    let tick = cfg.heartbeat / TICKS_A_HEARTBEAT;
    thread("replica-control", move || {
        run_control(control, mailbox, tick);
        // The queues' senders are gone now, so both threads end.
        let _ = disk_thread.join();
        let _ = peer_thread.join();
        let _ = ended_tx.send(true);
    })?;
    Ok(ReplicaHandle {
        control: address,
        status,
        patience: cfg.election_timeout * 2,
        ended,
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
    /// Gets a command agreed and applied, and returns the machine's reply.
    pub async fn propose(&self, command: Vec<u8>) -> Result<M::Reply, ProposeError> {
        let (reply, rx) = oneshot::channel();
        let message = Propose { command, reply };
        if self.control.send(message).detach().await.is_err() {
            return Err(ProposeError::Stopping);
        }
        // A reply that is dropped was waiting in a mailbox or a log that ended.
        rx.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Runs `f` on the state once a quorum has confirmed, after this call, that this replica
    /// leads, and everything agreed before the call is applied. The time is the monotonic time
    /// of that moment.
    pub async fn read<R: Send + 'static>(
        &self,
        f: impl FnOnce(&mut M, Timestamp) -> R + Send + 'static,
    ) -> Result<R, ReadError> {
        self.read_by(Confirmation::Round, f).await
    }

    /// Runs `f` on the state if a quorum's answers of the last moments still confirm that this
    /// replica leads. No round of messages is made: voters promise not to elect another leader
    /// within their election timeout, and the clock used here counts suspensions as well, so what
    /// `f` sees was the newest state at some moment after this call.
    pub async fn leased<R: Send + 'static>(
        &self,
        f: impl FnOnce(&mut M, Timestamp) -> R + Send + 'static,
    ) -> Result<R, ReadError> {
        self.read_by(Confirmation::Lease, f).await
    }

    async fn read_by<R: Send + 'static>(
        &self,
        by: Confirmation,
        f: impl FnOnce(&mut M, Timestamp) -> R + Send + 'static,
    ) -> Result<R, ReadError> {
        let (tx, rx) = oneshot::channel();
        let job = move |access: Result<(&mut M, Timestamp), ReadError>| {
            let _ = tx.send(access.map(|(machine, now)| f(machine, now)));
        };
        let sent = self
            .control
            .send(Read {
                by,
                job: Box::new(job),
            })
            .detach()
            .await;
        if sent.is_err() {
            return Err(ReadError::Stopping);
        }
        rx.await.unwrap_or(Err(ReadError::Stopping))
    }

    /// Tells the machine something; what it wants to propose then is proposed if this replica
    /// leads. Without effect once the replica has ended.
    pub async fn inform(&self, f: impl FnOnce(&mut M, Timestamp) + Send + 'static) {
        let _ = self.control.send(Inform(Box::new(f))).detach().await;
    }

    /// Runs `f` on this replica's own state, which may be behind; `None` once it has ended.
    pub async fn local<R: Send + 'static>(
        &self,
        f: impl FnOnce(&M) -> R + Send + 'static,
    ) -> Option<R> {
        let (tx, rx) = oneshot::channel();
        let job = move |machine: &M| {
            let _ = tx.send(f(machine));
        };
        let sent = self.control.send(Local(Box::new(job))).detach().await;
        sent.ok().map(drop)?;
        rx.await.ok()
    }

    /// The replica's state and its changes.
    pub fn status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Moves leadership to another voter, if this replica leads and there is one.
    pub async fn hand_over(&self) {
        if self.control.send(TransferLeadership).await.is_err() {
            return;
        }
        let mut status = self.status.clone();
        let own = status.borrow().id;
        let moved = status.wait_for(|s| s.leader != Some(own));
        let _ = tokio::time::timeout(self.patience, moved).await;
    }

    /// Hands leadership over, ends the replica and waits for its files to be closed.
    pub async fn stop(&self) {
        let others = self.status.borrow().voters.len() > 1;
        if others {
            self.hand_over().await;
        }
        self.abort().await;
    }

    /// Ends the replica at once, as a crash would: leadership is not handed over.
    pub async fn abort(&self) {
        let _ = self.control.send(Stop).await;
        self.ended().await;
    }

    /// Waits until the replica has ended, by `stop` or by a failure of its disk.
    pub async fn ended(&self) {
        let mut ended = self.ended.clone();
        let _ = ended.wait_for(|done| *done).await;
    }
}
