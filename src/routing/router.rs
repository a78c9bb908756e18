//! The router of one entry host: takes requests in, starts tries, and keeps the queues moving.

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

/// Part of a forwarded request's time kept for the way back, so that the peer's own verdict
/// arrives before this entry host has to call the outcome unknown.
const FORWARD_MARGIN: Duration = Duration::from_millis(4);
/// Shortest time callers are told to stay away.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Longest time callers are told to stay away.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Mean service times that a first try is waited for at least.
const PATIENCE_FACTOR: u32 = 5;
/// Time between two reports of load to the peers when nothing special happened.
const LOAD_PERIOD: Duration = Duration::from_millis(100);

/// Who this entry host is.
#[derive(Clone, Debug, Default)]
pub struct RouterConfig {
    /// Its name.
    pub entry: EntryId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Seed of its random choices.
    pub seed: u64,
}

/// State of one service here.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceState {
    pub(super) queue: Queue,
    pub(super) budget: RetryBudget,
    pub(super) latency: Latency,
    pub(super) had_free: bool,
}

/// A request between arrival and its final verdict.
#[derive(Clone, Debug)]
pub(super) struct Live {
    pub(super) request: Request,
    pub(super) attempts: Vec<AttemptId>,
    pub(super) tries: u32,
    pub(super) tried: Vec<CompactString>,
    /// A failed answer that is given when no better one comes.
    pub(super) fallback: Option<AttemptId>,
    pub(super) may_have_run: bool,
    /// The caller went away: nothing new is started for it.
    pub(super) gone: bool,
    pub(super) hedge_at: Option<Timestamp>,
}

/// Where a try runs.
#[derive(Clone, Debug)]
pub(super) enum Place {
    Minion { id: MinionId, process: ProcessId },
    Peer(EntryId),
}

/// One try under way.
#[derive(Clone, Debug)]
pub(super) struct Try {
    pub(super) request: RequestId,
    pub(super) service: ServiceName,
    pub(super) place: Place,
    pub(super) started: Timestamp,
    pub(super) until: Timestamp,
}

/// Decides for one entry host; see the module.
pub struct Router<C = LeastBusy> {
    pub(super) cfg: RouterConfig,
    pub(super) choose: C,
    pub(super) rng: ChaCha8Rng,
    pub(super) document: Arc<Document>,
    pub(super) revision: Revision,
    pub(super) entries: u32,
    pub(super) leased_until: Timestamp,
    pub(super) announced: BTreeMap<ServiceName, u32>,
    pub(super) minions: BTreeMap<MinionId, Minion>,
    pub(super) services: HashMap<ServiceName, ServiceState>,
    pub(super) peers: Peers,
    pub(super) limits: TeamLimits,
    pub(super) requests: HashMap<RequestId, Live>,
    pub(super) attempts: HashMap<AttemptId, Try>,
    pub(super) deadlines: BTreeSet<(Timestamp, RequestId)>,
    pub(super) hedges: BTreeSet<(Timestamp, RequestId)>,
    pub(super) load_due: Timestamp,
    pub(super) leaving: bool,
    /// Services whose free slots may have changed in this step.
    pub(super) touched: Vec<ServiceName>,
    next_attempt: AttemptId,
}

