//! The control daemon's side of calls: answers entry hosts and followers, and its own HTTP face.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use slog::{Logger, debug};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::agents::{AgentId, Agents};
use super::calls::{Call, CallReply, ClientReply, Down, OperatorReply, RETRY_AFTER, Up};
use super::ledger::{Command, Reply};
use super::link::{LeaderLink, NoAnswer};
use super::machine::{Admission, Machine};
use crate::error::{Error, Result, Step};
use crate::ids::ZoneName;
use crate::replication::{ProposeError, ReadError, ReplicaHandle, ReplicaStatus};
use crate::task::AbortOnDrop;
use crate::wire::{self, CellKeys, FrameReader, FrameWriter};

/// Time for a new connection to prove itself.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept: out of descriptors, most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Time for a peer to take what it is sent, after which it counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence after which a peer counts as gone. A healthy one asks for a sign of life within 2 s when
/// nothing else is said, and a hold that it sends on is answered within 2.3 s. A connection can fall
/// silent without a reset, and its peer may be lost for good: orders to minions and questions went
/// on being given to it, each to be lost.
const PEER_SILENCE: Duration = Duration::from_secs(5);

/// Answers calls on the state that this replica holds.
#[derive(Clone)]
pub struct CallServer {
    replica: ReplicaHandle<Machine>,
    keys: CellKeys,
    agents: Agents,
    /// Address of this machine.
    own: IpAddr,
    connections: Arc<AtomicU64>,
    log: Logger,
}

impl CallServer {
    /// A server in front of a replica.
    pub fn new(
        replica: ReplicaHandle<Machine>,
        keys: CellKeys,
        agents: Agents,
        own: IpAddr,
        log: Logger,
    ) -> Self {
        Self {
            replica,
            keys,
            agents,
            own,
            connections: Arc::default(),
            log,
        }
    }

    /// Whether this replica leads, as far as it knows.
    pub fn leads(&self) -> bool {
        let status = self.replica.status();
        let status = status.borrow();
        status.leader == Some(status.id)
    }

    /// Answers one call if this replica leads.
    pub async fn answer(&self, call: Call) -> CallReply {
        match call {
            Call::Client(call) => {
                let admitted = self.replica.leased(move |m, _| m.admit(call)).await;
                match admitted {
                    Ok(Admission::Answer(reply)) => CallReply::Client(reply),
                    Ok(Admission::Propose(command)) => self.propose_for_client(*command).await,
                    Err(e) => not_leader(&e),
                }
            }
            Call::Report(report) => {
                let told = self.replica.leased(move |m, now| m.report(now, *report));
                accepted(told.await)
            }
            Call::Left(id) => {
                let told = self.replica.leased(move |m, now| m.left(now, &id));
                accepted(told.await)
            }
            Call::PutConfig(order) => {
                let version = order.version;
                let newer = self.replica.leased(move |m, _| m.is_newer(version)).await;
                match newer {
                    Ok(false) => CallReply::Operator(OperatorReply::Accepted),
                    Ok(true) => {
                        let command = Command::PutConfig {
                            version: order.version,
                            document: order.document,
                            parsed: order.parsed,
                        };
                        self.propose_for_operator(command).await
                    }
                    Err(e) => not_leader(&e),
                }
            }
            Call::GetConfig => match self.replica.leased(|m, _| m.config_document()).await {
                Ok(reply) => CallReply::Operator(reply),
                Err(e) => not_leader(&e),
            },
        }
    }

    async fn propose_for_client(&self, command: Command) -> CallReply {
        match self.propose(command).await {
            Ok(Reply::Accepted) => CallReply::Client(ClientReply::Accepted),
            Ok(Reply::Unknown) => CallReply::Client(ClientReply::Gone),
            Ok(Reply::IdTaken) => CallReply::Client(ClientReply::IdTaken),
            Err(ProposeError::NotLeader { leader }) => CallReply::NotLeader(leader),
            Err(ProposeError::Overloaded(_)) => {
                CallReply::Client(ClientReply::Unavailable(RETRY_AFTER))
            }
            Err(ProposeError::Unknown | ProposeError::Stopping) => {
                CallReply::Client(ClientReply::InDoubt)
            }
        }
    }

    async fn propose_for_operator(&self, command: Command) -> CallReply {
        match self.propose(command).await {
            Ok(_) => CallReply::Operator(OperatorReply::Accepted),
            Err(ProposeError::NotLeader { leader }) => CallReply::NotLeader(leader),
            Err(_) => CallReply::Operator(OperatorReply::Unavailable),
        }
    }

    async fn propose(&self, command: Command) -> Result<Reply, ProposeError> {
        let bytes = command
            .to_bytes()
            .map_err(|_| ProposeError::Overloaded("the command cannot be encoded"))?;
        self.replica.propose(bytes).await
    }

    /// Accepts connections for as long as the process lives.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = self.clone();
                    tokio::spawn(async move {
                        if let Err(e) = server.connection(stream).await {
                            debug!(server.log, "a connection ended"; "error" => %e);
                        }
                    });
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn connection(&self, stream: TcpStream) -> Result<()> {
        let accepted = timeout(HANDSHAKE_TIMEOUT, wire::accept(stream, &self.keys)).await;
        let (reader, writer) = accepted
            .map_err(|_| Error::new(Step::Handshake, "the peer did not prove itself in time"))??;
        let id = self.connections.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        let writing = tokio::spawn(write_all(writer, rx));
        let done = self.read_all(reader, id, &tx).await;
        let (orders, questions) = self.agents.remove(id);
        let agents = self.agents.count();
        let lost = self.replica.inform(move |m, now| {
            m.set_agents(agents);
            m.answered(now, orders);
            for question in questions {
                m.advised(now, question, None);
            }
        });
        lost.await;
        drop(tx);
        writing.abort();
        done
    }

