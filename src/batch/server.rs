//! The control daemon's server for calls of entry hosts, followers, and its own HTTP server.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use slog::{Logger, debug, info};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::agents::{AgentId, Agents};
use super::calls::{AgentMessage, Call, CallReply, OperatorReply, ServerMessage};
use super::client_calls::PendingSubmissions;
use super::hello::AgentHello;
use super::ledger::{Command, Reply};
use super::link::{CallError, LeaderLink};
use super::machine::Machine;
use super::recent_reader::{PEER_TIMEOUT, RecentReader};
use super::report_batch::{LeaderCalls, Outcome};
use crate::error::{Error, Result, Step};
use crate::ids::Timestamp;
use crate::replication::{ProposeError, ReadError, ReplicaHandle, ReplicaStatus, monotonic_now};
use crate::task::AbortOnDrop;
use crate::telemetry::LineLimit;
use crate::wire::{self, CellKeys, FrameWriter};

/// Timeout for the authentication of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept, most likely for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout for writing to a peer; then the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time from reading a caller's request to appending its command. Only a process that was
/// stopped in between takes longer.
const MAX_CALL_AGE: Duration = Duration::from_secs(10);
/// Most log lines a second about changes that were not accepted.
const MAX_REFUSAL_LINES: u32 = 20;

/// Voters without which a group acknowledges no configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinVoters {
    /// For the first configuration.
    pub first: usize,
    /// For all others.
    pub later: usize,
}

impl MinVoters {
    /// The same number for each configuration.
    pub fn all(voters: usize) -> Self {
        Self {
            first: voters,
            later: voters,
        }
    }
}

/// Answers calls from this replica's state; clones share it.
#[derive(Clone)]
pub struct CallServer {
    pub(super) replica: ReplicaHandle<Machine>,
    keys: CellKeys,
    agents: Agents,
    /// Address of this host; agents that connect from it are not given orders.
    host_ip: IpAddr,
    connections: Arc<AtomicU64>,
    /// Number of voters below which no configuration is accepted.
    min_voters: MinVoters,
    pub(super) pending: PendingSubmissions,
    pub(super) refusals: LineLimit,
    pub(super) log: Logger,
}

impl CallServer {
    /// Creates a server for a replica on the host with the address `host_ip`.
    pub fn new(
        replica: ReplicaHandle<Machine>,
        keys: CellKeys,
        agents: Agents,
        host_ip: IpAddr,
        log: Logger,
    ) -> Self {
        Self {
            replica,
            keys,
            agents,
            host_ip,
            connections: Arc::default(),
            min_voters: MinVoters::all(1),
            pending: PendingSubmissions::default(),
            refusals: LineLimit::per_second(MAX_REFUSAL_LINES),
            log,
        }
    }

    /// Accepts configurations only while the group has this many voters. A group begins with one, and
    /// what it acknowledged would be lost with a single disk.
    pub fn require_voters(mut self, min_voters: MinVoters) -> Self {
        self.min_voters = min_voters;
        self
    }

    /// Whether the group has too few voters for a configuration, the first one or a later one.
    fn is_forming(&self, has_config: bool) -> bool {
        let needed = match has_config {
            true => self.min_voters.later,
            false => self.min_voters.first,
        };
        self.replica.status().borrow().voters.len() < needed
    }

    /// Whether this replica believes that it leads; another one may already have been elected.
    pub fn leads(&self) -> bool {
        let status = self.replica.status();
        let status = status.borrow();
        status.leader == Some(status.id)
    }

    /// Answers a call, with `NotLeader` unless this replica leads.
    pub async fn answer(&self, call: Call) -> CallReply {
        self.answer_received(monotonic_now(), call).await
    }

