//! The search for the leader, and the messages exchanged with it while it leads.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::calls::{AgentMessage, CallNumber, CallReply, CopyOutcome, OrderNumber, ServerMessage};
use super::dispatch::MinionAnswer;
use super::driver::{Minions, Policy, send_order};
use super::election_watch::{ElectedLeader, Members};
use super::hello::AgentHello;
use super::link::{AgentCalls, Contact, LeaderConnection, PendingCall};
use super::recent_reader::RecentReader;
use crate::error::{Error, Result, Step};
use crate::ids::Term;
use crate::replication::monotonic_now;
use crate::task::AbortOnDrop;
use crate::wire::{self, CellKeys, FrameWriter};

/// Timeout for opening and authenticating a connection and receiving the first message, with room
/// for slow hosts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which the next address is tried beside those that have not answered: several round
/// trips within a region. Hosts that are gone delay the search by no more than this, and only once.
const NEXT_AFTER: Duration = Duration::from_millis(50);
/// Delay after a pass over all known addresses that found no leader.
const PASS_DELAY: Duration = Duration::from_millis(60);
/// Time without an answer after which the peer is pinged while calls await answers. Its own messages
/// do not count: it may get none of ours.
const PING_AFTER: Duration = Duration::from_millis(350);
/// Time without an answer after which the peer is pinged on an idle connection.
const PING_AFTER_IDLE: Duration = Duration::from_millis(1500);
/// Time to wait for the answer to a ping while nothing arrives.
const PONG_TIMEOUT: Duration = Duration::from_millis(400);
/// Time to wait for the answer to a ping while other messages arrive: the peer may be busy.
const BUSY_PONG_TIMEOUT: Duration = Duration::from_millis(1000);

pub(super) struct LeaderSearch<M, P> {
    pub(super) contact: Contact,
    pub(super) seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// Addresses of the members, and of the connected leader.
    pub(super) members: watch::Sender<Members>,
    /// Newest leader reported by another member.
    pub(super) elected: watch::Receiver<Option<ElectedLeader>>,
    /// Highest term seen in messages of members.
    pub(super) term: Term,
    /// Address to try before all others: a member named it as the leader's.
    pub(super) next_addr: Option<SocketAddr>,
    /// A leader that was replaced while it was connected. It may still believe that it leads, so the
    /// next pass leaves it out.
    pub(super) deposed: Option<SocketAddr>,
    pub(super) keys: CellKeys,
    pub(super) calls: AgentCalls<M, P>,
    pub(super) current: watch::Sender<Option<LeaderConnection>>,
    pub(super) lost_at: Arc<Mutex<Instant>>,
    pub(super) log: Logger,
}

impl<M: Minions, P: Policy> LeaderSearch<M, P> {
    pub(super) async fn run(mut self) {
        loop {
            let Greeting {
                addr,
                reader,
                writer,
                ..
            } = self.find_leader().await;
            self.members
                .send_modify(|members| members.leader = Some(addr));
            info!(self.log, "leader found"; "leader" => %addr, "term" => self.term);
            let why = self.serve(addr, reader, writer).await;
            *self.lost_at.lock().expect("no holder panics") = Instant::now();
            self.current.send_replace(None);
            self.members.send_modify(|members| members.leader = None);
            let why = why.map_or_else(|e| e.to_string(), |()| "it no longer leads".to_owned());
            info!(self.log, "leader lost"; "leader" => %addr, "why" => why);
        }
    }

