//! How tries end: deliver, retry, or fail with `not-run` only where that is proved.

use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{MinionId, ProcessId, ServiceName, Timestamp};
use crate::routing::choice::Choose;
use crate::routing::model::{AttemptEnd, AttemptId, Effect, Origin, RequestId, RouteError};
use crate::routing::router::{Live, Place, Router, Try};

/// Most tries of one request.
const MAX_TRIES: u32 = 4;
/// Shortest time left that is worth another try.
const MIN_LEFT: Duration = Duration::from_millis(1);
/// Time a slot stays held beyond the deadline of a request that was given up.
const HOLD_MARGIN: Duration = Duration::from_secs(1);

impl<C: Choose> Router<C> {
    pub(super) fn ended(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<Effect>,
    ) {
        // A try that was aborted is forgotten: whatever it still says is late and dropped.
        let Some(ended) = self.attempts.remove(&attempt) else {
            return;
        };
        self.settle_place(now, &ended, end, out);
        if let Some(live) = self.requests.get_mut(&ended.request) {
            live.attempts.retain(|id| *id != attempt);
            self.judge(now, ended.request, attempt, end, out);
        }
        self.pump(now, &ended.service, out);
    }

    /// Frees or holds the slot, and learns from how the try ended.
    fn settle_place(
        &mut self,
        now: Timestamp,
        ended: &Try,
        end: AttemptEnd,
        out: &mut Vec<Effect>,
    ) {
        match &ended.place {
            Place::Minion { id, process } => {
                self.settle_minion(now, id, *process, ended, end, out);
            }
            Place::Peer(peer) => {
                if let AttemptEnd::NotRun { .. } = end {
                    self.peers.full(peer, &ended.service);
                }
            }
        }
    }

