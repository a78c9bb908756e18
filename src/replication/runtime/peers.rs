//! Connections to the other replicas: one outgoing link each for sending, and accepted ones for
//! receiving.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use xtra::WeakAddress;

use super::config::ReplicaConfig;
use super::control::Control;
use super::messages::FromPeer;
use crate::error::{Error, Result, Step};
use crate::ids::ReplicaId;
use crate::replication::core::Message;
use crate::replication::machine::StateMachine;
use crate::task::AbortOnDrop;
use crate::wire::{self, CellKeys, FrameReader, FrameWriter};

/// Messages that may wait for one peer; more are dropped, as a network would.
const LINK_QUEUE: usize = 256;
/// Messages that may wait for the peer thread.
const QUEUE: usize = 4096;
/// Time for a new connection to prove itself.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence after which the system asks whether an accepted connection still stands.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// Who this replica is to others.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Identity {
    pub(super) id: ReplicaId,
    pub(super) addr: SocketAddr,
}

/// What flows over an outgoing link.
#[derive(Serialize, Deserialize)]
enum Forward {
    Hello(Identity),
    Message(Message),
    Ping(u64),
}

/// What flows back over it.
#[derive(Serialize, Deserialize)]
enum Back {
    Pong(u64),
}

enum Outgoing {
    To(Option<SocketAddr>, Message),
    ToAll(Message, Vec<SocketAddr>),
}

/// Sending end towards the peer thread. Never waits: what does not fit is dropped.
pub(super) struct PeerQueue(mpsc::Sender<Outgoing>);

impl PeerQueue {
    pub(super) fn send(&self, addr: Option<SocketAddr>, message: Message) {
        self.put(Outgoing::To(addr, message));
    }

    /// Sends to every configured address and to further ones that the log names: the configured
    /// ones may all be down while the group goes on elsewhere.
    pub(super) fn announce(&self, message: Message, further: Vec<SocketAddr>) {
        self.put(Outgoing::ToAll(message, further));
    }

    fn put(&self, outgoing: Outgoing) {
        if self.0.try_send(outgoing).is_err() {
            metrics::counter!("yuccahold_replica_messages_dropped_total").increment(1);
        }
    }
}

/// Addresses that replicas gave for themselves. A voter may have to answer a candidate that its
/// own log does not name yet; without the address the group could not elect it.
type Directory = Arc<Mutex<HashMap<ReplicaId, SocketAddr>>>;

struct Peers {
    identity: Identity,
    keys: CellKeys,
    configured: Vec<SocketAddr>,
    directory: Directory,
    links: HashMap<SocketAddr, mpsc::Sender<Message>>,
    /// Time after which an unanswered ping condemns a connection.
    patience: Duration,
}

/// Starts the peer thread; it ends when the queue is dropped.
pub(super) fn spawn<M: StateMachine>(
    cfg: &ReplicaConfig,
    identity: Identity,
    listener: std::net::TcpListener,
    control: WeakAddress<Control<M>>,
) -> Result<(PeerQueue, JoinHandle<()>)> {
    let failed = |e| Error::caused(Step::Listen, "starting the peer thread", e);
    listener.set_nonblocking(true).map_err(failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(failed)?;
    let (tx, rx) = mpsc::channel(QUEUE);
    let directory = Directory::default();
    let peers = Peers {
        identity,
        keys: cfg.keys.clone(),
        configured: cfg.peers.clone(),
        directory: directory.clone(),
        links: HashMap::new(),
        patience: cfg.election_timeout,
    };
    let keys = cfg.keys.clone();
    let body = move || {
        runtime.block_on(async {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            let accepting = tokio::spawn(accept_all(listener, keys, directory, control));
            peers.run(rx).await;
            accepting.abort();
        });
        // Ends the tasks of all connections at once.
        runtime.shutdown_background();
    };
    let thread = std::thread::Builder::new()
        .name("replica-peers".to_owned())
        .spawn(body)
        .map_err(failed)?;
    Ok((PeerQueue(tx), thread))
}

impl Peers {
    async fn run(mut self, mut rx: mpsc::Receiver<Outgoing>) {
        while let Some(outgoing) = rx.recv().await {
            match outgoing {
                Outgoing::To(addr, message) => {
                    let learned = self.directory.lock().expect("no holder panics");
                    let addr = addr.or_else(|| learned.get(&message.to).copied());
                    drop(learned);
                    if let Some(addr) = addr {
                        self.put(addr, message);
                    }
                }
                Outgoing::ToAll(message, further) => {
                    let mut addrs = further;
                    addrs.extend(&self.configured);
                    addrs.sort_unstable();
                    addrs.dedup();
                    addrs.retain(|addr| *addr != self.identity.addr);
                    for addr in addrs {
                        self.put(addr, message.clone());
                    }
                }
            }
        }
    }

    fn put(&mut self, addr: SocketAddr, message: Message) {
        let link = self.links.entry(addr).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(LINK_QUEUE);
            let link = Link {
                addr,
                identity: self.identity,
                keys: self.keys.clone(),
                patience: self.patience,
            };
            tokio::spawn(link.run(rx));
            tx
        });
        if link.try_send(message).is_err() {
            metrics::counter!("yuccahold_replica_messages_dropped_total").increment(1);
        }
    }
}