    /// Connects to the known addresses, one pass after another, until one leads. Within a pass each
    /// is tried at most once, so that members that name each other as the leader do not end the
    /// search.
    async fn find_leader(&mut self) -> Greeting {
        let mut attempts = JoinSet::new();
        let mut open = HashSet::new();
        let mut silent = HashSet::new();
        loop {
            let named = self.next_addr.take();
            let first = self.newly_elected().or(named);
            let mut known = self.addresses();
            known.sort_by_key(|addr| silent.contains(addr));
            let mut untried: VecDeque<_> = first.into_iter().chain(known).collect();
            let mut tried: HashSet<_> = self.deposed.take().into_iter().collect();
            loop {
                while let Some(addr) = untried.pop_front() {
                    if tried.insert(addr) && open.insert(addr) {
                        let greeting = greet(addr, self.keys.clone(), self.greetings());
                        attempts.spawn(async move { (addr, greeting.await) });
                        // Those that did not answer last time are not waited for.
                        if !silent.contains(&addr) {
                            break;
                        }
                    }
                }
                let pass_ended = untried.is_empty();
                let wait = if pass_ended { PASS_DELAY } else { NEXT_AFTER };
                tokio::select! {
                    Some(ended) = attempts.join_next() => {
                        let Ok((addr, greeting)) = ended else { continue };
                        open.remove(&addr);
                        let Ok(greeting) = greeting else {
                            silent.insert(addr);
                            continue;
                        };
                        silent.remove(&addr);
                        self.learn(&greeting);
                        if greeting.is_leader {
                            return greeting;
                        }
                        if let Some(addr) = self.next_addr.take() {
                            untried.push_front(addr);
                        }
                    }
                    Ok(()) = self.elected.changed() => {
                        if let Some(addr) = self.newly_elected() {
                            tried.remove(&addr);
                            untried.push_front(addr);
                        }
                    }
                    () = sleep(wait) => {
                        if pass_ended {
                            break;
                        }
                    }
                }
            }
        }
    }

    /// What is sent first on a connection.
    fn greetings(&self) -> Vec<AgentMessage> {
        let hello = AgentMessage::Hello(AgentHello::new(self.calls.zone.clone()));
        let relay = self.calls.relay_addr.map(AgentMessage::RelayAt);
        [hello].into_iter().chain(relay).collect()
    }

    fn learn(&mut self, greeting: &Greeting) {
        self.term = self.term.max(greeting.term);
        let members = greeting.members.clone();
        self.update_members(greeting.is_leader, greeting.leader, members, greeting.addr);
    }

    /// A reported leader with a higher term than any seen before; returned only once.
    fn newly_elected(&mut self) -> Option<SocketAddr> {
        let elected = (*self.elected.borrow_and_update())?;
        if elected.term <= self.term {
            return None;
        }
        self.term = elected.term;
        // It may not answer at once, and is named no second time.
        self.members.send_modify(|members| {
            members.all.insert(elected.addr);
        });
        Some(elected.addr)
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.lock().expect("no holder panics").clone();
        let members = self.members.borrow();
        let discovered = members.all.iter().copied().filter(|a| !seeds.contains(a));
        let discovered: Vec<_> = discovered.collect();
        seeds.into_iter().chain(discovered).collect()
    }

    fn update_members(
        &mut self,
        is_leader: bool,
        leader: Option<SocketAddr>,
        members: Vec<SocketAddr>,
        from: SocketAddr,
    ) {
        // Others may lag behind: a replica that was removed knows none of the present members, so its
        // list must not take their place.
        self.members.send_modify(|known| {
            if is_leader && !members.is_empty() {
                known.all.clear();
            }
            known.all.extend(members);
        });
        self.next_addr = leader.filter(|addr| !is_leader && *addr != from);
    }

