//! Calls of entry hosts and followers to the leader. Their connection to it is reestablished
//! whenever it breaks, its peer stops answering, or its peer no longer leads.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout_at};

use super::call_trace::{CallTrace, Way};
use super::calls::{Call, CallReply, ClientAction, ClientCall, ClientReply, RETRY_AFTER};
use super::driver::{Minions, Policy};
use super::election_watch::{Members, watch_elections};
use super::leader_search::LeaderSearch;
use super::relay::{RelayWay, call_by_relay};
use super::request_copies::{Conclusion, Copies};
use crate::ids::{Term, Timestamp, ZoneName};
use crate::replication::monotonic_now;
use crate::telemetry::LineLimit;
use crate::wire::CellKeys;

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

/// Time without an answer of the leader after which a call is passed through a relay as well: it
/// usually takes a tenth of this.
const RELAY_AFTER: Duration = Duration::from_millis(250);
/// Delay before relays are tried again after those tried did not reach the leader. In an outage of
/// all control hosts, requests in between are refused without a detour.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest time for which relays are tried for a call. Later its caller has more use of a refusal.
const RELAY_PERIOD: Duration = Duration::from_millis(1500);
/// Most log lines a second about copies of changes that were not accepted.
const MAX_COPY_LINES: u32 = 20;

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
    /// Address at which this process passes on requests of others; `None` if it does not.
    pub relay_addr: Option<SocketAddr>,
}

pub(super) struct PendingCall {
    pub(super) call: Call,
    /// Monotonic time after which it is not sent.
    pub(super) until: Timestamp,
    pub(super) reply: oneshot::Sender<CallReply>,
}

/// Handle for calls to the leader; cheap to clone.
#[derive(Clone)]
pub struct LeaderLink {
    current: CurrentLeader,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    members: watch::Sender<Members>,
    /// When the last leader was lost; before the first one is found, when the search began.
    lost_at: Arc<Mutex<Instant>>,
    contact: Contact,
    keys: CellKeys,
    copy_log: CopyLog,
}

/// A connection to the leader.
#[derive(Clone)]
pub(super) struct LeaderConnection {
    pub(super) calls: mpsc::UnboundedSender<PendingCall>,
    pub(super) addr: SocketAddr,
    pub(super) term: Term,
}

/// Logs the copies of changes that were not accepted: a request has one answer, but several copies
/// of it may have been sent. Clones share a limit on the lines.
#[derive(Clone)]
pub(super) struct CopyLog {
    limit: LineLimit,
    log: Logger,
}

impl CopyLog {
    /// Logs what became of a copy; `term` is that of the leader that it was sent to.
    pub(super) fn not_accepted(
        &self,
        call: &Call,
        (via, peer): (&str, SocketAddr),
        term: Option<Term>,
        outcome: &str,
    ) {
        let Call::Client(call) = call else { return };
        if call.action.is_change() && self.limit.take(monotonic_now()) {
            info!(self.log, "copy not accepted"; "path" => call.path.as_str(), "via" => via,
                "peer" => %peer, "term" => term, "outcome" => outcome);
        }
    }
}

/// What this process has heard from the leader; clones share it.
#[derive(Clone)]
pub(super) struct Contact {
    /// When a leader last answered. Its other messages arrive even if it gets none of ours.
    pub(super) answered: Arc<Mutex<Instant>>,
    /// Entry hosts that pass on requests.
    pub(super) relays: Arc<Mutex<Vec<SocketAddr>>>,
    /// The address among them that is this process.
    own_addr: Option<SocketAddr>,
    /// No relay is tried before this time, as those tried last did not reach the leader either.
    next_relay: Arc<Mutex<Instant>>,
}

impl Contact {
    /// Relays that may be tried at `now`.
    fn usable_relays(&self, now: Instant) -> Vec<SocketAddr> {
        if now < *self.next_relay.lock().expect("no holder panics") {
            return Vec::new();
        }
        let relays = self.relays.lock().expect("no holder panics");
        let others = relays.iter().filter(|addr| Some(**addr) != self.own_addr);
        others.copied().collect()
    }

