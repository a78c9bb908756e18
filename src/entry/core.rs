//! The router with what its effects need, shared by all threads that carry traffic.
//!
//! A mutex, not an actor: a decision takes microseconds, and a hop to another thread would cost
//! each request more than the decision itself.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;

use crate::entry::minion_client::MinionClients;
use crate::entry::peer_dialer::PeerLinks;
use crate::entry::work::{Ended, Verdict, WholeAnswer, Work};
use crate::ids::{MinionId, Timestamp};
use crate::routing::{
    AttemptEnd, AttemptId, Effect, Event, Origin, Request, RequestId, Router, SlotReport, Target,
};

/// A request that waits for its verdict.
struct Ticket {
    work: Arc<Work>,
    verdict: oneshot::Sender<Ended>,
    answers: Vec<(AttemptId, WholeAnswer)>,
    attempts: u32,
}

impl Ticket {
    fn end(self, verdict: Verdict) {
        let attempts = self.attempts;
        let _ = self.verdict.send(Ended { verdict, attempts });
    }
}

struct State {
    router: Router,
    tickets: HashMap<RequestId, Ticket>,
    attempts: HashMap<AttemptId, AbortHandle>,
    next_request: RequestId,
}

/// One start of a try, as the task that carries it needs it.
pub(super) struct Start {
    pub(super) attempt: AttemptId,
    pub(super) request: RequestId,
    pub(super) target: Target,
    pub(super) until: Timestamp,
    pub(super) work: Arc<Work>,
}

/// The shared core.
pub(super) struct Core {
    state: Mutex<State>,
    runtime: Handle,
    started: Instant,
    pub(super) clients: MinionClients,
    pub(super) peers: PeerLinks,
    /// Woken when control should be told of released minions at once.
    pub(super) released: Notify,
    /// Counts the times peers should be told of the load.
    pub(super) load_changed: watch::Sender<u64>,
}

impl Core {
    pub(super) fn new(
        router: Router,
        runtime: Handle,
        clients: MinionClients,
        peers: PeerLinks,
    ) -> Self {
        let state = State {
            router,
            tickets: HashMap::new(),
            attempts: HashMap::new(),
            next_request: 1,
        };
        Self {
            state: Mutex::new(state),
            runtime,
            started: Instant::now(),
            clients,
            peers,
            released: Notify::new(),
            load_changed: watch::Sender::new(0),
        }
    }

    /// Time since this process started, which is the router's clock.
    pub(super) fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    /// Time left until a point of the router's clock.
    pub(super) fn left(&self, until: Timestamp) -> Duration {
        until.saturating_sub(self.now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic inside the router is a defect; the other requests go on.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads from the router.
    pub(super) fn read<T>(&self, read: impl FnOnce(&Router, Timestamp) -> T) -> T {
        let state = self.lock();
        read(&state.router, self.now())
    }

    /// Closes connections to minions that are not owned any more.
    pub(super) fn forget_unowned(&self) {
        let state = self.lock();
        self.clients.retain(|id| state.router.owns(id));
    }

    /// Takes in an event and carries out its effects.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        let mut state = self.lock();
        self.step(&mut state, event);
    }

    /// Takes in a request; the verdict comes on the receiver.
    pub(super) fn submit(
        self: &Arc<Self>,
        work: Arc<Work>,
        origin: Origin,
    ) -> (RequestId, oneshot::Receiver<Ended>) {
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        let id = state.next_request;
        state.next_request += 1;
        let request = Request {
            id,
            service: work.service.clone(),
            team: work.team.clone(),
            priority: work.priority,
            arrived: self.now(),
            deadline: work.deadline,
            idempotent: work.idempotent,
            origin,
        };
        let ticket = Ticket {
            work,
            verdict: tx,
            answers: Vec::new(),
            attempts: 0,
        };
        state.tickets.insert(id, ticket);
        self.step(&mut state, Event::Arrived(request));
        (id, rx)
    }

    /// Ends a try, with its whole answer if there is one.
    pub(super) fn end(
        self: &Arc<Self>,
        request: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
        answer: Option<WholeAnswer>,
    ) {
        let mut state = self.lock();
        if state.attempts.remove(&attempt).is_none() {
            metrics::counter!("yuccahold_entry_late_answers_total").increment(1);
            return;
        }
        if let Some(answer) = answer
            && let Some(ticket) = state.tickets.get_mut(&request)
        {
            ticket.answers.push((attempt, answer));
        }
        self.step(&mut state, Event::Ended { attempt, end });
    }

    fn step(self: &Arc<Self>, state: &mut State, event: Event) {
        let mut effects = Vec::new();
        state.router.handle(self.now(), event, &mut effects);
        for effect in effects {
            self.carry_out(state, effect);
        }
    }

    fn carry_out(self: &Arc<Self>, state: &mut State, effect: Effect) {
        match effect {
            Effect::Start {
                attempt,
                request,
                target,
                until,
            } => {
                let Some(ticket) = state.tickets.get_mut(&request) else {
                    return;
                };
                ticket.attempts += 1;
                let start = Start {
                    attempt,
                    request,
                    target,
                    until,
                    work: ticket.work.clone(),
                };
                let task = self.runtime.spawn(run_attempt(self.clone(), start));
                state.attempts.insert(attempt, task.abort_handle());
            }
            Effect::Abort(attempt) => {
                if let Some(task) = state.attempts.remove(&attempt) {
                    task.abort();
                }
            }
            Effect::Withdraw(attempt) => self.peers.withdraw(attempt),
            Effect::Deliver { request, attempt } => deliver(state, request, attempt),
            Effect::Fail { request, error } => {
                if let Some(ticket) = state.tickets.remove(&request) {
                    ticket.end(Verdict::Failed(error));
                }
            }
            Effect::Probe {
                minion,
                addr,
                epoch,
            } => drop(self.runtime.spawn(probe(self.clone(), minion, addr, epoch))),
            Effect::Reconnect(minion) => self.clients.forget(&minion),
            Effect::Released(_) => self.released.notify_one(),
            Effect::AnnounceLoad => self.load_changed.send_modify(|n| *n += 1),
        }
    }
}

fn deliver(state: &mut State, request: RequestId, attempt: AttemptId) {
    let Some(mut ticket) = state.tickets.remove(&request) else {
        return;
    };
    let held = ticket.answers.iter().position(|(id, _)| *id == attempt);
    let verdict = match held {
        Some(index) => Verdict::Answer(ticket.answers.swap_remove(index).1),
        None => Verdict::lost(),
    };
    ticket.end(verdict);
}

async fn run_attempt(core: Arc<Core>, start: Start) {
    let (request, attempt) = (start.request, start.attempt);
    let (end, answer) = match &start.target {
        Target::Minion { .. } => core.clients.send(&core, &start).await,
        Target::Peer(peer) => core.peers.send(&core, peer, &start).await,
    };
    core.end(request, attempt, end, answer);
}

async fn probe(core: Arc<Core>, minion: MinionId, addr: std::net::SocketAddr, epoch: u64) {
    let sent = core.now();
    let report: Option<SlotReport> = core.clients.probe(addr).await;
    core.handle(Event::Probed {
        minion,
        epoch,
        sent,
        report,
    });
}