    /// Answers a call that was read at `received`, in monotonic time.
    async fn answer_received(&self, received: Timestamp, call: Call) -> CallReply {
        match call {
            Call::Client(call) => self.answer_client(received + MAX_CALL_AGE, call).await,
            Call::Report(report) => {
                let reported = self.replica.leased(move |m, at| m.report(at.now, *report));
                accepted(reported.await)
            }
            Call::Reports(reports) => {
                let reported = self.replica.leased(move |m, at| {
                    for report in reports {
                        m.report(at.now, report);
                    }
                });
                accepted(reported.await)
            }
            Call::Left(id) => {
                let reported = self.replica.leased(move |m, at| m.minion_left(at.now, &id));
                accepted(reported.await)
            }
            Call::PutConfig(order) => {
                let version = order.version;
                let held = self
                    .replica
                    .leased(move |m, _| (m.is_newer(version), m.has_config()));
                match held.await {
                    Ok((false, _)) => CallReply::Operator(OperatorReply::Accepted),
                    Ok((true, has_config)) if self.is_forming(has_config) => {
                        info!(self.log, "configuration refused while the group is forming";
                            "version" => version);
                        CallReply::Operator(OperatorReply::Unavailable)
                    }
                    Ok((true, _)) => {
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

    async fn propose_for_operator(&self, command: Command) -> CallReply {
        match self.propose(Timestamp::MAX, command).await {
            Ok(_) => CallReply::Operator(OperatorReply::Accepted),
            Err(ProposeError::NotLeader { leader }) => CallReply::NotLeader(leader),
            Err(_) => CallReply::Operator(OperatorReply::Unavailable),
        }
    }

    pub(super) async fn propose(
        &self,
        until: Timestamp,
        command: Command,
    ) -> Result<Reply, ProposeError> {
        let bytes = command
            .to_bytes()
            .map_err(|_| ProposeError::Overloaded("the command cannot be encoded"))?;
        self.replica.propose_until(until, bytes).await
    }

    /// Accepts connections; never returns.
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
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    async fn connection(&self, stream: TcpStream) -> Result<()> {
        let began = monotonic_now();
        let accepted = timeout(HANDSHAKE_TIMEOUT, wire::accept(stream, &self.keys)).await;
        let (reader, writer) = accepted
            .map_err(|_| Error::new(Step::Handshake, "the peer did not authenticate in time"))??;
        let id = self.connections.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        let writing = tokio::spawn(write_all(writer, rx));
        let done = self
            .read_all(RecentReader::new(began, reader), id, &tx)
            .await;
        let unanswered = self.agents.remove(id);
        let agents = self.agents.count();
        let reported = self.replica.update_machine(move |m, now| {
            m.set_agents(agents);
            m.unanswered(now, unanswered);
        });
        reported.await;
        drop(tx);
        writing.abort();
        done
    }

    async fn add_agent(
        &self,
        id: AgentId,
        tx: &mpsc::UnboundedSender<ServerMessage>,
        hello: &AgentHello,
        relay: Option<SocketAddr>,
        on_this_host: bool,
    ) {
        self.agents.add(id, tx.clone(), hello.clone(), on_this_host);
        if let Some(addr) = relay {
            self.agents.set_relay(id, addr);
        }
        let agents = self.agents.count();
        self.replica
            .update_machine(move |m, _| m.set_agents(agents))
            .await;
    }

    async fn read_all(
        &self,
        mut reader: RecentReader,
        id: u64,
        tx: &mpsc::UnboundedSender<ServerMessage>,
    ) -> Result<()> {
        let mut status = self.replica.status();
        let (mut last_sent, message) = lead_message(&status.borrow_and_update());
        let _ = tx.send(message);
        // Peers that send a hello act as agents; others only follow leader changes.
        let mut hello: Option<AgentHello> = None;
        let mut relay: Option<SocketAddr> = None;
        let on_this_host =
            reader.peer().split(':').next() == Some(self.host_ip.to_string().as_str());
        let (frames_tx, mut frames) = mpsc::channel::<(Timestamp, AgentMessage)>(64);
        let reading = tokio::spawn(async move {
            while let Ok(Some(message)) = reader.read::<AgentMessage>().await {
                if frames_tx.send((monotonic_now(), message)).await.is_err() {
                    break;
                }
            }
        });
        let _reading = AbortOnDrop(reading);
        let mut last_received = Instant::now();
        loop {
            tokio::select! {
                message = frames.recv() => {
                    last_received = Instant::now();
                    self.agents.heard(id, monotonic_now());
                    let Some((received, message)) = message else {
                        return Ok(());
                    };
                    match message {
                        AgentMessage::Hello(sent) => {
                            if last_sent.0 {
                                self.add_agent(id, tx, &sent, relay, on_this_host).await;
                            }
                            hello = Some(sent);
                        }
                        AgentMessage::RelayAt(addr) => {
                            relay = Some(addr);
                            self.agents.set_relay(id, addr);
                        }
                        message => self.handle(id, tx, received, message).await,
                    }
                }
                () = sleep_until(last_received + PEER_TIMEOUT) => {
                    return Err(Error::new(Step::Transfer, "the connection fell silent"));
                }
                () = tx.closed() => {
                    return Err(Error::new(Step::Transfer, "the peer does not read"));
                }
                changed = status.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let (next, message) = lead_message(&status.borrow_and_update());
                    if next != last_sent {
                        let _ = tx.send(message);
                        if let Some(hello) = &hello
                            && next.0
                            && !last_sent.0
                        {
                            self.add_agent(id, tx, hello, relay, on_this_host).await;
                        }
                        last_sent = next;
                    }
                }
            }
        }
    }

    /// Handles a message other than a hello.
    async fn handle(
        &self,
        id: AgentId,
        tx: &mpsc::UnboundedSender<ServerMessage>,
        received: Timestamp,
        message: AgentMessage,
    ) {
        match message {
            AgentMessage::Call(number, call) => {
                let (server, tx) = (self.clone(), tx.clone());
                tokio::spawn(async move {
                    let reply = server.answer_received(received, call).await;
                    let _ = tx.send(ServerMessage::Reply(number, reply));
                });
            }
            AgentMessage::OrderAnswers(answers) => {
                let outcomes = self.agents.orders_answered(id, answers);
                let reported = self
                    .replica
                    .update_machine(move |m, now| m.orders_answered(now, outcomes));
                reported.await;
            }
            AgentMessage::Advice(question, advice) => {
                self.agents.question_answered(id, question);
                let reported = self
                    .replica
                    .update_machine(move |m, now| m.advice_received(now, question, advice));
                reported.await;
            }
            AgentMessage::Ping(number) => {
                let _ = tx.send(ServerMessage::Pong(number));
            }
            // Handled by `read_all`.
            AgentMessage::Hello(_) | AgentMessage::RelayAt(_) => {}
            // Only relays take these.
            AgentMessage::Relayed(number, ..) => {
                let refused = CallReply::NotLeader(None);
                let _ = tx.send(ServerMessage::Reply(number, refused));
            }
        }
    }
}

/// Whether this replica leads, the leader's address, and the addresses of the members.
type LeaderInfo = (bool, Option<SocketAddr>, Vec<SocketAddr>);

fn lead_message(status: &ReplicaStatus) -> (LeaderInfo, ServerMessage) {
    let is_leader = status.leader == Some(status.id);
    let info = (is_leader, status.leader_addr, status.call_addrs.clone());
    let message = ServerMessage::Lead {
        is_leader,
        term: status.term,
        leader: status.leader_addr,
        members: status.call_addrs.clone(),
    };
    (info, message)
}

pub(super) fn not_leader(e: &ReadError) -> CallReply {
    match e {
        ReadError::NotLeader { leader } => CallReply::NotLeader(*leader),
        ReadError::Stopping => CallReply::NotLeader(None),
    }
}

fn accepted(reported: Result<(), ReadError>) -> CallReply {
    match reported {
        Ok(()) => CallReply::Operator(OperatorReply::Accepted),
        Err(e) => not_leader(&e),
    }
}

async fn write_all(mut writer: FrameWriter, mut rx: mpsc::UnboundedReceiver<ServerMessage>) {
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

/// Client of the leader in a control daemon: calls this replica directly while it leads, and
/// another leader over the link.
#[derive(Clone)]
pub struct LeaderClient {
    /// Used while this replica leads.
    pub local: CallServer,
    /// Used while another replica leads.
    pub link: LeaderLink,
}

impl LeaderCalls for LeaderClient {
    async fn call(&self, call: Call, deadline: Instant) -> Outcome {
        if self.local.leads() {
            match timeout(deadline - Instant::now(), self.local.answer(call.clone())).await {
                Ok(CallReply::NotLeader(_)) => {}
                Ok(reply) => return Ok(reply),
                Err(_) => return Err(CallError::of_unanswered(&call)),
            }
        }
        if !self.link.is_connected() {
            // The seeds may be gone, or may not know the leader, while this replica does.
            let members = self.local.replica.status().borrow().call_addrs.clone();
            self.link.learn_members(&members);
        }
        self.link.call(call, deadline).await
    }
}
