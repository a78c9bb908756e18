//! Admission of requests: start at once, queue here, forward to the queue of a peer, or refuse.

use std::time::Duration;

use compact_str::{CompactString, format_compact};

use crate::document::Limits;
use crate::ids::{EntryId, ServiceName, Timestamp};
use crate::routing::choice::Choose;
use crate::routing::model::{Effect, Origin, Request, RequestId, RouteError};
use crate::routing::peers::relative_queue;
use crate::routing::router::{Destination, PendingRequest, RETRY_AFTER_MIN, Router};

/// Mean service time assumed before the first successful response.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);
/// A request is forwarded to a peer's queue only if the queue there, relative to its slots, is
/// below this percentage of the queue here.
const PEER_WAIT_PERCENT: u64 = 50;
/// Fraction of the mean service time, as a divisor, added to it as a margin in deadline checks.
const SERVICE_MARGIN_DIVISOR: u32 = 10;

impl<C: Choose> Router<C> {
    pub(super) fn arrive(&mut self, now: Timestamp, request: Request, out: &mut Vec<Effect>) {
        let id = request.id;
        let Some(service) = self.service(&request.service) else {
            let reason = format_compact!("no service is named {}", request.service);
            return out.push(refuse(id, reason, RETRY_AFTER_MIN));
        };
        let percent = service.retry_percent;
        if request.deadline <= now {
            return out.push(late(id, "the deadline had passed on arrival"));
        }
        if request.origin == Origin::Caller {
            if let Err(wait) = self.admit(now, &request) {
                let reason = format_compact!("team {} is at its limit", request.team);
                return out.push(limited(id, reason, wait));
            }
            let state = self.services.entry(request.service.clone()).or_default();
            state.budget.earn(now, percent);
        }
        self.deadlines.insert((request.deadline, id));
        let pending = PendingRequest {
            request,
            attempts: Vec::new(),
            attempts_started: 0,
            tried: Vec::new(),
            fallback: None,
            may_have_run: false,
            cancelled: false,
            hedge_at: None,
        };
        self.requests.insert(id, pending);
        self.dispatch(now, id, out);
    }

    fn admit(&mut self, now: Timestamp, request: &Request) -> Result<(), Duration> {
        let none = Limits::default();
        let team = self.document.teams.get(&request.team);
        let limits = team.map_or(&none, |team| &team.limits);
        let entries = self.entries;
        self.limits.admit(now, &request.team, limits, entries)
    }

    /// Starts an attempt if a slot is free here or at a peer, else queues or refuses the request.
    pub(super) fn dispatch(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        if let Some(destination) = self.pick_destination(now, id) {
            return self.start(now, id, destination, out);
        }
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let service = pending.request.service.clone();
        let from_caller = pending.request.origin == Origin::Caller;
        if self.slots_here(now, &service) == 0 {
            let announced = self.announced.get(&service).copied().unwrap_or(0);
            if announced == 0 && self.peers.total(&service).0 == 0 {
                let reason = format_compact!("no minion of {service} is announced");
                return self.fail_not_run(now, id, reason, Duration::from_secs(1), out);
            }
            if !from_caller {
                return self.return_forwarded(now, id, out);
            }
        }
        if from_caller && let Some(peer) = self.peer_with_shorter_queue(now, id, &service) {
            return self.start(now, id, Destination::Peer(peer), out);
        }
        self.enqueue(now, id, out);
    }

    /// Refuses a forwarded request: it can't be served here and may not be forwarded again.
    fn return_forwarded(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let reason = CompactString::const_new("no slot is usable here");
        self.fail_not_run(now, id, reason, RETRY_AFTER_MIN, out);
    }

    /// Refuses the queued requests of a service that were forwarded here if no slot is left for
    /// them, so that the entry hosts that forwarded them can send them elsewhere.
    pub(super) fn return_unservable(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        out: &mut Vec<Effect>,
    ) {
        let waiting = self.services.get(service).map(|state| &state.queue);
        let Some(queue) = waiting.filter(|queue| !queue.is_empty()) else {
            return;
        };
        if self.slots_here(now, service) > 0 {
            return;
        }
        let forwarded = |id: &RequestId| {
            let pending = self.requests.get(id);
            pending.is_some_and(|pending| pending.request.origin != Origin::Caller)
        };
        let mut ids: Vec<_> = queue.ids().filter(forwarded).collect();
        ids.sort_unstable();
        for id in ids {
            self.return_forwarded(now, id, out);
        }
    }

