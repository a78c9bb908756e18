//! The way to the leader, from entry hosts and from followers: one kept connection, found anew
//! whenever it breaks, falls silent, or its far end ceases to lead.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::calls::{Call, CallNumber, CallReply, Down, OrderNumber, RETRY_AFTER, Up};
use super::dispatch::MinionAnswer;
use super::driver::{Minions, Policy, send_order};
use super::watch::{Elected, Members, watch};
use crate::error::{Error, Result, Step};
use crate::ids::{Term, ZoneName};
use crate::task::AbortOnDrop;
use crate::wire::{self, CellKeys, FrameReader, FrameWriter};

/// Time for a connection to be opened, proved and greeted, in the first round over all addresses:
/// several round trips within a region. A peer that is cut off costs no more than this.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The same in later rounds, with room for slowed machines.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after all known addresses were tried in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(60);
/// Silence of the far end, while an answer is due, after which it is asked for a sign of life.
const QUIET: Duration = Duration::from_millis(350);
/// Silence on an idle connection after which it is.
const QUIET_IDLE: Duration = Duration::from_millis(1500);
/// Time for that sign.
const PONG_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a call waits for a leader to be found, counted from when the last one was lost: nearly
/// all changes of leader are over by then. Later calls are refused at once, as they would wait in
/// vain while their callers could be told to come back.
const LEADER_WAIT: Duration = Duration::from_secs(1);
/// Longest time after which a caller is told to come back; the longest outages of all control
/// hosts at once are about twice as long.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// How long a call may wait for a leader when there has been none for `absent`.
pub fn leader_wait(absent: Duration) -> Duration {
    LEADER_WAIT.saturating_sub(absent)
}

/// When a caller should come back that found no leader for `absent`: an outage that has lasted for
/// some time will last about as long again. A caller that is told to come back each second uses up
/// its tries before an outage of four seconds is over.
pub fn retry_after(absent: Duration) -> Duration {
    absent.clamp(RETRY_AFTER, LONGEST_RETRY)
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// It was never sent.
    NotSent,
    /// It was sent; it may have been carried out.
    InDoubt,
}

/// What this process can do for a leader.
#[derive(Clone)]
pub struct Calls<M, P> {
    /// Calls to minions.
    pub minions: M,
    /// Questions to the policy service.
    pub policy: P,
    /// Its availability zone.
    pub zone: ZoneName,
}

struct Outgoing {
    call: Call,
    reply: oneshot::Sender<CallReply>,
}

/// Handle for calls to the leader; cheap to clone.
#[derive(Clone)]
pub struct LeaderLink {
    current: watch::Receiver<Option<mpsc::UnboundedSender<Outgoing>>>,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// When the last leader was lost; at first when the search began.
    lost: Arc<Mutex<Instant>>,
}

impl LeaderLink {
    /// Starts looking for the leader among the seeds.
    pub fn start(
        seeds: Vec<SocketAddr>,
        keys: CellKeys,
        calls: Calls<impl Minions, impl Policy>,
        log: Logger,
    ) -> Self {
        let (tx, current) = watch::channel(None);
        let seeds = Arc::new(Mutex::new(seeds));
        let lost = Arc::new(Mutex::new(Instant::now()));
        let (members, known_members) = watch::channel(Members::default());
        let (elected_tx, elected) = watch::channel(None);
        tokio::spawn(watch(known_members, keys.clone(), elected_tx));
        let search = Search {
            seeds: Arc::clone(&seeds),
            members,
            elected,
            term: 0,
            hint: None,
            keys,
            calls,
            current: tx,
            lost: Arc::clone(&lost),
            log,
        };
        tokio::spawn(search.run());
        Self {
            current,
            seeds,
            lost,
        }
    }

    /// Takes new seeds into use at the next search.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().expect("no holder panics") = seeds;
    }

    /// Whether a leader is connected at this moment.
    pub fn is_connected(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// How long there has been no leader; `None` while one is connected.
    pub fn absent(&self, now: Instant) -> Option<Duration> {
        let lost = *self.lost.lock().expect("no holder panics");
        (!self.is_connected()).then(|| now.saturating_duration_since(lost))
    }

    /// Calls the leader, whoever it is, until it answers or the deadline passes.
    ///
    /// Every call is idempotent: a job by its id, a configuration by its version, a report by its
    /// sequence. So one whose connection broke is sent again to the next leader.
    pub async fn call(&self, call: Call, deadline: Instant) -> Result<CallReply, NoAnswer> {
        let mut current = self.current.clone();
        let mut sent = false;
        let failed = |sent| {
            if sent {
                NoAnswer::InDoubt
            } else {
                NoAnswer::NotSent
            }
        };
        loop {
            let connected = timeout_at(deadline, current.wait_for(Option::is_some)).await;
            let Ok(Ok(tx)) = connected.map(|found| found.map(|tx| tx.clone())) else {
                return Err(failed(sent));
            };
            let (reply, rx) = oneshot::channel();
            let call = call.clone();
            let Some(tx) = tx.filter(|tx| tx.send(Outgoing { call, reply }).is_ok()) else {
                sleep(ROUND_PAUSE / 4).await;
                continue;
            };
            match timeout_at(deadline, rx).await {
                Ok(Ok(CallReply::NotLeader(_))) => {
                    // Nothing was done. The link looks for the new leader meanwhile.
                    wait_for_change(&mut current, &tx, deadline).await;
                }
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(_)) => sent = true,
                Err(_) => return Err(NoAnswer::InDoubt),
            }
        }
    }
}

