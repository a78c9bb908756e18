//! Results of attempts and requests: deliver, retry or fail. A request fails as `not-run` only if
//! no attempt can have run.

use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{MinionId, ProcessId, ServiceName, Timestamp};
use crate::routing::choice::Choose;
use crate::routing::model::{AttemptEnd, AttemptId, Effect, Origin, RequestId, RouteError};
use crate::routing::router::{Attempt, Destination, PendingRequest, Router};

/// Maximum attempts of one request, hedged ones included.
const MAX_ATTEMPTS: u32 = 4;
/// Minimum time left before the deadline for another attempt.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(1);
/// Time for which a slot stays held after the end time of its abandoned attempt.
const HOLD_MARGIN: Duration = Duration::from_secs(1);

impl<C: Choose> Router<C> {
    pub(super) fn attempt_ended(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<Effect>,
    ) {
        // An aborted attempt was removed before; its late result is dropped.
        let Some(ended) = self.attempts.remove(&attempt) else {
            return;
        };
        self.release_destination(now, &ended, end, out);
        if let Some(pending) = self.requests.get_mut(&ended.request) {
            pending.attempts.retain(|id| *id != attempt);
            self.resolve_request(now, ended.request, attempt, end, out);
        }
        self.dispatch_queued(now, &ended.service, out);
    }

    /// Frees or holds the slot of an attempt, and updates service times and health by its result.
    fn release_destination(
        &mut self,
        now: Timestamp,
        ended: &Attempt,
        end: AttemptEnd,
        out: &mut Vec<Effect>,
    ) {
        match &ended.destination {
            Destination::Minion { id, process } => {
                self.release_minion_slot(now, id, *process, ended, end, out);
            }
            Destination::Peer(peer) => {
                if let AttemptEnd::NotRun { .. } = end {
                    self.peers.mark_full(peer, &ended.service);
                }
            }
        }
    }

    fn release_minion_slot(
        &mut self,
        now: Timestamp,
        id: &MinionId,
        process: ProcessId,
        ended: &Attempt,
        end: AttemptEnd,
        out: &mut Vec<Effect>,
    ) {
        if let AttemptEnd::Answered { failed: false } = end {
            let time = now.saturating_sub(ended.started);
            let state = self.services.entry(ended.service.clone()).or_default();
            state.latency.record(time);
        }
        let mean = self
            .services
            .get(&ended.service)
            .and_then(|s| s.latency.mean());
        let Some(minion) = self.minions.get_mut(id) else {
            return;
        };
        if minion.owned.minion.process != process {
            return;
        }
        let failed = match end {
            AttemptEnd::Answered { failed } => {
                minion.finish();
                if !failed {
                    minion.latency.record(now.saturating_sub(ended.started));
                    minion.limit_concurrency(mean);
                    minion.succeeded();
                }
                failed
            }
            AttemptEnd::NotRun { unreachable, .. } => {
                minion.finish();
                if unreachable {
                    minion.unreachable(now);
                }
                false
            }
            AttemptEnd::Broken { timed_out } => {
                minion.hold(now, ended.until.max(now) + HOLD_MARGIN);
                if timed_out {
                    // A timeout may be a fault of this connection alone. The minion counts as
                    // unreachable only if a probe over a new connection fails too.
                    minion.probe_by(now);
                    out.push(Effect::Reconnect(id.clone()));
                }
                !timed_out
            }
        };
        if failed {
            self.count_failure(now, id, &ended.service);
        }
        self.after_minion_change(now, id, out);
    }

