//! The router of one entry host: accepts requests, starts attempts and dispatches queued requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::document::{Document, Service};
use crate::ids::{EntryId, MinionId, ProcessId, Revision, ServiceName, Timestamp, ZoneName};
use crate::routing::budget::RetryBudget;
use crate::routing::choice::{Candidate, Choose, LeastBusy};
use crate::routing::latency::Latency;
use crate::routing::limits::TeamLimits;
use crate::routing::minion::Minion;
use crate::routing::model::{AttemptId, Effect, Event, Origin, Request, RequestId, Target};
use crate::routing::peers::Peers;
use crate::routing::queue::Queue;

/// Time reserved for the return trip of a forwarded request, so that the peer's response arrives
/// before this entry host has to report the outcome as unknown.
const FORWARD_MARGIN: Duration = Duration::from_millis(4);
/// Minimum retry-after time sent to callers.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Maximum retry-after time sent to callers, before jitter.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// A first attempt is cut short for a retry only if it gets at least this many mean service times.
const MIN_RETRY_WAIT_FACTOR: u32 = 5;
/// Interval between load reports to the peers while no service gains or loses its last free slot.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Identity of the entry host that the router decides for.
#[derive(Clone, Debug, Default)]
pub struct RouterConfig {
    /// Name of the entry host, matched against minion owners in the feed.
    pub entry: EntryId,
    /// Availability zone of the entry host; minions and peers in it are preferred.
    pub zone: ZoneName,
    /// Seed of the random number generator used for tie-breaking and jitter.
    pub seed: u64,
}

/// Per-service state of this entry host.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceState {
    pub(super) queue: Queue,
    pub(super) budget: RetryBudget,
    pub(super) latency: Latency,
    /// Whether a slot was free at the last check; a change triggers a load report to the peers.
    pub(super) had_free: bool,
}

/// A request between arrival and its final outcome.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    /// Attempts in flight.
    pub(super) attempts: Vec<AttemptId>,
    /// Attempts started so far.
    pub(super) attempts_started: u32,
    /// Minions and peers that the request was sent to.
    pub(super) tried: Vec<CompactString>,
    /// Attempt with a complete error response, delivered if no later attempt succeeds.
    pub(super) fallback: Option<AttemptId>,
    pub(super) may_have_run: bool,
    /// The caller disconnected: no further attempt is started.
    pub(super) cancelled: bool,
    pub(super) hedge_at: Option<Timestamp>,
}

/// Identifies where an attempt is sent; [`Target`] also has the address and the epoch.
#[derive(Clone, Debug)]
pub(super) enum Destination {
    Minion { id: MinionId, process: ProcessId },
    Peer(EntryId),
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) service: ServiceName,
    pub(super) destination: Destination,
    pub(super) started: Timestamp,
    pub(super) until: Timestamp,
}

/// Routing state machine of one entry host.
///
/// It does no I/O: [`Router::handle`] takes an event and returns effects for the daemon to run.
pub struct Router<C = LeastBusy> {
    pub(super) cfg: RouterConfig,
    pub(super) choose: C,
    pub(super) rng: ChaCha8Rng,
    pub(super) document: Arc<Document>,
    pub(super) revision: Revision,
    /// Live entry hosts, at least 1; each gets an equal share of the workspace limits.
    pub(super) entries: u32,
    pub(super) leased_until: Timestamp,
    /// Minions of each service in the whole cell, without those that are leaving.
    pub(super) announced: BTreeMap<ServiceName, u32>,
    pub(super) minions: BTreeMap<MinionId, Minion>,
    pub(super) services: HashMap<ServiceName, ServiceState>,
    pub(super) peers: Peers,
    pub(super) limits: TeamLimits,
    pub(super) requests: HashMap<RequestId, PendingRequest>,
    pub(super) attempts: HashMap<AttemptId, Attempt>,
    pub(super) deadlines: BTreeSet<(Timestamp, RequestId)>,
    pub(super) hedges: BTreeSet<(Timestamp, RequestId)>,
    /// When the next regular load report to the peers is due.
    pub(super) load_due: Timestamp,
    pub(super) leaving: bool,
    /// Services whose free slots may have changed while the current event was handled.
    pub(super) changed_services: Vec<ServiceName>,
    next_attempt: AttemptId,
}