async fn wait_for_change(
    current: &mut watch::Receiver<Option<mpsc::UnboundedSender<Outgoing>>>,
    old: &mpsc::UnboundedSender<Outgoing>,
    deadline: Instant,
) {
    let other = |now: &Option<mpsc::UnboundedSender<Outgoing>>| {
        now.as_ref().is_some_and(|tx| !tx.same_channel(old))
    };
    let _ = timeout_at(deadline, current.wait_for(other)).await;
}

struct Search<M, P> {
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// Addresses that members named, and the present leader's.
    members: watch::Sender<Members>,
    /// The newest leader that another member told of.
    elected: watch::Receiver<Option<Elected>>,
    /// Highest term heard of on the way to leaders.
    term: Term,
    hint: Option<SocketAddr>,
    keys: CellKeys,
    calls: Calls<M, P>,
    current: watch::Sender<Option<mpsc::UnboundedSender<Outgoing>>>,
    lost: Arc<Mutex<Instant>>,
    log: Logger,
}

impl<M: Minions, P: Policy> Search<M, P> {
    async fn run(mut self) {
        let mut next = 0;
        let mut patience = FIRST_CONNECT_TIMEOUT;
        loop {
            let addr = match self.hint.take().or_else(|| self.newly_elected()) {
                Some(addr) => addr,
                None => {
                    let all = self.addresses();
                    if next >= all.len() {
                        next = 0;
                        patience = CONNECT_TIMEOUT;
                        sleep(ROUND_PAUSE).await;
                    }
                    let Some(addr) = all.get(next).copied() else {
                        continue;
                    };
                    next += 1;
                    addr
                }
            };
            let greeted = timeout(patience, self.connect(addr)).await;
            let Ok(Ok((reader, writer, here))) = greeted else {
                continue;
            };
            if !here {
                continue;
            }
            next = 0;
            patience = FIRST_CONNECT_TIMEOUT;
            self.members
                .send_modify(|members| members.leader = Some(addr));
            info!(self.log, "leader found"; "leader" => %addr, "term" => self.term);
            let why = self.serve(reader, writer).await;
            *self.lost.lock().expect("no holder panics") = Instant::now();
            self.current.send_replace(None);
            self.members.send_modify(|members| members.leader = None);
            let why = why.map_or_else(|e| e.to_string(), |()| "it no longer leads".to_owned());
            info!(self.log, "leader lost"; "leader" => %addr, "why" => why);
        }
    }

