//! The router and the state needed to apply its effects, shared by all request-handling threads.
//!
//! It is guarded by a mutex instead of being an actor: a routing decision takes microseconds, and
//! a switch to another thread would cost each request more than the decision itself.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;

use crate::entry::minion_client::MinionClients;
use crate::entry::peer_dialer::PeerLinks;
use crate::entry::service_request::{
    CompletedRequest, MinionResponse, RequestResult, ServiceRequest,
};
use crate::ids::{MinionId, Timestamp};
use crate::routing::{
    AttemptEnd, AttemptId, Effect, Event, Origin, Request, RequestId, Router, SlotReport, Target,
};

/// A request without a result yet.
struct PendingRequest {
    service_request: Arc<ServiceRequest>,
    result: oneshot::Sender<CompletedRequest>,
    /// Complete responses, of which the router selects one to deliver.
    answers: Vec<(AttemptId, MinionResponse)>,
    attempts: u32,
}

impl PendingRequest {
    fn end(self, result: RequestResult) {
        let attempts = self.attempts;
        let _ = self.result.send(CompletedRequest { result, attempts });
    }
}

struct State {
    router: Router,
    pending: HashMap<RequestId, PendingRequest>,
    attempts: HashMap<AttemptId, AbortHandle>,
    next_request: RequestId,
}

/// An attempt to start, with everything its task needs.
pub(super) struct AttemptStart {
    pub(super) attempt: AttemptId,
    pub(super) request: RequestId,
    pub(super) target: Target,
    pub(super) until: Timestamp,
    pub(super) service_request: Arc<ServiceRequest>,
}

/// Shared state of the daemon; see the module.
pub(super) struct Core {
    state: Mutex<State>,
    runtime: Handle,
    started: Instant,
    pub(super) clients: MinionClients,
    pub(super) peers: PeerLinks,
    /// Notified when released minions should be reported to the control plane without delay.
    pub(super) released: Notify,
    /// Incremented when a load report to the peers is due.
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
            pending: HashMap::new(),
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

    /// Time left until `until` on the router's clock; zero if it has passed.
    pub(super) fn left(&self, until: Timestamp) -> Duration {
        until.saturating_sub(self.now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // After a panic inside the router, which is a bug, the other requests continue.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads router state at the current time.
    pub(super) fn read<T>(&self, read: impl FnOnce(&Router, Timestamp) -> T) -> T {
        let state = self.lock();
        read(&state.router, self.now())
    }

    /// Closes connections to minions that are no longer owned.
    pub(super) fn close_unowned(&self) {
        let state = self.lock();
        self.clients.retain(|id| state.router.owns(id));
    }

    /// Passes an event to the router and applies its effects.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        let mut state = self.lock();
        self.step(&mut state, event);
    }

    /// Submits a request; its result is sent on the receiver.
    pub(super) fn submit(
        self: &Arc<Self>,
        service_request: Arc<ServiceRequest>,
        origin: Origin,
    ) -> (RequestId, oneshot::Receiver<CompletedRequest>) {
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        let id = state.next_request;
        state.next_request += 1;
        let request = Request {
            id,
            service: service_request.service.clone(),
            team: service_request.team.clone(),
            priority: service_request.priority,
            arrived: self.now(),
            deadline: service_request.deadline,
            idempotent: service_request.idempotent,
            origin,
        };
        let pending = PendingRequest {
            service_request,
            result: tx,
            answers: Vec::new(),
            attempts: 0,
        };
        state.pending.insert(id, pending);
        self.step(&mut state, Event::Arrived(request));
        (id, rx)
    }

    /// Ends an attempt, with its response if it was complete. The late result of an aborted attempt
    /// is dropped.
    pub(super) fn end(
        self: &Arc<Self>,
        request: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
        answer: Option<MinionResponse>,
    ) {
        let mut state = self.lock();
        if state.attempts.remove(&attempt).is_none() {
            metrics::counter!("yuccahold_entry_late_answers_total").increment(1);
            return;
        }
        if let Some(answer) = answer
            && let Some(pending) = state.pending.get_mut(&request)
        {
            pending.answers.push((attempt, answer));
        }
        self.step(&mut state, Event::Ended { attempt, end });
    }

    fn step(self: &Arc<Self>, state: &mut State, event: Event) {
        let mut effects = Vec::new();
        state.router.handle(self.now(), event, &mut effects);
        for effect in effects {
            self.apply_effect(state, effect);
        }
    }

    fn apply_effect(self: &Arc<Self>, state: &mut State, effect: Effect) {
        match effect {
            Effect::Start {
                attempt,
                request,
                target,
                until,
            } => {
                let Some(pending) = state.pending.get_mut(&request) else {
                    return;
                };
                pending.attempts += 1;
                let start = AttemptStart {
                    attempt,
                    request,
                    target,
                    until,
                    service_request: pending.service_request.clone(),
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
                if let Some(pending) = state.pending.remove(&request) {
                    pending.end(RequestResult::Failed(error));
                }
            }
            Effect::Probe {
                minion,
                addr,
                epoch,
            } => drop(self.runtime.spawn(probe(self.clone(), minion, addr, epoch))),
            Effect::Reconnect(minion) => self.clients.close_connections(&minion),
            Effect::Released(_) => self.released.notify_one(),
            Effect::AnnounceLoad => self.load_changed.send_modify(|n| *n += 1),
        }
    }
}

fn deliver(state: &mut State, request: RequestId, attempt: AttemptId) {
    let Some(mut pending) = state.pending.remove(&request) else {
        return;
    };
    let held = pending.answers.iter().position(|(id, _)| *id == attempt);
    let result = match held {
        Some(index) => RequestResult::Response(pending.answers.swap_remove(index).1),
        None => RequestResult::dropped(),
    };
    pending.end(result);
}

async fn run_attempt(core: Arc<Core>, start: AttemptStart) {
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