    fn settle_minion(
        &mut self,
        now: Timestamp,
        id: &MinionId,
        process: ProcessId,
        ended: &Try,
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
                    minion.pace_against(mean);
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
            AttemptEnd::Broken { silent } => {
                minion.hold(now, ended.until.max(now) + HOLD_MARGIN);
                if silent {
                    // Silence speaks of the connection. Only a probe over a new one that fails
                    // too speaks of the minion.
                    minion.probe_by(now);
                    out.push(Effect::Reconnect(id.clone()));
                }
                !silent
            }
        };
        if failed {
            self.count_failure(now, id, &ended.service);
        }
        self.after_minion_change(now, id, out);
    }

    fn judge(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&id) else {
            return;
        };
        match end {
            AttemptEnd::Answered { failed } => {
                let others = !live.attempts.is_empty();
                let again = failed && live.request.idempotent;
                live.may_have_run = true;
                if again {
                    live.fallback = Some(attempt);
                }
                if again && (others || self.retry(now, id, out)) {
                    return;
                }
                self.deliver(now, id, attempt, out);
            }
            AttemptEnd::NotRun { retry_after, .. } => {
                if !live.attempts.is_empty() || self.retry(now, id, out) {
                    return;
                }
                let reason = CompactString::const_new("no minion took the request");
                let wait = retry_after.unwrap_or_default();
                self.fail_not_run(now, id, reason, wait, out);
            }
            AttemptEnd::Broken { .. } => {
                live.may_have_run = true;
                let again = live.request.idempotent;
                let late = live.request.deadline <= now;
                if !live.attempts.is_empty() || (again && self.retry(now, id, out)) {
                    return;
                }
                let reason = CompactString::const_new("the answer was lost on the way");
                self.fail_unknown(now, id, reason, late, out);
            }
        }
    }

    /// Tries again within the deadline and the budget; false when it may not.
    fn retry(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) -> bool {
        let Some(live) = self.requests.get(&id) else {
            return false;
        };
        let left = live.request.deadline.saturating_sub(now);
        // A forwarded request goes back to the entry host it came from, which counts the
        // budget; retrying here too would multiply the tries.
        let ours = live.request.origin == Origin::Caller;
        if !ours || live.gone || live.tries >= MAX_TRIES || left < MIN_LEFT {
            return false;
        }
        let state = self
            .services
            .entry(live.request.service.clone())
            .or_default();
        if !state.budget.spend(now) {
            return false;
        }
        self.dispatch(now, id, out);
        true
    }

    /// Starts second tries that are due.
    pub(super) fn hedge_due(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        while let Some(&(at, id)) = self.hedges.first()
            && at <= now
        {
            self.hedges.pop_first();
            let Some(live) = self.requests.get_mut(&id) else {
                continue;
            };
            live.hedge_at = None;
            if live.gone || live.attempts.len() != 1 {
                continue;
            }
            self.hedge(now, id, out);
        }
    }

    fn hedge(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let Some(live) = self.requests.get(&id) else {
            return;
        };
        let service = live.request.service.clone();
        let tried = live.tried.clone();
        // A hedge takes only a slot that nobody waits for.
        let waiting = self
            .services
            .get(&service)
            .is_some_and(|s| !s.queue.is_empty());
        let Some(place) = self.place(now, id).filter(|_| !waiting) else {
            return;
        };
        let name = match &place {
            Place::Minion { id, .. } => id,
            Place::Peer(peer) => peer,
        };
        let state = self.services.entry(service).or_default();
        if !tried.contains(name) && state.budget.spend(now) {
            self.start(now, id, place, out);
        }
    }

    /// Fails every request whose deadline has passed.
    pub(super) fn deadlines_due(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            self.deadlines.pop_first();
            let Some(live) = self.requests.get(&id) else {
                continue;
            };
            if live.attempts.is_empty() && !live.may_have_run {
                self.fail_late(now, id, out);
            } else {
                let reason = CompactString::const_new("no whole answer came before the deadline");
                self.fail_unknown(now, id, reason, true, out);
            }
        }
    }

    /// The one who sent the request no longer waits: what has not started never does.
    pub(super) fn cancel(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let Some(live) = self.requests.get_mut(&id) else {
            return;
        };
        live.gone = true;
        if live.attempts.is_empty() {
            let reason = CompactString::const_new("the caller went away before the start");
            return self.fail_not_run(now, id, reason, Duration::ZERO, out);
        }
        // What runs at a minion runs on: its answer frees the slot with certainty. A peer is
        // told, so that a request waiting there is not started.
        for attempt in &live.attempts {
            if let Some(Try {
                place: Place::Peer(_),
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
        if self.close(now, id, out).is_some() {
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
            .is_some_and(|live| live.request.deadline <= now);
        self.fail(now, id, reason, wait, late, out);
    }

    fn fail_late(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let reason = CompactString::const_new("the deadline passed in the queue");
        self.fail_not_run(now, id, reason, Duration::ZERO, out);
    }

    /// Fails a request after its last try did not run. If an earlier one may have, the outcome
    /// is unknown; if an earlier one failed with a whole answer, that answer is given.
    fn fail(
        &mut self,
        now: Timestamp,
        id: RequestId,
        reason: CompactString,
        wait: Duration,
        late: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&id) else {
            return;
        };
        if let Some(fallback) = live.fallback {
            return self.deliver(now, id, fallback, out);
        }
        if live.may_have_run {
            return self.fail_unknown(now, id, reason, late, out);
        }
        let retry_after = self.spread(wait);
        if self.close(now, id, out).is_some() {
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
        if let Some(fallback) = self.requests.get(&id).and_then(|live| live.fallback) {
            return self.deliver(now, id, fallback, out);
        }
        if self.close(now, id, out).is_some() {
            let error = RouteError::Unknown { reason, late };
            out.push(Effect::Fail { request: id, error });
        }
    }

    /// Forgets a request and stops its tries; what they hold stays held.
    fn close(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) -> Option<Live> {
        let live = self.requests.remove(&id)?;
        let request = &live.request;
        self.deadlines.remove(&(request.deadline, id));
        if let Some(at) = live.hedge_at {
            self.hedges.remove(&(at, id));
        }
        if let Some(state) = self.services.get_mut(&request.service) {
            state.queue.remove(id);
        }
        if request.origin == Origin::Caller {
            self.limits.finish(&request.team);
        }
        for attempt in &live.attempts {
            self.abort(now, *attempt, out);
        }
        Some(live)
    }

    fn abort(&mut self, now: Timestamp, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(aborted) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Place::Minion { id, process } = &aborted.place
            && let Some(minion) = self.minions.get_mut(id)
            && minion.owned.minion.process == *process
        {
            minion.hold(now, aborted.until.max(now) + HOLD_MARGIN);
        }
        out.push(Effect::Abort(attempt));
    }

    /// Ejects a minion that keeps failing, unless too many are ejected already.
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