    /// Exchanges messages with the leader until the connection fails or the peer no longer leads.
    async fn serve(
        &mut self,
        addr: SocketAddr,
        mut reader: RecentReader,
        mut writer: FrameWriter,
    ) -> Result<()> {
        let (tx, rx) = mpsc::unbounded_channel::<PendingCall>();
        let mut rx = Unwritten(rx);
        let (agent_tx, mut answers) = mpsc::unbounded_channel::<AgentMessage>();
        let (done_tx, mut done) = mpsc::unbounded_channel::<(OrderNumber, MinionAnswer)>();
        let (message_tx, mut messages) = mpsc::channel::<ServerMessage>(64);
        let reading = tokio::spawn(async move {
            while let Ok(Some(message)) = reader.read::<ServerMessage>().await {
                if message_tx.send(message).await.is_err() {
                    break;
                }
            }
        });
        let reading = AbortOnDrop(reading);
        self.current.send_replace(Some(LeaderConnection {
            calls: tx,
            addr,
            term: self.term,
        }));
        let mut open = OpenCalls::new();
        let mut number: CallNumber = 0;
        let mut last_received = Instant::now();
        // When the peer last showed that it gets our messages.
        let mut last_answered = last_received;
        let mut pinged_at: Option<Instant> = None;
        loop {
            let ping_after = if open.is_empty() {
                PING_AFTER_IDLE
            } else {
                PING_AFTER
            };
            let next_check = match pinged_at {
                None => last_answered + ping_after,
                Some(at) if last_received > at => at + BUSY_PONG_TIMEOUT,
                Some(at) => at + PONG_TIMEOUT,
            };
            tokio::select! {
                outgoing = rx.0.recv() => {
                    let Some(first) = outgoing else { return Ok(()) };
                    if open.is_empty() && pinged_at.is_none() {
                        last_answered = Instant::now();
                    }
                    let mut next = Some(first);
                    while let Some(PendingCall { call, until, reply }) = next {
                        next = rx.0.try_recv().ok();
                        if monotonic_now() > until {
                            let _ = reply.send(CallReply::NotLeader(None));
                            continue;
                        }
                        number += 1;
                        open.insert(number, reply);
                        writer.queue(&AgentMessage::Call(number, call))?;
                    }
                    flush(&mut writer).await?;
                }
                message = answers.recv() => {
                    if let Some(message) = message {
                        writer.queue(&message)?;
                        flush(&mut writer).await?;
                    }
                }
                first = done.recv() => {
                    if let Some(first) = first {
                        let mut answers = vec![first];
                        while let Ok(next) = done.try_recv() {
                            answers.push(next);
                        }
                        writer.queue(&AgentMessage::OrderAnswers(answers))?;
                        flush(&mut writer).await?;
                    }
                }
                message = messages.recv() => {
                    last_received = Instant::now();
                    if let Some(ServerMessage::Reply(..) | ServerMessage::Pong(_)) = message {
                        last_answered = last_received;
                        pinged_at = None;
                        *self.contact.answered.lock().expect("no holder panics") = last_received;
                    }
                    match message {
                        None => return Err(Error::new(Step::Transfer, "the connection ended")),
                        Some(ServerMessage::Reply(number, reply)) => {
                            let not_leader = matches!(reply, CallReply::NotLeader(_));
                            if let CallReply::NotLeader(leader) = &reply {
                                self.next_addr = *leader;
                            }
                            if let Some(tx) = open.remove(&number) {
                                let _ = tx.send(reply);
                            }
                            if not_leader {
                                tokio::spawn(read_last_replies(messages, open, reading));
                                return Ok(());
                            }
                        }
                        Some(ServerMessage::Lead { is_leader, term, leader, members }) => {
                            self.term = self.term.max(term);
                            let from = writer.peer().parse();
                            if let Ok(from) = from {
                                self.update_members(is_leader, leader, members, from);
                            }
                            if !is_leader {
                                tokio::spawn(read_last_replies(messages, open, reading));
                                return Ok(());
                            }
                        }
                        Some(ServerMessage::Advise(question)) => {
                            let (policy, agent_tx) = (self.calls.policy.clone(), agent_tx.clone());
                            tokio::spawn(async move {
                                let advice = policy.advise(&question).await;
                                let _ = agent_tx.send(AgentMessage::Advice(question.id, advice));
                            });
                        }
                        Some(ServerMessage::Orders(orders)) => {
                            for (number, target, order) in orders {
                                let (minions, done) = (self.calls.minions.clone(), done_tx.clone());
                                tokio::spawn(async move {
                                    let answer = send_order(&minions, &target, &order).await;
                                    let _ = done.send((number, answer));
                                });
                            }
                        }
                        Some(ServerMessage::Relays(relays)) => {
                            *self.contact.relays.lock().expect("no holder panics") = relays;
                        }
                        Some(ServerMessage::Pong(_)) => {}
                    }
                }
                Ok(()) = self.elected.changed() => {
                    if let Some(elected) = self.newly_elected() {
                        // The old leader may hang, so its answers are not waited for: that would
                        // delay the copies of the open calls for the new one.
                        self.next_addr = Some(elected);
                        self.deposed = Some(addr).filter(|old| *old != elected);
                        return Err(Error::new(Step::Transfer, "another leader was elected"));
                    }
                }
                () = sleep_until(next_check) => {
                    // An established connection can stall permanently while new ones work.
                    if pinged_at.is_some() {
                        return Err(Error::new(Step::Transfer, "the connection fell silent"));
                    }
                    pinged_at = Some(Instant::now());
                    writer.queue(&AgentMessage::Ping(number))?;
                    flush(&mut writer).await?;
                }
            }
        }
    }
}