/// One outgoing link; connects again whenever the connection fails or falls silent.
struct Link {
    addr: SocketAddr,
    identity: Identity,
    keys: CellKeys,
    patience: Duration,
}

impl Link {
    async fn run(self, mut rx: mpsc::Receiver<Message>) {
        while let Some(message) = rx.recv().await {
            let connected = timeout(HANDSHAKE_TIMEOUT.min(self.patience * 2), self.connect()).await;
            match connected {
                Ok(Ok((reader, writer))) => {
                    let _ = self.drive(reader, writer, message, &mut rx).await;
                }
                Ok(Err(_)) | Err(_) => {
                    // What waited meanwhile is old; the core repeats what still matters.
                    while rx.try_recv().is_ok() {}
                    tokio::time::sleep(self.patience / 8).await;
                }
            }
        }
    }

    async fn connect(&self) -> Result<(FrameReader, FrameWriter)> {
        let stream = wire::dial(self.addr, self.patience * 2).await?;
        let (reader, mut writer) = wire::split_client(stream, &self.keys).await?;
        writer.write(&Forward::Hello(self.identity)).await?;
        Ok((reader, writer))
    }

    /// Sends until the connection fails or a ping stays unanswered.
    ///
    /// A connection can go silent for good while new ones work. The sender would see nothing and
    /// the peer would look dead, so an answer is asked for over the same connection.
    async fn drive(
        &self,
        mut reader: FrameReader,
        mut writer: FrameWriter,
        first: Message,
        rx: &mut mpsc::Receiver<Message>,
    ) -> Result<()> {
        let (pong_tx, mut pongs) = mpsc::channel(4);
        let reading = tokio::spawn(async move {
            while let Ok(Some(Back::Pong(number))) = reader.read().await {
                if pong_tx.send(number).await.is_err() {
                    break;
                }
            }
        });
        let _reading = AbortOnDrop(reading);
        let mut next = Some(first);
        let mut ping = 0;
        let mut pinged_at: Option<Instant> = None;
        let mut answered_at = Instant::now();
        loop {
            if let Some(message) = next.take() {
                writer.queue(&Forward::Message(message))?;
                while let Ok(message) = rx.try_recv() {
                    writer.queue(&Forward::Message(message))?;
                }
                if pinged_at.is_none() && answered_at.elapsed() > self.patience / 2 {
                    ping += 1;
                    pinged_at = Some(Instant::now());
                    writer.queue(&Forward::Ping(ping))?;
                }
                match timeout(self.patience, writer.flush()).await {
                    Ok(done) => done?,
                    Err(_) => return Err(self.silent()),
                }
            }
            let deadline = pinged_at.map(|at| at + self.patience);
            let expired = async {
                match deadline {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => next = Some(message),
                    None => return Ok(()),
                },
                pong = pongs.recv() => match pong {
                    Some(number) if number == ping => {
                        pinged_at = None;
                        answered_at = Instant::now();
                    }
                    Some(_) => {}
                    None => return Err(self.silent()),
                },
                () = expired => return Err(self.silent()),
            }
        }
    }

    fn silent(&self) -> Error {
        Error::new(Step::Transfer, "the connection fell silent").with_peer(self.addr)
    }
}

async fn accept_all<M: StateMachine>(
    listener: TcpListener,
    keys: CellKeys,
    directory: Directory,
    control: WeakAddress<Control<M>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, most likely; some will come free.
            tokio::time::sleep(HANDSHAKE_TIMEOUT / 20).await;
            continue;
        };
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE / 2);
        let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
        let (keys, directory, control) = (keys.clone(), directory.clone(), control.clone());
        tokio::spawn(async move {
            let accepted = timeout(HANDSHAKE_TIMEOUT, wire::accept(stream, &keys)).await;
            let Ok(Ok((reader, writer))) = accepted else {
                metrics::counter!("yuccahold_replica_strangers_refused_total").increment(1);
                return;
            };
            let _ = receive(reader, writer, &directory, &control).await;
        });
    }
}

async fn receive<M: StateMachine>(
    mut reader: FrameReader,
    mut writer: FrameWriter,
    directory: &Directory,
    control: &WeakAddress<Control<M>>,
) -> Result<()> {
    while let Some(frame) = reader.read().await? {
        match frame {
            Forward::Hello(peer) => {
                let mut directory = directory.lock().expect("no holder panics");
                directory.insert(peer.id, peer.addr);
            }
            Forward::Message(message) => {
                let sent = control.send(FromPeer(message)).detach().await;
                if sent.is_err() {
                    return Ok(());
                }
            }
            Forward::Ping(number) => writer.write(&Back::Pong(number)).await?,
        }
    }
    Ok(())
}