impl<C: Choose> Router<C> {
    /// A router that knows nothing yet and refuses everything until it has a feed and a lease.
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
            touched: Vec::new(),
            next_attempt: 1,
        }
    }

    /// Takes in one event and appends what must be done.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Arrived(request) => self.arrive(now, request, out),
            Event::Cancelled(id) => self.cancel(now, id, out),
            Event::Ended { attempt, end } => self.ended(now, attempt, end, out),
            Event::Feed(feed) => self.feed(now, &feed, out),
            Event::Leased(until) => {
                self.leased_until = self.leased_until.max(until);
                self.pump_all(now, out);
            }
            Event::PeerLoad { peer, services } => {
                let names: Vec<_> = services.iter().map(|load| load.service.clone()).collect();
                self.peers.report(&peer, services);
                names.iter().for_each(|name| self.pump(now, name, out));
            }
            Event::PeerLost(peer) => self.peers.lost(&peer),
            Event::Probed {
                minion,
                epoch,
                sent,
                report,
            } => self.probed(now, &minion, epoch, sent, report, out),
            Event::Leaving => self.leave(now, out),
            Event::Tick => self.tick(now, out),
        }
        self.watch_load(now, out);
    }

    /// The document in force here.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Revision of the document in force here.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Requests without a final verdict.
    pub fn live(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.document.services.get(name)
    }

    /// Slots of this service that this entry host may use, free or not.
    pub(super) fn slots_here(&self, now: Timestamp, service: &ServiceName) -> u32 {
        if now >= self.leased_until {
            return 0;
        }
        self.minions_of(service).map(Minion::limit).sum()
    }

    /// Slots of this service that take a request now.
    pub(super) fn free_here(&self, now: Timestamp, service: &ServiceName) -> u32 {
        if now >= self.leased_until {
            return 0;
        }
        self.minions_of(service).map(Minion::free).sum()
    }

    /// Whether a slot of this service takes a request now.
    fn has_free(&self, now: Timestamp, service: &ServiceName) -> bool {
        now < self.leased_until && self.minions_of(service).any(|m| m.free() > 0)
    }

    fn minions_of(&self, service: &ServiceName) -> impl Iterator<Item = &Minion> {
        let minions = self.minions.values();
        minions.filter(move |m| m.owned.minion.service == *service)
    }

    /// A place with a free slot: an own minion, or else a peer. A place tried before is taken
    /// only when there is no other.
    pub(super) fn place(&mut self, now: Timestamp, id: RequestId) -> Option<Place> {
        let live = self.requests.get(&id)?;
        let tried = live.tried.clone();
        let service = live.request.service.clone();
        let forward = live.request.origin == Origin::Caller;
        let fresh = self.own_minion(now, &service, &tried);
        let fresh = fresh.or_else(|| self.peer_with_room(&service, &tried).filter(|_| forward));
        if fresh.is_some() || tried.is_empty() {
            return fresh;
        }
        self.own_minion(now, &service, &[])
    }

    fn own_minion(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        avoid: &[CompactString],
    ) -> Option<Place> {
        // The lease is checked at every start. An entry host that was paused past its lease
        // would otherwise use minions that control has given to another, and overfill them.
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
        Some(Place::Minion {
            id: minion.id.clone(),
            process: minion.process,
        })
    }

    fn peer_with_room(&mut self, service: &ServiceName, avoid: &[CompactString]) -> Option<Place> {
        let candidates = self
            .peers
            .free(service, &self.cfg.zone, |peer| avoid.contains(peer));
        let index = self.choose.choose(&candidates, &mut self.rng)?;
        self.peers.name(index).map(Place::Peer)
    }

    /// Starts one try.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        id: RequestId,
        place: Place,
        out: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        live.tries += 1;
        live.attempts.push(attempt);
        let service = live.request.service.clone();
        let declared = self.document.services.get(&service);
        let mean = self.services.get(&service).and_then(|s| s.latency.mean());
        let mut until = patience(now, live, declared, mean.unwrap_or_default());
        let target = match &place {
            Place::Minion { id: minion, .. } => {
                live.tried.push(minion.clone());
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
            Place::Peer(peer) => {
                live.tried.push(peer.clone());
                until = until
                    .min(live.request.deadline.saturating_sub(FORWARD_MARGIN))
                    .max(now);
                self.peers.sent(peer, &service);
                Target::Peer(peer.clone())
            }
        };
        let started = Try {
            request: id,
            service,
            place,
            started: now,
            until,
        };
        self.touched.push(started.service.clone());
        self.attempts.insert(attempt, started);
        self.plan_hedge(now, id);
        out.push(Effect::Start {
            attempt,
            request: id,
            target,
            until,
        });
    }

    /// Sets when a second try of an idempotent request starts if the first has not answered.
    fn plan_hedge(&mut self, now: Timestamp, id: RequestId) {
        let Some(live) = self.requests.get_mut(&id) else {
            return;
        };
        let request = &live.request;
        let first = live.tries == 1 && request.origin == Origin::Caller;
        let Some(service) = self.document.services.get(&request.service) else {
            return;
        };
        if !first || !request.idempotent || service.hedge_percentile == 0 {
            return;
        }
        let state = self.services.entry(request.service.clone()).or_default();
        if let Some(after) = state.latency.percentile(service.hedge_percentile) {
            live.hedge_at = Some(now + after);
            self.hedges.insert((now + after, id));
        }
    }

    /// Starts waiting requests of one service while there is a free slot.
    pub(super) fn pump(&mut self, now: Timestamp, service: &ServiceName, out: &mut Vec<Effect>) {
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
            match self.place(now, id) {
                Some(place) => self.start(now, id, place, out),
                None => return self.put_back(id, service),
            }
        }
    }

    /// Queues a request again for which the free slot was of no use.
    fn put_back(&mut self, id: RequestId, service: &ServiceName) {
        let Some(live) = self.requests.get(&id) else {
            return;
        };
        let (team, priority) = (live.request.team.clone(), live.request.priority);
        let state = self.services.entry(service.clone()).or_default();
        state.queue.push(id, &team, priority);
    }

    pub(super) fn pump_all(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let waiting = self.services.iter().filter(|(_, s)| !s.queue.is_empty());
        let names: Vec<_> = waiting.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.pump(now, name, out));
    }

    /// Reports load to the peers when a service ran out of free slots or has one again, and
    /// otherwise now and then.
    fn watch_load(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let mut due = now >= self.load_due;
        for name in std::mem::take(&mut self.touched) {
            let free = self.has_free(now, &name);
            let state = self.services.entry(name).or_default();
            due |= state.had_free != free;
            state.had_free = free;
        }
        if due {
            self.load_due = now + LOAD_PERIOD;
            out.push(Effect::AnnounceLoad);
        }
    }

    /// When to come back, spread so that refused callers don't all return at once.
    pub(super) fn spread(&mut self, wait: Duration) -> Duration {
        let wait = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        wait.mul_f64(self.rng.random_range(1.0..1.5))
    }
}

/// When to stop waiting for a try. An idempotent request keeps half of its time for another one:
/// its connection may be one that has gone silent. With so little time left that the half could
/// cut off ordinary work, it waits to the end.
fn patience(now: Timestamp, live: &Live, service: Option<&Service>, mean: Duration) -> Timestamp {
    let deadline = live.request.deadline;
    let half = deadline.saturating_sub(now) / 2;
    let again = live.request.idempotent && service.is_some_and(|s| s.retry_percent > 0);
    let ours = live.request.origin == Origin::Caller;
    if !again || !ours || live.tries > 1 || half < mean * PATIENCE_FACTOR {
        return deadline;
    }
    now + half
}
