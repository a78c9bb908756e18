//! What happens to a request that arrives or has no slot at once: admitted, queued, sent to wait
//! at a peer, or refused early.

use std::time::Duration;

use compact_str::{CompactString, format_compact};

use crate::document::Limits;
use crate::ids::{EntryId, ServiceName, Timestamp};
use crate::routing::choice::Choose;
use crate::routing::model::{Effect, Origin, Request, RequestId, RouteError};
use crate::routing::peers::wait_share;
use crate::routing::router::{Live, Place, RETRY_AFTER_MIN, Router};

/// Service time assumed before one was measured.
const SERVICE_TIME_GUESS: Duration = Duration::from_millis(20);
/// Share of the own wait below which a peer's wait must lie to send a request to wait there.
const PEER_WAIT_PERCENT: u64 = 50;
/// Share of the mean service time added to it when a deadline is judged, as a divisor.
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
        let live = Live {
            request,
            attempts: Vec::new(),
            tries: 0,
            tried: Vec::new(),
            fallback: None,
            may_have_run: false,
            gone: false,
            hedge_at: None,
        };
        self.requests.insert(id, live);
        self.dispatch(now, id, out);
    }

    fn admit(&mut self, now: Timestamp, request: &Request) -> Result<(), Duration> {
        let none = Limits::default();
        let team = self.document.teams.get(&request.team);
        let limits = team.map_or(&none, |team| &team.limits);
        let entries = self.entries;
        self.limits.admit(now, &request.team, limits, entries)
    }

    /// Starts a try at once if a slot is free anywhere, else queues or refuses.
    pub(super) fn dispatch(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        if let Some(place) = self.place(now, id) {
            return self.start(now, id, place, out);
        }
        let Some(live) = self.requests.get(&id) else {
            return;
        };
        let service = live.request.service.clone();
        let from_caller = live.request.origin == Origin::Caller;
        if self.slots_here(now, &service) == 0 && self.peers.total(&service).0 == 0 {
            if self.announced.get(&service).copied().unwrap_or(0) == 0 {
                let reason = format_compact!("no minion of {service} is announced");
                return self.fail_not_run(now, id, reason, Duration::from_secs(1), out);
            }
            if !from_caller {
                let reason = CompactString::const_new("no slot is usable here");
                return self.fail_not_run(now, id, reason, RETRY_AFTER_MIN, out);
            }
        }
        if from_caller && let Some(peer) = self.shorter_queue(now, id, &service) {
            return self.start(now, id, Place::Peer(peer), out);
        }
        self.enqueue(now, id, out);
    }

    /// A peer where the request would wait much less than here.
    fn shorter_queue(
        &self,
        now: Timestamp,
        id: RequestId,
        service: &ServiceName,
    ) -> Option<EntryId> {
        let live = self.requests.get(&id)?;
        let tried = |peer: &EntryId| live.tried.contains(peer);
        let (peer, theirs) = self.peers.shortest(service, tried)?;
        let slots = self.slots_here(now, service);
        let waiting = self.services.get(service).map_or(0, |s| s.queue.len());
        let ours = wait_share(waiting as u32, slots);
        (slots == 0 || theirs * 100 < ours * PEER_WAIT_PERCENT).then_some(peer)
    }

    fn enqueue(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let Some(live) = self.requests.get(&id) else {
            return;
        };
        let request = &live.request;
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
        let wait = self.expected_wait(now, &name, ahead);
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

    /// Time until a request with `ahead` others before it has a slot and is answered.
    fn expected_wait(&self, now: Timestamp, service: &ServiceName, ahead: usize) -> Duration {
        let mean = self.services.get(service).and_then(|s| s.latency.mean());
        let mean = mean.unwrap_or(SERVICE_TIME_GUESS);
        let slots = self.slots_here(now, service).max(1);
        let turns = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        self.expected_service(service) + mean * turns / slots
    }

    /// Time within which a started request is likely to be answered; zero when nothing is known.
    fn expected_service(&self, service: &ServiceName) -> Duration {
        let mean = self.services.get(service).and_then(|s| s.latency.mean());
        let mean = mean.unwrap_or_default();
        mean + mean / SERVICE_MARGIN_DIVISOR
    }

    /// Whether a queued request would hardly be answered in time if it started now. Starting it
    /// would waste the slot and turn a clean refusal into an unknown outcome.
    pub(super) fn is_too_late(&self, now: Timestamp, id: RequestId) -> bool {
        let Some(live) = self.requests.get(&id) else {
            return true;
        };
        let left = live.request.deadline.saturating_sub(now);
        left < self.expected_service(&live.request.service)
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