    /// A leader of a later term than any that this process has spoken to; named once.
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
        let learned = members.all.iter().copied().filter(|a| !seeds.contains(a));
        let learned: Vec<_> = learned.collect();
        seeds.into_iter().chain(learned).collect()
    }

    async fn connect(&mut self, addr: SocketAddr) -> Result<(FrameReader, FrameWriter, bool)> {
        let stream = wire::dial(addr, PONG_TIMEOUT * 2).await?;
        let (mut reader, mut writer) = wire::split_client(stream, &self.keys).await?;
        writer.write(&Up::Hello(self.calls.zone.clone())).await?;
        match reader.read::<Down>().await? {
            Some(Down::Lead {
                here,
                term,
                leader,
                members,
            }) => {
                self.term = self.term.max(term);
                self.learn(here, leader, members, addr);
                Ok((reader, writer, here))
            }
            _ => Err(Error::new(Step::Handshake, "no greeting came").with_peer(addr)),
        }
    }

    fn learn(
        &mut self,
        here: bool,
        leader: Option<SocketAddr>,
        members: Vec<SocketAddr>,
        from: SocketAddr,
    ) {
        if !members.is_empty() {
            let all = members.into_iter().collect();
            self.members.send_modify(|members| members.all = all);
        }
        self.hint = leader.filter(|addr| !here && *addr != from);
    }

    /// Carries calls until the connection fails or the far end ceases to lead.
    async fn serve(&mut self, mut reader: FrameReader, mut writer: FrameWriter) -> Result<()> {
        let (tx, mut rx) = mpsc::unbounded_channel::<Outgoing>();
        let (ups, mut answers) = mpsc::unbounded_channel::<Up>();
        let (done_tx, mut done) = mpsc::unbounded_channel::<(OrderNumber, MinionAnswer)>();
        let (down_tx, mut downs) = mpsc::channel::<Down>(64);
        let reading = tokio::spawn(async move {
            while let Ok(Some(down)) = reader.read::<Down>().await {
                if down_tx.send(down).await.is_err() {
                    break;
                }
            }
        });
        let _reading = AbortOnDrop(reading);
        self.current.send_replace(Some(tx));
        let mut open: HashMap<CallNumber, oneshot::Sender<CallReply>> = HashMap::new();
        let mut number: CallNumber = 0;
        let mut heard = Instant::now();
        let mut pinged: Option<Instant> = None;
        loop {
            let quiet = if open.is_empty() { QUIET_IDLE } else { QUIET };
            let check = pinged.map_or(heard + quiet, |at| at + PONG_TIMEOUT);
            tokio::select! {
                outgoing = rx.recv() => {
                    let Some(first) = outgoing else { return Ok(()) };
                    if open.is_empty() && pinged.is_none() {
                        heard = Instant::now();
                    }
                    let mut next = Some(first);
                    while let Some(Outgoing { call, reply }) = next {
                        number += 1;
                        open.insert(number, reply);
                        writer.queue(&Up::Call(number, call))?;
                        next = rx.try_recv().ok();
                    }
                    flush(&mut writer).await?;
                }
                up = answers.recv() => {
                    if let Some(up) = up {
                        writer.queue(&up)?;
                        flush(&mut writer).await?;
                    }
                }
                first = done.recv() => {
                    if let Some(first) = first {
                        let mut answers = vec![first];
                        while let Ok(next) = done.try_recv() {
                            answers.push(next);
                        }
                        writer.queue(&Up::Done(answers))?;
                        flush(&mut writer).await?;
                    }
                }
                down = downs.recv() => {
                    heard = Instant::now();
                    pinged = None;
                    match down {
                        None => return Err(Error::new(Step::Transfer, "the connection ended")),
                        Some(Down::Reply(number, reply)) => {
                            let moved = matches!(reply, CallReply::NotLeader(_));
                            if let CallReply::NotLeader(leader) = &reply {
                                self.hint = *leader;
                            }
                            if let Some(tx) = open.remove(&number) {
                                let _ = tx.send(reply);
                            }
                            if moved {
                                return Ok(());
                            }
                        }
                        Some(Down::Lead { here, term, leader, members }) => {
                            self.term = self.term.max(term);
                            let from = writer.peer().parse();
                            if let Ok(from) = from {
                                self.learn(here, leader, members, from);
                            }
                            if !here {
                                return Ok(());
                            }
                        }
                        Some(Down::Advise(question)) => {
                            let (policy, ups) = (self.calls.policy.clone(), ups.clone());
                            tokio::spawn(async move {
                                let advice = policy.advise(&question).await;
                                let _ = ups.send(Up::Advised(question.id, advice));
                            });
                        }
                        Some(Down::Orders(orders)) => {
                            for (number, target, order) in orders {
                                let (minions, done) = (self.calls.minions.clone(), done_tx.clone());
                                tokio::spawn(async move {
                                    let answer = send_order(&minions, &target, &order).await;
                                    let _ = done.send((number, answer));
                                });
                            }
                        }
                        Some(Down::Pong(_)) => {}
                    }
                }
                Ok(()) = self.elected.changed() => {
                    if let Some(addr) = self.newly_elected() {
                        self.hint = Some(addr);
                        return Err(Error::new(Step::Transfer, "another leader was elected"));
                    }
                }
                () = sleep_until(check) => {
                    // Open connections can fall silent for good while new ones work.
                    if pinged.is_some() {
                        return Err(Error::new(Step::Transfer, "the connection fell silent"));
                    }
                    pinged = Some(Instant::now());
                    writer.queue(&Up::Ping(number))?;
                    flush(&mut writer).await?;
                }
            }
        }
    }
}

async fn flush(writer: &mut FrameWriter) -> Result<()> {
    match timeout(PONG_TIMEOUT, writer.flush()).await {
        Ok(done) => done,
        Err(_) => Err(Error::new(Step::Transfer, "the peer does not read")),
    }
}
