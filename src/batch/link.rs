//! The connection of entry hosts and followers to the leader. It is reestablished whenever it
//! breaks, its peer stops answering, or its peer no longer leads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::calls::{
    AgentMessage, Call, CallNumber, CallReply, OrderNumber, RETRY_AFTER, ServerMessage,
};
use super::dispatch::MinionAnswer;
use super::driver::{Minions, Policy, send_order};
use super::election_watch::{ElectedLeader, Members, watch_elections};
use crate::error::{Error, Result, Step};
use crate::ids::{Term, ZoneName};
use crate::task::AbortOnDrop;
use crate::wire::{self, CellKeys, FrameReader, FrameWriter};

/// Timeout for opening and authenticating a connection and receiving the first message, in the
/// first pass over all addresses: several round trips within a region. An unreachable peer delays
/// the search by no more than this.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The same timeout in later passes, with room for slow hosts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after a pass over all known addresses that found no leader.
const PASS_DELAY: Duration = Duration::from_millis(60);
/// Time without messages after which the peer is pinged while calls await answers.
const PING_AFTER: Duration = Duration::from_millis(350);
/// Time without messages after which the peer is pinged on an idle connection.
const PING_AFTER_IDLE: Duration = Duration::from_millis(1500);
/// Time to wait for the answer to a ping.
const PONG_TIMEOUT: Duration = Duration::from_millis(400);

/// How long calls wait for a new leader, counted from the loss of the last one: nearly all leader
/// changes complete within this time. Later calls are refused immediately: waiting would likely be
/// useless, and their callers can be asked to retry instead.
const LEADER_WAIT: Duration = Duration::from_secs(1);
/// Maximum retry delay given to callers; the longest simultaneous outages of all control hosts last
/// about twice as long.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time for which a call may wait for a leader after there has been none for `leaderless`.
pub fn leader_wait(leaderless: Duration) -> Duration {
    LEADER_WAIT.saturating_sub(leaderless)
}

/// Retry delay for a caller after there has been no leader for `leaderless`. An outage that has
/// lasted for some time is expected to last about as long again; with a delay of one second,
/// callers would use up their retries before an outage of four seconds ends.
pub fn retry_after(leaderless: Duration) -> Duration {
    leaderless.clamp(RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Reason why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The call changed nothing: it was never sent, or it only reads.
    NotRun,
    /// The call was sent and may have been executed.
    InDoubt,
}

impl CallError {
    /// The error for a call that was sent and not answered.
    pub(super) fn of_unanswered(call: &Call) -> Self {
        if call.is_read() {
            Self::NotRun
        } else {
            Self::InDoubt
        }
    }
}

/// What this process needs to act as an agent of the leader.
#[derive(Clone)]
pub struct AgentCalls<M, P> {
    /// Client for calls to minions.
    pub minions: M,
    /// Client for questions to the policy service.
    pub policy: P,
    /// Availability zone of this process.
    pub zone: ZoneName,
}

struct PendingCall {
    call: Call,
    reply: oneshot::Sender<CallReply>,
}

/// Handle for calls to the leader; cheap to clone.
#[derive(Clone)]
pub struct LeaderLink {
    current: CurrentLeader,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// When the last leader was lost; before the first one is found, when the search began.
    lost_at: Arc<Mutex<Instant>>,
}

impl LeaderLink {
    /// Starts searching for the leader, from the seed addresses.
    pub fn start(
        seeds: Vec<SocketAddr>,
        keys: CellKeys,
        calls: AgentCalls<impl Minions, impl Policy>,
        log: Logger,
    ) -> Self {
        let (tx, current) = watch::channel(None);
        let seeds = Arc::new(Mutex::new(seeds));
        let lost_at = Arc::new(Mutex::new(Instant::now()));
        let (members, known_members) = watch::channel(Members::default());
        let (elected_tx, elected) = watch::channel(None);
        tokio::spawn(watch_elections(known_members, keys.clone(), elected_tx));
        let search = LeaderSearch {
            seeds: Arc::clone(&seeds),
            members,
            elected,
            term: 0,
            next_addr: None,
            keys,
            calls,
            current: tx,
            lost_at: Arc::clone(&lost_at),
            log,
        };
        tokio::spawn(search.run());
        Self {
            current,
            seeds,
            lost_at,
        }
    }

    /// Replaces the seed addresses; effective from the next search.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().expect("no holder panics") = seeds;
    }

    /// Whether there is a connection to a leader now.
    pub fn is_connected(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// Time since the loss of the last leader; `None` while one is connected.
    pub fn leaderless_for(&self, now: Instant) -> Option<Duration> {
        let lost_at = *self.lost_at.lock().expect("no holder panics");
        (!self.is_connected()).then(|| now.saturating_duration_since(lost_at))
    }

    /// Calls the current leader until one answers or the deadline passes. A call that has changed
    /// nothing is given up once there has been no leader for `LEADER_WAIT`.
    ///
    /// A call whose connection broke is sent again to the next leader. That is safe because every
    /// call is idempotent: a job by its id, a configuration by its version, a report by its
    /// sequence number.
    pub async fn call(&self, call: Call, deadline: Instant) -> Result<CallReply, CallError> {
        let mut current = self.current.clone();
        let mut no_answer = CallError::NotRun;
        let if_sent = CallError::of_unanswered(&call);
        loop {
            let until = match no_answer {
                CallError::NotRun => deadline.min(self.leader_wait_end()),
                CallError::InDoubt => deadline,
            };
            let connected = timeout_at(until, current.wait_for(Option::is_some)).await;
            let Ok(Ok(tx)) = connected.map(|found| found.map(|tx| tx.clone())) else {
                return Err(no_answer);
            };
            let Some(tx) = tx else { continue };
            let (reply, rx) = oneshot::channel();
            let call = call.clone();
            if tx.send(PendingCall { call, reply }).is_err() {
                wait_for_change(&mut current, &tx, deadline).await;
                continue;
            }
            match timeout_at(deadline, rx).await {
                Ok(Ok(CallReply::NotLeader(_))) => {
                    // Nothing was done. `LeaderSearch` finds the new leader in the background.
                    wait_for_change(&mut current, &tx, deadline).await;
                }
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(_)) => no_answer = if_sent,
                Err(_) => return Err(if_sent),
            }
        }
    }

    /// When a call that waits for a leader is given up.
    fn leader_wait_end(&self) -> Instant {
        let now = Instant::now();
        now + leader_wait(self.leaderless_for(now).unwrap_or_default())
    }
}