impl<C: Choose> Router<C> {
    /// Creates a router without a document, which refuses every request until it has received a
    /// feed and a lease.
    pub fn new(cfg: RouterConfig, choose: C) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
            choose,
            document: Arc::default(),
            revision: 0,
            entries: 1,
            leased_until: Duration::ZERO,
            announced: BTreeMap::new(),
            minions: BTreeMap::new(),
            services: HashMap::new(),
            peers: Peers::default(),
            limits: TeamLimits::default(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            deadlines: BTreeSet::new(),
            hedges: BTreeSet::new(),
            load_due: Duration::ZERO,
            leaving: false,
            changed_services: Vec::new(),
            next_attempt: 1,
        }
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Arrived(request) => self.arrive(now, request, out),
            Event::Cancelled(id) => self.cancel(now, id, out),
            Event::Ended { attempt, end } => self.attempt_ended(now, attempt, end, out),
            Event::Feed(feed) => self.feed(now, &feed, out),
            Event::Leased(until) => {
                self.leased_until = self.leased_until.max(until);
                self.dispatch_all_queued(now, out);
            }
            Event::PeerLoad { peer, services } => {
                let names: Vec<_> = services.iter().map(|load| load.service.clone()).collect();
                self.peers.report(&peer, services);
                names
                    .iter()
                    .for_each(|name| self.dispatch_queued(now, name, out));
            }
            Event::PeerLost(peer) => self.peers.forget_load(&peer),
            Event::Probed {
                minion,
                epoch,
                sent,
                report,
            } => self.probed(now, &minion, epoch, sent, report, out),
            Event::Leaving => self.leave(now, out),
            Event::Tick => self.tick(now, out),
        }
        self.announce_load(now, out);
    }

    /// The configuration document last received; empty before the first feed.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Revision of the document last received; 0 before the first feed.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Number of requests without a final outcome, queued ones included.
    pub fn live(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.document.services.get(name)
    }

    /// Slots of the service that this entry host may use, free or not; 0 without a lease.
    pub(super) fn slots_here(&self, now: Timestamp, service: &ServiceName) -> u32 {
        if now >= self.leased_until {
            return 0;
        }
        self.minions_of(service).map(Minion::limit).sum()
    }

    /// Free slots of the service on minions owned here; 0 without a lease.
    pub(super) fn free_here(&self, now: Timestamp, service: &ServiceName) -> u32 {
        if now >= self.leased_until {
            return 0;
        }
        self.minions_of(service).map(Minion::free).sum()
    }

    /// Whether a slot of the service is free on a minion owned here.
    fn has_free(&self, now: Timestamp, service: &ServiceName) -> bool {
        now < self.leased_until && self.minions_of(service).any(|m| m.free() > 0)
    }

    fn minions_of(&self, service: &ServiceName) -> impl Iterator<Item = &Minion> {
        let minions = self.minions.values();
        minions.filter(move |m| m.owned.minion.service == *service)
    }

    /// Picks a minion owned here with a free slot, or else a peer that reports one. A minion that
    /// was tried before is picked only when there is no other destination; a peer never is.
    pub(super) fn pick_destination(
        &mut self,
        now: Timestamp,
        id: RequestId,
    ) -> Option<Destination> {
        let pending = self.requests.get(&id)?;
        let tried = pending.tried.clone();
        let service = pending.request.service.clone();
        let forward = pending.request.origin == Origin::Caller;
        let fresh = self.pick_minion(now, &service, &tried);
        let fresh = fresh.or_else(|| self.pick_peer(&service, &tried).filter(|_| forward));
        if fresh.is_some() || tried.is_empty() {
            return fresh;
        }
        self.pick_minion(now, &service, &[])
    }

    fn pick_minion(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        avoid: &[CompactString],
    ) -> Option<Destination> {
        // The lease is checked at every start: an entry host that was paused until after its
        // lease expired would otherwise use minions that the control plane has assigned to
        // another entry host, and exceed their slots.
        if now >= self.leased_until {
            return None;
        }
        let zone = &self.cfg.zone;
        let of_service = self.minions.values().enumerate();
        let usable = of_service.filter(|(_, m)| {
            let announced = &m.owned.minion;
            announced.service == *service && m.free() > 0 && !avoid.contains(&announced.id)
        });
        let candidates: Vec<_> = usable
            .map(|(index, m)| Candidate {
                index,
                in_use: m.in_use(),
                limit: m.limit(),
                local: m.owned.minion.zone == *zone,
            })
            .collect();
        let index = self.choose.choose(&candidates, &mut self.rng)?;
        let minion = &self.minions.values().nth(index)?.owned.minion;
        Some(Destination::Minion {
            id: minion.id.clone(),
            process: minion.process,
        })
    }

    fn pick_peer(&mut self, service: &ServiceName, avoid: &[CompactString]) -> Option<Destination> {
        let candidates = self
            .peers
            .free(service, &self.cfg.zone, |peer| avoid.contains(peer));
        let index = self.choose.choose(&candidates, &mut self.rng)?;
        self.peers.name(index).map(Destination::Peer)
    }

    /// Starts an attempt.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        id: RequestId,
        destination: Destination,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        pending.attempts_started += 1;
        pending.attempts.push(attempt);
        let service = pending.request.service.clone();
        let declared = self.document.services.get(&service);
        let mean = self.services.get(&service).and_then(|s| s.latency.mean());
        let mut until = attempt_deadline(now, pending, declared, mean.unwrap_or_default());
        let target = match &destination {
            Destination::Minion { id: minion, .. } => {
                pending.tried.push(minion.clone());
                let Some(minion) = self.minions.get_mut(minion) else {
                    return;
                };
                minion.in_flight += 1;
                let announced = &minion.owned.minion;
                Target::Minion {
                    id: announced.id.clone(),
                    process: announced.process,
                    addr: announced.addr,
                    zone: announced.zone.clone(),
                    epoch: minion.owned.epoch,
                }
            }
            Destination::Peer(peer) => {
                pending.tried.push(peer.clone());
                until = until
                    .min(pending.request.deadline.saturating_sub(FORWARD_MARGIN))
                    .max(now);
                self.peers.count_sent(peer, &service);
                Target::Peer(peer.clone())
            }
        };
        let started = Attempt {
            request: id,
            service,
            destination,
            started: now,
            until,
        };
        self.changed_services.push(started.service.clone());
        self.attempts.insert(attempt, started);
        self.plan_hedge(now, id);
        out.push(Effect::Start {
            attempt,
            request: id,
            target,
            until,
        });
    }

    /// Schedules a hedged second attempt of an idempotent request, started if the first has not
    /// been answered by then.
    fn plan_hedge(&mut self, now: Timestamp, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let request = &pending.request;
        let first = pending.attempts_started == 1 && request.origin == Origin::Caller;
        let Some(service) = self.document.services.get(&request.service) else {
            return;
        };
        if !first || !request.idempotent || service.hedge_percentile == 0 {
            return;
        }
        let state = self.services.entry(request.service.clone()).or_default();
        if let Some(after) = state.latency.percentile(service.hedge_percentile) {
            pending.hedge_at = Some(now + after);
            self.hedges.insert((now + after, id));
        }
    }

    /// Starts queued requests of a service while there is a free slot.
    pub(super) fn dispatch_queued(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        out: &mut Vec<Effect>,
    ) {
        self.return_unservable(now, service, out);
        loop {
            let here = self.has_free(now, service);
            if !here && !self.peers.any_free(service) {
                return;
            }
            let Some(state) = self.services.get_mut(service) else {
                return;
            };
            let Some(id) = state.queue.pop() else {
                return;
            };
            if self.is_too_late(now, id) {
                let reason = CompactString::const_new("too little time was left for the work");
                self.fail_not_run(now, id, reason, RETRY_AFTER_MIN, out);
                continue;
            }
            match self.pick_destination(now, id) {
                Some(destination) => self.start(now, id, destination, out),
                None => return self.requeue(id, service),
            }
        }
    }

    /// Puts a request back in the queue when the free slot could not be used for it.
    fn requeue(&mut self, id: RequestId, service: &ServiceName) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let (team, priority) = (pending.request.team.clone(), pending.request.priority);
        let state = self.services.entry(service.clone()).or_default();
        state.queue.push(id, &team, priority);
    }

    pub(super) fn dispatch_all_queued(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let waiting = self.services.iter().filter(|(_, s)| !s.queue.is_empty());
        let names: Vec<_> = waiting.map(|(name, _)| name.clone()).collect();
        names
            .iter()
            .for_each(|name| self.dispatch_queued(now, name, out));
    }

    /// Reports load to the peers when a service loses its last free slot or regains one, and
    /// otherwise at a fixed interval.
    fn announce_load(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let mut due = now >= self.load_due;
        for name in std::mem::take(&mut self.changed_services) {
            let free = self.has_free(now, &name);
            let state = self.services.entry(name).or_default();
            due |= state.had_free != free;
            state.had_free = free;
        }
        if due {
            self.load_due = now + LOAD_REPORT_INTERVAL;
            out.push(Effect::AnnounceLoad);
        }
    }

    /// The retry-after time, with jitter so that refused callers don't all return at once.
    pub(super) fn jittered_retry_after(&mut self, wait: Duration) -> Duration {
        let wait = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        wait.mul_f64(self.rng.random_range(1.0..1.5))
    }
}

/// When to stop waiting for an attempt.
///
/// An idempotent request reserves half of its remaining time for a retry, because the connection
/// of the first attempt may be dead without being closed. If half of the remaining time could cut
/// off a request of ordinary duration, the attempt gets all of it.
fn attempt_deadline(
    now: Timestamp,
    pending: &PendingRequest,
    service: Option<&Service>,
    mean: Duration,
) -> Timestamp {
    let deadline = pending.request.deadline;
    let half = deadline.saturating_sub(now) / 2;
    let may_retry = pending.request.idempotent && service.is_some_and(|s| s.retry_percent > 0);
    let from_caller = pending.request.origin == Origin::Caller;
    if !may_retry
        || !from_caller
        || pending.attempts_started > 1
        || half < mean * MIN_RETRY_WAIT_FACTOR
    {
        return deadline;
    }
    now + half
}