    async fn add_agent(
        &self,
        id: AgentId,
        tx: &mpsc::UnboundedSender<Down>,
        zone: &ZoneName,
        own: bool,
    ) {
        self.agents.add(id, tx.clone(), zone.clone(), own);
        let agents = self.agents.count();
        self.replica.inform(move |m, _| m.set_agents(agents)).await;
    }

    async fn read_all(
        &self,
        mut reader: FrameReader,
        id: u64,
        tx: &mpsc::UnboundedSender<Down>,
    ) -> Result<()> {
        let mut status = self.replica.status();
        let (mut last, message) = greeting(&status.borrow_and_update());
        let _ = tx.send(message);
        // Only processes that say hello take orders; others listen for changes of leader.
        let mut zone: Option<ZoneName> = None;
        let own = reader.peer().split(':').next() == Some(self.own.to_string().as_str());
        let (frames_tx, mut frames) = mpsc::channel::<Up>(64);
        let reading = tokio::spawn(async move {
            while let Ok(Some(up)) = reader.read::<Up>().await {
                if frames_tx.send(up).await.is_err() {
                    break;
                }
            }
        });
        let _reading = AbortOnDrop(reading);
        let mut heard = Instant::now();
        loop {
            tokio::select! {
                up = frames.recv() => {
                    heard = Instant::now();
                    match up {
                        None => return Ok(()),
                        Some(Up::Hello(named)) => {
                            if last.0 {
                                self.add_agent(id, tx, &named, own).await;
                            }
                            zone = Some(named);
                        }
                        Some(up) => self.take(id, tx, up).await,
                    }
                }
                () = sleep_until(heard + PEER_SILENCE) => {
                    return Err(Error::new(Step::Transfer, "the connection fell silent"));
                }
                () = tx.closed() => {
                    return Err(Error::new(Step::Transfer, "the peer does not read"));
                }
                changed = status.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let (next, message) = greeting(&status.borrow_and_update());
                    if next != last {
                        let _ = tx.send(message);
                        if let Some(zone) = &zone
                            && next.0
                            && !last.0
                        {
                            self.add_agent(id, tx, zone, own).await;
                        }
                        last = next;
                    }
                }
            }
        }
    }

    /// Takes a message of a peer that has said who it is.
    async fn take(&self, id: AgentId, tx: &mpsc::UnboundedSender<Down>, up: Up) {
        match up {
            Up::Call(number, call) => {
                let (server, tx) = (self.clone(), tx.clone());
                tokio::spawn(async move {
                    let reply = server.answer(call).await;
                    let _ = tx.send(Down::Reply(number, reply));
                });
            }
            Up::Done(answers) => {
                let answers = self.agents.done(id, answers);
                let told = self.replica.inform(move |m, now| m.answered(now, answers));
                told.await;
            }
            Up::Advised(question, advice) => {
                self.agents.answered(id, question);
                let told = self
                    .replica
                    .inform(move |m, now| m.advised(now, question, advice));
                told.await;
            }
            Up::Ping(number) => {
                let _ = tx.send(Down::Pong(number));
            }
            // The caller takes it.
            Up::Hello(_) => {}
        }
    }
}

type Known = (bool, Option<SocketAddr>, Vec<SocketAddr>);

fn greeting(status: &ReplicaStatus) -> (Known, Down) {
    let here = status.leader == Some(status.id);
    let known = (here, status.leader_addr, status.call_addrs.clone());
    let message = Down::Lead {
        here,
        term: status.term,
        leader: status.leader_addr,
        members: status.call_addrs.clone(),
    };
    (known, message)
}

fn not_leader(e: &ReadError) -> CallReply {
    match e {
        ReadError::NotLeader { leader } => CallReply::NotLeader(*leader),
        ReadError::Stopping => CallReply::NotLeader(None),
    }
}

fn accepted(told: Result<(), ReadError>) -> CallReply {
    match told {
        Ok(()) => CallReply::Operator(OperatorReply::Accepted),
        Err(e) => not_leader(&e),
    }
}

async fn write_all(mut writer: FrameWriter, mut rx: mpsc::UnboundedReceiver<Down>) {
    while let Some(first) = rx.recv().await {
        if writer.queue(&first).is_err() {
            return;
        }
        while let Ok(next) = rx.try_recv() {
            if writer.queue(&next).is_err() {
                return;
            }
        }
        match timeout(WRITE_TIMEOUT, writer.flush()).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}

/// Reaches the leader from a control daemon: directly when it leads itself, over the link
/// otherwise.
#[derive(Clone)]
pub struct ToLeader {
    /// Answers when this replica leads.
    pub local: CallServer,
    /// The way to another leader.
    pub link: LeaderLink,
}

impl ToLeader {
    /// Calls the leader, whoever it is.
    pub async fn call(&self, call: Call, deadline: Instant) -> Result<CallReply, NoAnswer> {
        if self.local.leads() {
            match timeout(deadline - Instant::now(), self.local.answer(call.clone())).await {
                Ok(CallReply::NotLeader(_)) => {}
                Ok(reply) => return Ok(reply),
                Err(_) => return Err(NoAnswer::InDoubt),
            }
        }
        self.link.call(call, deadline).await
    }
}