/// Waits until the connection `old` is lost or replaced.
async fn wait_for_change(
    current: &mut CurrentLeader,
    old: &mpsc::UnboundedSender<PendingCall>,
    deadline: Instant,
) {
    let other = |now: &Option<mpsc::UnboundedSender<PendingCall>>| {
        now.as_ref().is_none_or(|tx| !tx.same_channel(old))
    };
    let _ = timeout_at(deadline, current.wait_for(other)).await;
}

/// The connection to the leader; `None` while there is none.
type CurrentLeader = watch::Receiver<Option<mpsc::UnboundedSender<PendingCall>>>;

struct LeaderSearch<M, P> {
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// Addresses of the members, and of the connected leader.
    members: watch::Sender<Members>,
    /// Newest leader reported by another member.
    elected: watch::Receiver<Option<ElectedLeader>>,
    /// Highest term seen in messages of members.
    term: Term,
    /// Address to try before all others: a member named it as the leader's.
    next_addr: Option<SocketAddr>,
    keys: CellKeys,
    calls: AgentCalls<M, P>,
    current: watch::Sender<Option<mpsc::UnboundedSender<PendingCall>>>,
    lost_at: Arc<Mutex<Instant>>,
    log: Logger,
}

impl<M: Minions, P: Policy> LeaderSearch<M, P> {
    async fn run(mut self) {
        let mut next = 0;
        let mut connect_timeout = FIRST_CONNECT_TIMEOUT;
        loop {
            let addr = match self.next_addr.take().or_else(|| self.newly_elected()) {
                Some(addr) => addr,
                None => {
                    let all = self.addresses();
                    if next >= all.len() {
                        next = 0;
                        connect_timeout = CONNECT_TIMEOUT;
                        sleep(PASS_DELAY).await;
                    }
                    let Some(addr) = all.get(next).copied() else {
                        continue;
                    };
                    next += 1;
                    addr
                }
            };
            let connected = timeout(connect_timeout, self.connect(addr)).await;
            let Ok(Ok((reader, writer, is_leader))) = connected else {
                continue;
            };
            if !is_leader {
                continue;
            }
            next = 0;
            connect_timeout = FIRST_CONNECT_TIMEOUT;
            self.members
                .send_modify(|members| members.leader = Some(addr));
            info!(self.log, "leader found"; "leader" => %addr, "term" => self.term);
            let why = self.serve(reader, writer).await;
            *self.lost_at.lock().expect("no holder panics") = Instant::now();
            self.current.send_replace(None);
            self.members.send_modify(|members| members.leader = None);
            let why = why.map_or_else(|e| e.to_string(), |()| "it no longer leads".to_owned());
            info!(self.log, "leader lost"; "leader" => %addr, "why" => why);
        }
    }