/// A connection to a control daemon, and what it said first.
struct Greeting {
    addr: SocketAddr,
    reader: RecentReader,
    writer: FrameWriter,
    is_leader: bool,
    term: Term,
    leader: Option<SocketAddr>,
    members: Vec<SocketAddr>,
}

async fn greet(addr: SocketAddr, keys: CellKeys, first: Vec<AgentMessage>) -> Result<Greeting> {
    let began = monotonic_now();
    let greeted = timeout(CONNECT_TIMEOUT, async {
        let stream = wire::dial(addr, PONG_TIMEOUT * 2).await?;
        let (reader, mut writer) = wire::client_handshake(stream, &keys).await?;
        let mut reader = RecentReader::new(began, reader);
        for message in &first {
            writer.write(message).await?;
        }
        match reader.read::<ServerMessage>().await? {
            Some(ServerMessage::Lead {
                is_leader,
                term,
                leader,
                members,
            }) => Ok(Greeting {
                addr,
                reader,
                writer,
                is_leader,
                term,
                leader,
                members,
            }),
            _ => Err(Error::new(Step::Handshake, "the peer sent no greeting").with_peer(addr)),
        }
    });
    let in_time = greeted.await;
    in_time.map_err(|_| Error::new(Step::Connect, "no greeting in time").with_peer(addr))?
}

/// Calls that are not written to the connection yet. When it ends, they are answered as not run;
/// those that were written have an unknown outcome.
struct Unwritten(mpsc::UnboundedReceiver<PendingCall>);

impl Drop for Unwritten {
    fn drop(&mut self) {
        self.0.close();
        while let Ok(pending) = self.0.try_recv() {
            // The caller may have stopped waiting.
            let _ = pending.reply.send(CallReply::NotLeader(None));
        }
    }
}

/// Calls that were written to a connection and have no answer yet.
type OpenCalls = HashMap<CallNumber, oneshot::Sender<CallReply>>;

/// Reads the answers that a peer that does not lead still gives to open calls, for at most
/// `PONG_TIMEOUT`: it answers each with `NotLeader`, or with what became of it while it led.
///
/// Orders and questions end the connection. The peer then gives them to other agents; it would wait
/// for their answers otherwise.
async fn read_last_replies(
    mut messages: mpsc::Receiver<ServerMessage>,
    mut open: OpenCalls,
    _reading: AbortOnDrop,
) {
    let end = Instant::now() + PONG_TIMEOUT;
    while !open.is_empty() {
        match timeout_at(end, messages.recv()).await {
            Ok(Some(ServerMessage::Reply(number, reply))) => {
                let tx = open.remove(&number);
                // Without an answer, the caller asks the next leader, which may know the outcome.
                if let Some(tx) = tx
                    && reply.copy_outcome() != CopyOutcome::Unknown
                {
                    let _ = tx.send(reply);
                }
            }
            Ok(Some(
                ServerMessage::Lead { .. } | ServerMessage::Relays(_) | ServerMessage::Pong(_),
            )) => {}
            Ok(Some(ServerMessage::Orders(_) | ServerMessage::Advise(_)) | None) | Err(_) => return,
        }
    }
}

async fn flush(writer: &mut FrameWriter) -> Result<()> {
    match timeout(PONG_TIMEOUT, writer.flush()).await {
        Ok(done) => done,
        Err(_) => Err(Error::new(Step::Transfer, "the peer does not read")),
    }
}