    fn resolve_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        match end {
            AttemptEnd::Answered { failed } => {
                let others = !pending.attempts.is_empty();
                let may_retry = failed && pending.request.idempotent;
                pending.may_have_run = true;
                if may_retry {
                    pending.fallback = Some(attempt);
                }
                if may_retry && (others || self.retry(now, id, out)) {
                    return;
                }
                self.deliver(now, id, attempt, out);
            }
            AttemptEnd::NotRun { retry_after, .. } => {
                if !pending.attempts.is_empty() || self.retry(now, id, out) {
                    return;
                }
                let reason = CompactString::const_new("no minion took the request");
                let wait = retry_after.unwrap_or_default();
                self.fail_not_run(now, id, reason, wait, out);
            }
            AttemptEnd::Broken { .. } => {
                pending.may_have_run = true;
                let may_retry = pending.request.idempotent;
                let late = pending.request.deadline <= now;
                if !pending.attempts.is_empty() || (may_retry && self.retry(now, id, out)) {
                    return;
                }
                let reason = CompactString::const_new("the answer was lost on the way");
                self.fail_unknown(now, id, reason, late, out);
            }
        }
    }

    /// Dispatches the request again if the deadline and the retry budget allow it, else false.
    fn retry(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) -> bool {
        let Some(pending) = self.requests.get(&id) else {
            return false;
        };
        let left = pending.request.deadline.saturating_sub(now);
        // A forwarded request is retried only by the entry host that forwarded it, from its retry
        // budget; retrying here too would multiply the attempts.
        let from_caller = pending.request.origin == Origin::Caller;
        if !from_caller
            || pending.cancelled
            || pending.attempts_started >= MAX_ATTEMPTS
            || left < MIN_TIME_FOR_RETRY
        {
            return false;
        }
        let state = self
            .services
            .entry(pending.request.service.clone())
            .or_default();
        if !state.budget.spend(now) {
            return false;
        }
        self.dispatch(now, id, out);
        true
    }

    /// Starts hedged attempts that are due.
    pub(super) fn hedge_due(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        while let Some(&(at, id)) = self.hedges.first()
            && at <= now
        {
            self.hedges.pop_first();
            let Some(pending) = self.requests.get_mut(&id) else {
                continue;
            };
            pending.hedge_at = None;
            if pending.cancelled || pending.attempts.len() != 1 {
                continue;
            }
            self.hedge(now, id, out);
        }
    }

    fn hedge(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let service = pending.request.service.clone();
        let tried = pending.tried.clone();
        // A hedged attempt must not take a slot that a queued request needs.
        let waiting = self
            .services
            .get(&service)
            .is_some_and(|s| !s.queue.is_empty());
        let Some(destination) = self.pick_destination(now, id).filter(|_| !waiting) else {
            return;
        };
        let name = match &destination {
            Destination::Minion { id, .. } => id,
            Destination::Peer(peer) => peer,
        };
        let state = self.services.entry(service).or_default();
        if !tried.contains(name) && state.budget.spend(now) {
            self.start(now, id, destination, out);
        }
    }

    /// Fails every request whose deadline has passed.
    pub(super) fn deadlines_due(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            self.deadlines.pop_first();
            let Some(pending) = self.requests.get(&id) else {
                continue;
            };
            if pending.attempts.is_empty() && !pending.may_have_run {
                self.fail_late(now, id, out);
            } else {
                let reason = CompactString::const_new("no whole answer came before the deadline");
                self.fail_unknown(now, id, reason, true, out);
            }
        }
    }

    /// Cancels a request whose caller or peer no longer waits: no further attempt is started.
    pub(super) fn cancel(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.cancelled = true;
        if pending.attempts.is_empty() {
            let reason = CompactString::const_new("the caller went away before the start");
            return self.fail_not_run(now, id, reason, Duration::ZERO, out);
        }
        // An attempt at a minion continues, because its response proves that the slot is free. At
        // a peer it is withdrawn, so that a request queued there is not started.
        for attempt in &pending.attempts {
            if let Some(Attempt {
                destination: Destination::Peer(_),
                ..
            }) = self.attempts.get(attempt)
            {
                out.push(Effect::Withdraw(*attempt));
            }
        }
    }

    fn deliver(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: AttemptId,
        out: &mut Vec<Effect>,
    ) {
        if self.remove_request(now, id, out).is_some() {
            out.push(Effect::Deliver {
                request: id,
                attempt,
            });
        }
    }

    pub(super) fn fail_not_run(
        &mut self,
        now: Timestamp,
        id: RequestId,
        reason: CompactString,
        wait: Duration,
        out: &mut Vec<Effect>,
    ) {
        let late = self
            .requests
            .get(&id)
            .is_some_and(|pending| pending.request.deadline <= now);
        self.fail(now, id, reason, wait, late, out);
    }

    fn fail_late(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let reason = CompactString::const_new("the deadline passed in the queue");
        self.fail_not_run(now, id, reason, Duration::ZERO, out);
    }

    /// Fails a request whose last attempt did not run. If an earlier attempt may have run, the
    /// outcome is unknown; if one ended with a complete error response, that is delivered.
    fn fail(
        &mut self,
        now: Timestamp,
        id: RequestId,
        reason: CompactString,
        wait: Duration,
        late: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if let Some(fallback) = pending.fallback {
            return self.deliver(now, id, fallback, out);
        }
        if pending.may_have_run {
            return self.fail_unknown(now, id, reason, late, out);
        }
        let retry_after = self.jittered_retry_after(wait);
        if self.remove_request(now, id, out).is_some() {
            let error = RouteError::NotRun {
                reason,
                retry_after,
                late,
                limited: false,
            };
            out.push(Effect::Fail { request: id, error });
        }
    }

    fn fail_unknown(
        &mut self,
        now: Timestamp,
        id: RequestId,
        reason: CompactString,
        late: bool,
        out: &mut Vec<Effect>,
    ) {
        if let Some(fallback) = self.requests.get(&id).and_then(|pending| pending.fallback) {
            return self.deliver(now, id, fallback, out);
        }
        if self.remove_request(now, id, out).is_some() {
            let error = RouteError::Unknown { reason, late };
            out.push(Effect::Fail { request: id, error });
        }
    }

    /// Removes a request and aborts its attempts; the slots of those at minions stay held.
    fn remove_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        out: &mut Vec<Effect>,
    ) -> Option<PendingRequest> {
        let pending = self.requests.remove(&id)?;
        let request = &pending.request;
        self.deadlines.remove(&(request.deadline, id));
        if let Some(at) = pending.hedge_at {
            self.hedges.remove(&(at, id));
        }
        if let Some(state) = self.services.get_mut(&request.service) {
            state.queue.remove(id);
        }
        if request.origin == Origin::Caller {
            self.limits.finish(&request.team);
        }
        for attempt in &pending.attempts {
            self.abort(now, *attempt, out);
        }
        Some(pending)
    }

    fn abort(&mut self, now: Timestamp, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(aborted) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Destination::Minion { id, process } = &aborted.destination
            && let Some(minion) = self.minions.get_mut(id)
            && minion.owned.minion.process == *process
        {
            minion.hold(now, aborted.until.max(now) + HOLD_MARGIN);
        }
        out.push(Effect::Abort(attempt));
    }

    /// Counts a failure and ejects the minion if it fails too often, unless too many are ejected.
    fn count_failure(&mut self, now: Timestamp, id: &MinionId, service: &ServiceName) {
        let eject = self
            .minions
            .get_mut(id)
            .is_some_and(|minion| minion.failed());
        if eject && self.may_eject(service) {
            if let Some(minion) = self.minions.get_mut(id) {
                minion.eject(now);
            }
            metrics::counter!("yuccahold_entry_ejections_total").increment(1);
        }
    }
}