    fn relays_failed(&self, now: Instant) {
        *self.next_relay.lock().expect("no holder panics") = now + RELAY_RETRY_DELAY;
    }
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
        let contact = Contact {
            answered: Arc::new(Mutex::new(Instant::now())),
            relays: Arc::default(),
            own_addr: calls.relay_addr,
            next_relay: Arc::new(Mutex::new(Instant::now())),
        };
        let copy_log = CopyLog {
            limit: LineLimit::per_second(MAX_COPY_LINES),
            log: log.clone(),
        };
        let search = LeaderSearch {
            contact: contact.clone(),
            seeds: Arc::clone(&seeds),
            members: members.clone(),
            elected,
            term: 0,
            next_addr: None,
            deposed: None,
            keys: keys.clone(),
            calls,
            current: tx,
            lost_at: Arc::clone(&lost_at),
            log,
        };
        tokio::spawn(search.run());
        Self {
            current,
            seeds,
            members,
            lost_at,
            contact,
            keys,
            copy_log,
        }
    }

    /// Replaces the seed addresses; effective from the next search.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().expect("no holder panics") = seeds;
    }

    /// Adds members that another part of this process knows of to the addresses that are searched.
    pub(super) fn learn_members(&self, addrs: &[SocketAddr]) {
        self.members.send_if_modified(|known| {
            let before = known.all.len();
            known.all.extend(addrs);
            known.all.len() > before
        });
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

    /// Calls the leader, and passes a request about a job through a relay as well while the leader
    /// is not heard. That is safe, as every call is idempotent. A refusal of one copy is returned only
    /// if no other copy may have been executed.
    pub async fn call(&self, call: Call, deadline: Instant) -> Result<CallReply, CallError> {
        self.call_traced(call, deadline, &CallTrace::default())
            .await
    }

    /// `call`, with the copies that are sent recorded in `trace`.
    pub async fn call_traced(
        &self,
        call: Call,
        deadline: Instant,
        trace: &CallTrace,
    ) -> Result<CallReply, CallError> {
        let request = match &call {
            Call::Client(request) if request.action != ClientAction::PendingCount => {
                request.clone()
            }
            _ => return self.call_directly(call, deadline, trace).await,
        };
        let copies = Copies::of(monotonic_now(), &call, trace);
        let direct = self.call_leader(call, deadline, &copies);
        let relayed = self.call_by_relay(request, deadline, &copies);
        tokio::pin!(direct, relayed);
        let answer = tokio::select! {
            answer = &mut direct => match answer {
                Some(reply) => Some(reply),
                None => {
                    copies.end_after_this_round();
                    relayed.await
                }
            },
            answer = &mut relayed => match answer {
                Some(reply) => Some(reply),
                None => direct.await,
            },
        };
        answer.map_or_else(|| copies.outcome(), Ok)
    }

    /// Calls the leader over this process's own connection only.
    pub(super) async fn call_directly(
        &self,
        call: Call,
        deadline: Instant,
        trace: &CallTrace,
    ) -> Result<CallReply, CallError> {
        let copies = Copies::of(monotonic_now(), &call, trace);
        let answer = self.call_leader(call, deadline, &copies).await;
        answer.map_or_else(|| copies.outcome(), Ok)
    }

    /// Passes a request through relays whenever the leader is not heard, until one gives an answer
    /// that holds for the request, or the direct call has ended.
    async fn call_by_relay(
        &self,
        request: ClientCall,
        deadline: Instant,
        copies: &Copies,
    ) -> Option<CallReply> {
        let until = deadline.min(Instant::now() + RELAY_PERIOD);
        loop {
            tokio::select! {
                // Relays are still tried once if the direct call ended for lack of a leader.
                biased;
                unheard = timeout_at(until, self.leader_unheard()) => unheard.ok()?,
                () = copies.last_round() => return None,
            }
            let relays = self.contact.usable_relays(Instant::now());
            let way = RelayWay {
                relays: &relays,
                keys: &self.keys,
                log: &self.copy_log,
            };
            let reply = call_by_relay(way, &request, until, copies).await;
            if reply.is_some() {
                return reply;
            }
            if !relays.is_empty() {
                self.contact.relays_failed(Instant::now());
            }
            tokio::select! {
                () = copies.last_round() => return None,
                delayed = timeout_at(until, sleep(RELAY_RETRY_DELAY)) => delayed.ok()?,
            }
        }
    }

    /// Waits until there is no connection to a leader, or it has answered nothing for `RELAY_AFTER`,
    /// counted from now at the earliest.
    async fn leader_unheard(&self) {
        let began = Instant::now();
        let mut current = self.current.clone();
        while current.borrow_and_update().is_some() {
            let answered = *self.contact.answered.lock().expect("no holder panics");
            let unheard_at = answered.max(began) + RELAY_AFTER;
            if Instant::now() >= unheard_at {
                return;
            }
            let _ = timeout_at(unheard_at, current.changed()).await;
        }
    }

    /// Calls the current leader until an answer holds for the request; `None` if there is none by
    /// the deadline, or if a copy may have been executed that the leader cannot tell of. A call that
    /// has changed nothing is given up once there has been no leader for `LEADER_WAIT`.
    ///
    /// A call whose connection broke is sent again to the next leader. That is safe because every
    /// call is idempotent: a job by its id, a configuration by its version, a report by its
    /// sequence number.
    async fn call_leader(
        &self,
        call: Call,
        deadline: Instant,
        copies: &Copies,
    ) -> Option<CallReply> {
        let mut current = self.current.clone();
        // Set once a copy is unanswered; the next leader may tell what became of it.
        let mut wait_end = None;
        loop {
            let until = wait_end.unwrap_or_else(|| deadline.min(self.leader_wait_end()));
            let connected = timeout_at(until, current.wait_for(Option::is_some)).await;
            let Ok(Ok(leader)) = connected.map(|found| found.map(|leader| leader.clone())) else {
                return None;
            };
            let Some(leader) = leader else { continue };
            let (reply, rx) = oneshot::channel();
            let pending = PendingCall {
                call: call.clone(),
                until: copies.until(),
                reply,
            };
            let copy = copies.send(Way::Leader, leader.addr);
            if leader.calls.send(pending).is_err() {
                copy.not_sent();
                wait_for_change(&mut current, &leader, deadline).await;
                continue;
            }
            let answered = timeout_at(deadline, rx).await;
            self.log_copy(&call, &leader, &answered);
            match answered {
                Ok(Ok(reply)) => match copy.answered(reply) {
                    Conclusion::Final(reply) => return Some(reply),
                    Conclusion::InDoubt => return None,
                    // `LeaderSearch` finds the new leader in the background.
                    Conclusion::NoLeader => {
                        wait_for_change(&mut current, &leader, deadline).await;
                    }
                },
                Ok(Err(_)) if copies.may_be_executed() => wait_end = Some(deadline),
                Ok(Err(_)) => {}
                Err(_) => return None,
            }
        }
    }

    fn log_copy<E, T>(
        &self,
        call: &Call,
        leader: &LeaderConnection,
        answered: &Result<Result<CallReply, E>, T>,
    ) {
        let outcome = match answered {
            Ok(Ok(CallReply::Client(ClientReply::Accepted))) => return,
            Ok(Ok(reply)) => reply.as_str(),
            Ok(Err(_)) => "connection lost",
            Err(_) => "no answer in time",
        };
        let via = ("leader", leader.addr);
        self.copy_log
            .not_accepted(call, via, Some(leader.term), outcome);
    }

    /// When a call that waits for a leader is given up.
    fn leader_wait_end(&self) -> Instant {
        let now = Instant::now();
        now + leader_wait(self.leaderless_for(now).unwrap_or_default())
    }
}

/// Waits until the connection `old` is lost or replaced.
async fn wait_for_change(current: &mut CurrentLeader, old: &LeaderConnection, deadline: Instant) {
    let other = |now: &Option<LeaderConnection>| {
        now.as_ref()
            .is_none_or(|leader| !leader.calls.same_channel(&old.calls))
    };
    let _ = timeout_at(deadline, current.wait_for(other)).await;
}

/// The connection to the leader; `None` while there is none.
type CurrentLeader = watch::Receiver<Option<LeaderConnection>>;