    /// The peer with the shortest queue, if the request would wait much less there than here.
    fn peer_with_shorter_queue(
        &self,
        now: Timestamp,
        id: RequestId,
        service: &ServiceName,
    ) -> Option<EntryId> {
        let pending = self.requests.get(&id)?;
        let tried = |peer: &EntryId| pending.tried.contains(peer);
        let (peer, peer_queue) = self.peers.shortest(service, tried)?;
        let slots = self.slots_here(now, service);
        let waiting = self.services.get(service).map_or(0, |s| s.queue.len());
        let own_queue = relative_queue(waiting as u32, slots);
        (slots == 0 || peer_queue * 100 < own_queue * PEER_WAIT_PERCENT).then_some(peer)
    }

    fn enqueue(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let request = &pending.request;
        let name = request.service.clone();
        let (team, priority) = (request.team.clone(), request.priority);
        let left = request.deadline.saturating_sub(now);
        let Some(bound) = self.service(&name).map(|s| s.queue as usize) else {
            let reason = format_compact!("service {name} was removed");
            return self.fail_not_run(now, id, reason, RETRY_AFTER_MIN, out);
        };
        let ahead = self
            .services
            .get(&name)
            .map_or(0, |s| s.queue.ahead_of(priority));
        let wait = self.expected_response_time(now, &name, ahead);
        if wait > left {
            let reason = format_compact!("{ahead} requests wait; the deadline would pass");
            return self.fail_not_run(now, id, reason, wait.saturating_sub(left), out);
        }
        let state = self.services.entry(name.clone()).or_default();
        if state.queue.len() >= bound {
            let Some(last) = state.queue.last_below(priority) else {
                let reason = format_compact!("the queue of {name} is full");
                return self.fail_not_run(now, id, reason, wait, out);
            };
            let reason = format_compact!("displaced by a request of higher priority");
            self.fail_not_run(now, last, reason, wait, out);
        }
        let state = self.services.entry(name).or_default();
        state.queue.push(id, &team, priority);
    }

    /// Expected time until a request with `ahead` others before it in the queue is answered:
    /// its wait in the queue and its service time.
    fn expected_response_time(
        &self,
        now: Timestamp,
        service: &ServiceName,
        ahead: usize,
    ) -> Duration {
        let mean = self.services.get(service).and_then(|s| s.latency.mean());
        let mean = mean.unwrap_or(DEFAULT_SERVICE_TIME);
        let slots = self.slots_here(now, service).max(1);
        let requests = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        self.expected_service(service) + mean * requests / slots
    }

    /// Expected time from the start of an attempt to its response, with a margin; zero before the
    /// first successful response.
    fn expected_service(&self, service: &ServiceName) -> Duration {
        let mean = self.services.get(service).and_then(|s| s.latency.mean());
        let mean = mean.unwrap_or_default();
        mean + mean / SERVICE_MARGIN_DIVISOR
    }

    /// Whether a queued request is unlikely to be answered before its deadline if it started now.
    /// Starting it would waste the slot and turn a definite refusal into an unknown outcome.
    pub(super) fn is_too_late(&self, now: Timestamp, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(&id) else {
            return true;
        };
        let left = pending.request.deadline.saturating_sub(now);
        left < self.expected_service(&pending.request.service)
    }
}

fn refuse(request: RequestId, reason: CompactString, retry_after: Duration) -> Effect {
    let error = RouteError::NotRun {
        reason,
        retry_after,
        late: false,
        limited: false,
    };
    Effect::Fail { request, error }
}

fn limited(request: RequestId, reason: CompactString, retry_after: Duration) -> Effect {
    let error = RouteError::NotRun {
        reason,
        retry_after,
        late: false,
        limited: true,
    };
    Effect::Fail { request, error }
}

fn late(request: RequestId, reason: &'static str) -> Effect {
    let error = RouteError::NotRun {
        reason: CompactString::const_new(reason),
        retry_after: RETRY_AFTER_MIN,
        late: true,
        limited: false,
    };
    Effect::Fail { request, error }
}
