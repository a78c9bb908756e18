//! Connections between replicas: an outgoing link to each peer for sending, and accepted connections
//! for receiving.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
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
use crate::replication::addresses::{Addresses, Identity};
use crate::replication::core::Message;
use crate::replication::machine::StateMachine;
use crate::task::AbortOnDrop;
use crate::wire::{self, CellKeys, FrameReader, FrameWriter};

/// Most messages queued for one peer; further ones are dropped, and the core sends again what is
/// still needed.
const LINK_QUEUE: usize = 256;
/// Most messages queued for the peer thread; further ones are dropped.
const QUEUE: usize = 4096;
/// Time limit for the handshake on a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which TCP keep-alive probes an accepted connection.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// A frame sent over an outgoing link.
#[derive(Serialize, Deserialize)]
enum LinkFrame {
    Hello(Identity),
    Message(Message),
    Ping(u64),
}

/// A frame received over an outgoing link.
#[derive(Serialize, Deserialize)]
enum LinkReply {
    Pong(u64),
}

enum Outgoing {
    To(Option<SocketAddr>, Message),
    ToAll(Message, Vec<SocketAddr>),
}

/// Sender to the peer thread. Never waits: a message that does not fit is dropped.
pub(super) struct PeerQueue(mpsc::Sender<Outgoing>);

impl PeerQueue {
    /// Sends to the address in the log, if there is one, and to the one with which the peer has
    /// connected.
    pub(super) fn send(&self, in_log: Option<SocketAddr>, message: Message) {
        self.enqueue(Outgoing::To(in_log, message));
    }

    /// Sends to every configured address, to those of peers that have connected, and to those of the
    /// members in the log.
    pub(super) fn announce(&self, message: Message, in_log: Vec<SocketAddr>) {
        self.enqueue(Outgoing::ToAll(message, in_log));
    }

    fn enqueue(&self, outgoing: Outgoing) {
        if self.0.try_send(outgoing).is_err() {
            metrics::counter!("yuccahold_replica_messages_dropped_total").increment(1);
        }
    }
}

/// Shared by the tasks that accept connections, which learn the addresses of peers, and by the
/// replica's handles, which change the configured ones.
pub(super) type Directory = Arc<Mutex<Addresses>>;

struct Peers {
    identity: Identity,
    keys: CellKeys,
    directory: Directory,
    links: HashMap<SocketAddr, mpsc::Sender<Message>>,
    /// Time without a pong after which a connection is closed.
    reply_timeout: Duration,
}

/// Starts the peer thread; it ends when the queue is dropped.
pub(super) fn spawn<M: StateMachine>(
    cfg: &ReplicaConfig,
    directory: Directory,
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
    let peers = Peers {
        identity,
        keys: cfg.keys.clone(),
        directory: directory.clone(),
        links: HashMap::new(),
        reply_timeout: cfg.election_timeout,
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
                Outgoing::To(in_log, message) => {
                    let (addr, other) = self.known().of(message.to, in_log);
                    if let Some(other) = other {
                        self.enqueue(other, message.clone());
                    }
                    if let Some(addr) = addr {
                        self.enqueue(addr, message);
                    }
                }
                Outgoing::ToAll(message, in_log) => {
                    let addrs = self.known().for_announcement(in_log);
                    for addr in addrs {
                        self.enqueue(addr, message.clone());
                    }
                }
            }
        }
    }

    fn known(&self) -> MutexGuard<'_, Addresses> {
        self.directory.lock().expect("no holder panics")
    }

    fn enqueue(&mut self, addr: SocketAddr, message: Message) {
        let link = self.links.entry(addr).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(LINK_QUEUE);
            let link = Link {
                addr,
                identity: self.identity,
                keys: self.keys.clone(),
                reply_timeout: self.reply_timeout,
            };
            tokio::spawn(link.run(rx));
            tx
        });
        if link.try_send(message).is_err() {
            metrics::counter!("yuccahold_replica_messages_dropped_total").increment(1);
        }
    }
}

/// An outgoing link to one peer; reconnects whenever the connection fails or a pong is missing.
struct Link {
    addr: SocketAddr,
    identity: Identity,
    keys: CellKeys,
    reply_timeout: Duration,
}

impl Link {
    async fn run(self, mut rx: mpsc::Receiver<Message>) {
        while let Some(message) = rx.recv().await {
            let connected = timeout(
                HANDSHAKE_TIMEOUT.min(self.reply_timeout * 2),
                self.connect(),
            )
            .await;
            match connected {
                Ok(Ok((reader, writer))) => {
                    let _ = self.run_connection(reader, writer, message, &mut rx).await;
                }
                Ok(Err(_)) | Err(_) => {
                    // The queued messages are stale; the core sends again what is still needed.
                    while rx.try_recv().is_ok() {}
                    tokio::time::sleep(self.reply_timeout / 8).await;
                }
            }
        }
    }

    async fn connect(&self) -> Result<(FrameReader, FrameWriter)> {
        let stream = wire::dial(self.addr, self.reply_timeout * 2).await?;
        let (reader, mut writer) = wire::client_handshake(stream, &self.keys).await?;
        writer.write(&LinkFrame::Hello(self.identity)).await?;
        Ok((reader, writer))
    }

    /// Sends messages until the connection fails or a ping is not answered in time.
    ///
    /// An established connection can stop passing data while new ones work. The sender would get no
    /// error and the peer would seem dead, so pings check the connection itself.
    async fn run_connection(
        &self,
        mut reader: FrameReader,
        mut writer: FrameWriter,
        first: Message,
        rx: &mut mpsc::Receiver<Message>,
    ) -> Result<()> {
        let (pong_tx, mut pongs) = mpsc::channel(4);
        let reading = tokio::spawn(async move {
            while let Ok(Some(LinkReply::Pong(number))) = reader.read().await {
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
                writer.queue(&LinkFrame::Message(message))?;
                while let Ok(message) = rx.try_recv() {
                    writer.queue(&LinkFrame::Message(message))?;
                }
                if pinged_at.is_none() && answered_at.elapsed() > self.reply_timeout / 2 {
                    ping += 1;
                    pinged_at = Some(Instant::now());
                    writer.queue(&LinkFrame::Ping(ping))?;
                }
                match timeout(self.reply_timeout, writer.flush()).await {
                    Ok(done) => done?,
                    Err(_) => return Err(self.timed_out()),
                }
            }
            let deadline = pinged_at.map(|at| at + self.reply_timeout);
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
                    None => return Err(self.timed_out()),
                },
                () = expired => return Err(self.timed_out()),
            }
        }
    }

    fn timed_out(&self) -> Error {
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
            // Most likely out of file descriptors; waits until some are released.
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
            LinkFrame::Hello(peer) => {
                let mut directory = directory.lock().expect("no holder panics");
                directory.connected(peer);
            }
            LinkFrame::Message(message) => {
                let sent = control.send(FromPeer(message)).detach().await;
                if sent.is_err() {
                    return Ok(());
                }
            }
            LinkFrame::Ping(number) => writer.write(&LinkReply::Pong(number)).await?,
        }
    }
    Ok(())
}