    /// A reported leader with a higher term than any seen before; returned only once.
    fn newly_elected(&mut self) -> Option<SocketAddr> {
        let elected = (*self.elected.borrow_and_update())?;
        if elected.term <= self.term {
            return None;
        }
        self.term = elected.term;
        Some(elected.addr)
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.lock().expect("no holder panics").clone();
        let members = self.members.borrow();
        let discovered = members.all.iter().copied().filter(|a| !seeds.contains(a));
        let discovered: Vec<_> = discovered.collect();
        seeds.into_iter().chain(discovered).collect()
    }

    async fn connect(&mut self, addr: SocketAddr) -> Result<(FrameReader, FrameWriter, bool)> {
        let stream = wire::dial(addr, PONG_TIMEOUT * 2).await?;
        let (mut reader, mut writer) = wire::client_handshake(stream, &self.keys).await?;
        writer
            .write(&AgentMessage::Hello(self.calls.zone.clone()))
            .await?;
        match reader.read::<ServerMessage>().await? {
            Some(ServerMessage::Lead {
                is_leader,
                term,
                leader,
                members,
            }) => {
                self.term = self.term.max(term);
                self.update_members(is_leader, leader, members, addr);
                Ok((reader, writer, is_leader))
            }
            _ => Err(Error::new(Step::Handshake, "the peer sent no greeting").with_peer(addr)),
        }
    }

    fn update_members(
        &mut self,
        is_leader: bool,
        leader: Option<SocketAddr>,
        members: Vec<SocketAddr>,
        from: SocketAddr,
    ) {
        if !members.is_empty() {
            let all = members.into_iter().collect();
            self.members.send_modify(|members| members.all = all);
        }
        self.next_addr = leader.filter(|addr| !is_leader && *addr != from);
    }

    /// Exchanges messages with the leader until the connection fails or the peer no longer leads.
    async fn serve(&mut self, mut reader: FrameReader, mut writer: FrameWriter) -> Result<()> {
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
        let _reading = AbortOnDrop(reading);
        self.current.send_replace(Some(tx));
        let mut open: HashMap<CallNumber, oneshot::Sender<CallReply>> = HashMap::new();
        let mut number: CallNumber = 0;
        let mut last_received = Instant::now();
        let mut pinged_at: Option<Instant> = None;
        loop {
            let ping_after = if open.is_empty() {
                PING_AFTER_IDLE
            } else {
                PING_AFTER
            };
            let next_check = pinged_at.map_or(last_received + ping_after, |at| at + PONG_TIMEOUT);
            tokio::select! {
                outgoing = rx.0.recv() => {
                    let Some(first) = outgoing else { return Ok(()) };
                    if open.is_empty() && pinged_at.is_none() {
                        last_received = Instant::now();
                    }
                    let mut next = Some(first);
                    while let Some(PendingCall { call, reply }) = next {
                        number += 1;
                        open.insert(number, reply);
                        writer.queue(&AgentMessage::Call(number, call))?;
                        next = rx.0.try_recv().ok();
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
                    pinged_at = None;
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
                        Some(ServerMessage::Pong(_)) => {}
                    }
                }
                Ok(()) = self.elected.changed() => {
                    if let Some(addr) = self.newly_elected() {
                        self.next_addr = Some(addr);
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

async fn flush(writer: &mut FrameWriter) -> Result<()> {
    match timeout(PONG_TIMEOUT, writer.flush()).await {
        Ok(done) => done,
        Err(_) => Err(Error::new(Step::Transfer, "the peer does not read")),
    }
}
