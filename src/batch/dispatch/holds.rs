//! Holds, which renew the leases of minions and list their runs: when they are sent, when a minion
//! counts as silent, and when its runs are over.

use std::time::Duration;

use super::Dispatcher;
use super::crashes::GoneEvidence;
use super::minion::{HoldState, Minion, Presence};
use super::order::{HoldAnswer, HoldOrder, Listing, MinionOrder, Order};
use super::sharing::Sharing;
use crate::batch::event::Event;
use crate::batch::ledger::Ledger;
use crate::batch::model::{EndKind, MinionNumber};
use crate::ids::Timestamp;
use crate::resources::Resources;

/// How long a minion may wait for a run to end before it answers a hold. The platform's maximum, as
/// each answer costs a call.
const HOLD_WAIT: Duration = Duration::from_millis(2000);
/// The same for a minion with short runs. A lost answer hides all ends on its minion until the hold
/// times out: with 5% of the answers lost, a wait of 2 s made one quick check (a short job) in six
/// late by 2.7 s (age of ends against declared times, over a day of 700 jobs).
const HOLD_WAIT_SHORT: Duration = Duration::from_millis(500);
/// The same for a minion with a run on trial: nothing else starts there until that run is listed.
const HOLD_WAIT_TRIAL: Duration = Duration::from_millis(200);
/// The same for a minion that drains, whose lease is short.
const HOLD_WAIT_DRAINING: Duration = Duration::from_millis(250);
/// The same for a minion on which a tail latency is over its target beside tasks that use idle CPU.
const HOLD_WAIT_OVER_TARGET: Duration = Duration::from_millis(250);
/// Declared time up to which a run counts as short.
const SHORT_RUN: Duration = Duration::from_millis(3000);
/// Margin subtracted from the longest lease, as the minion's clock was read up to a round trip ago.
const LEASE_RESERVE: Duration = Duration::from_millis(200);
/// Lease of a minion that has reported or announced that it drains. Nothing shows its end but the
/// end of its lease, and until then its lasting tasks are down.
///
/// A lost answer shows only after up to a second, and the repeated hold grants no lease: one lost
/// hold must not let all runs there lapse.
const DRAINING_LEASE: Duration = Duration::from_millis(2700);
/// Upper bound of that lease in all versions, one of which an earlier leader may have.
pub(super) const MAX_DRAINING_LEASE: Duration = Duration::from_secs(4);
/// Lease of a minion with lasting tasks: these have to run again within 6 s, and after a crash
/// without a word nothing shows their end but the end of the lease.
const LASTING_LEASE: Duration = Duration::from_millis(5_500);
/// How long such a minion may wait before it answers a hold. A lost hold that shows only after its
/// wait and 1.5 s must leave time for the next one within the lease.
const HOLD_WAIT_LASTING: Duration = Duration::from_millis(1500);
/// Pause before the next hold to a minion that did not answer; grows by as much with each failure.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Upper bound of that pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Pause between an answer with ends and the next hold: ends that come close together share one
/// listing, and those just listed are committed by then and are acknowledged by the next hold.
const COLLECT_PAUSE: Duration = Duration::from_millis(15);
/// Pause between two holds to a minion that still answers although its end was announced.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);
/// Time between two checks of a minion whose next event has no known time: the lease of a silent
/// minion expires, or ends that delay a hold are committed. Small compared with a round trip.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// First holds of a new leader that one agent may have to answer at a time: an agent sends as many
/// within a few round trips.
const FIRST_HOLDS_PER_AGENT: usize = 8;
/// Most first holds at a time, however many agents there are: the leader handles so many answers
/// within a few milliseconds.
const MAX_FIRST_HOLDS: usize = 128;
/// A silent, idle minion that sends no report for this long is removed.
const REMOVE_IDLE_AFTER: Duration = Duration::from_secs(30);

impl Dispatcher {
    /// Sends the holds that are due and ends runs on silent minions whose lease is over.
    ///
    /// Called after every answer. Scanning all minions each time would make the work per answer
    /// grow with the cell, so only minions with a recent event or an expired timer are checked.
    pub(super) fn maintain_minions(&mut self, now: Timestamp) {
        let mut due = std::mem::take(&mut self.changed_minions);
        due.extend(self.timers.take_due(now));
        for number in due {
            self.count_examined();
            self.end_lapsed(number, now);
            self.move_runs_before_end(now, number);
            self.refresh_sharing(now, number);
            match self.minions.get(&number) {
                Some(minion) if !minion.fenced && minion.hold_is_due(now) => {
                    let idle = minion.runs.is_empty();
                    self.awaiting_first_hold.insert((idle, number));
                }
                _ => self.hold_if_due(number, now),
            }
            let next = self.minions.get(&number).and_then(|m| next_check(m, now));
            self.timers.set(number, next);
        }
        self.send_first_holds(now);
    }

    /// Sends first holds up to their limit. A new leader holds all minions for the first time; those
    /// with runs come first.
    fn send_first_holds(&mut self, now: Timestamp) {
        while self.first_holds.len() < self.max_first_holds()
            && let Some((_, number)) = self.awaiting_first_hold.pop_first()
        {
            self.count_examined();
            self.hold_if_due(number, now);
        }
    }

    fn hold_if_due(&mut self, number: MinionNumber, now: Timestamp) {
        let token = self.term;
        if !self.hold_is_due(number, now) {
            return;
        }
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        let wait = self.hold_wait(now, minion);
        let longest = self.cfg.lease_max - LEASE_RESERVE;
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        let lease = if minion.has_short_leases() {
            longest.min(DRAINING_LEASE)
        } else if minion.lasting > 0 {
            longest.min(LASTING_LEASE)
        } else {
            longest
        };
        // A hold to a silent minion grants no lease: any of them might arrive late, so its tasks
        // could never be started elsewhere while the leader keeps retrying. Neither does one to a
        // minion that may have ended: it would delay the end of its lease.
        let deadline = minion
            .lease_deadline(now, lease)
            .filter(|_| minion.failed_holds == 0 && !minion.may_have_ended());
        minion.lease = minion.lease.max(deadline.unwrap_or_default());
        minion.hold = HoldState::Waiting(wait);
        if !minion.fenced {
            self.first_holds.insert(number);
        }
        // A silent minion may have restarted and numbers its ends from the start again.
        let acked = if minion.failed_holds == 0 {
            minion.acked_end
        } else {
            0
        };
        let order = HoldOrder {
            deadline,
            token,
            acked,
            wait,
        };
        let target = minion.target();
        self.out
            .push(Order::Minion(target, MinionOrder::Hold(order)));
    }

    fn hold_is_due(&self, number: MinionNumber, now: Timestamp) -> bool {
        let Some(minion) = self.minions.get(&number) else {
            return false;
        };
        let HoldState::Due(at) = minion.hold else {
            return false;
        };
        // An end that is not committed yet is not acknowledged and would be listed again at once.
        let committing = minion.fenced && minion.seen_end > minion.acked_end;
        let pause = if committing && !minion.runs.is_empty() {
            COLLECT_PAUSE * 4
        } else {
            Duration::ZERO
        };
        minion.wants_hold() && now >= at + pause
    }

    /// Most first holds without an answer. Without a limit, a new leader of 6,000 minions sends as
    /// many holds through the few agents that have connected by then, and they are answered too
    /// late; and once all have connected, callers wait for half a second behind the answers.
    fn max_first_holds(&self) -> usize {
        let by_agents = self.agents.max(1) * FIRST_HOLDS_PER_AGENT;
        by_agents.min(MAX_FIRST_HOLDS)
    }

    /// How long a minion may wait for a run to end before it answers its next hold.
    fn hold_wait(&self, now: Timestamp, minion: &Minion) -> Duration {
        let present = minion.presence == Presence::Present;
        if !minion.fenced || minion.failed_holds > 0 || !present {
            Duration::ZERO
        } else if minion.trials > 0 {
            // A recent answer must show that it is up before the run on trial starts.
            if minion.is_known_up(now) {
                HOLD_WAIT_TRIAL
            } else {
                Duration::ZERO
            }
        } else if minion.sharing.as_ref().is_some_and(Sharing::is_high) {
            HOLD_WAIT_OVER_TARGET
        } else if minion.has_short_leases() {
            HOLD_WAIT_DRAINING
        } else if minion.is_shared() || self.wants_short_wait(minion) {
            HOLD_WAIT_SHORT
        } else if minion.lasting > 0 {
            HOLD_WAIT_LASTING
        } else {
            HOLD_WAIT
        }
    }

    fn wants_short_wait(&self, minion: &Minion) -> bool {
        let short = |run: &super::run::Run| {
            !run.declared.is_zero() && run.declared <= SHORT_RUN || run.is_stopping()
        };
        let mut runs = minion.runs.iter().filter_map(|id| self.runs.get(id));
        minion.health.is_probed() || runs.any(short)
    }

    /// Handles the answer to the hold that was sent at `sent`.
    pub fn hold_answered(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        answer: HoldAnswer,
        ledger: &Ledger,
    ) {
        // An answer to a hold from an earlier term of this replica does not prove that the minion
        // has seen the current token: it could still execute an order of a leader between the two
        // terms.
        if sent < self.began {
            return;
        }
        self.changed_minions.insert(number);
        self.first_holds.remove(&number);
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        match answer {
            HoldAnswer::Listing(Listing {
                started: Some(started),
                ..
            }) if minion.is_other_incarnation(started) => {
                self.restart_detected(now, number, sent, started)
            }
            HoldAnswer::Listing(listing) => {
                minion.record_hold_answer(sent, now);
                let pause = match (minion.presence, listing.ended.is_empty()) {
                    (Presence::Present, true) => Duration::ZERO,
                    (Presence::Present, false) => COLLECT_PAUSE,
                    _ => LEAVING_PAUSE,
                };
                minion.hold = HoldState::Due(now + pause);
                self.take_listing(now, number, sent, listing, ledger);
            }
            HoldAnswer::OtherIncarnation => {
                self.minion_gone(now, number, sent, GoneEvidence::OtherIncarnation)
            }
            HoldAnswer::Refused | HoldAnswer::Silent(_) => {
                if let HoldAnswer::Silent(failure) = answer {
                    minion.record_failed_call(sent, failure, now);
                }
                minion.failed_holds += 1;
                // The first retry follows at once, over another connection.
                let pause = (RETRY_PAUSE * (minion.failed_holds - 1)).min(RETRY_PAUSE_MAX);
                minion.hold = HoldState::Due(now + pause);
                if minion.failed_holds == 1 {
                    self.silent.insert(number);
                    let event = Event::MinionSilent {
                        minion: minion.report.id.clone(),
                        brought: answer.as_str(),
                        heard: now.saturating_sub(minion.heard),
                        runs: minion.runs.len(),
                    };
                    self.emit(event);
                    self.recheck_copies_on(now, number);
                }
            }
        }
    }

    /// Ends all runs on a silent minion once its lease is certainly over.
    fn end_lapsed(&mut self, number: MinionNumber, now: Timestamp) {
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        if minion.failed_holds == 0 {
            return;
        }
        let idle = minion.runs.is_empty() && minion.orphaned_runs.is_empty();
        let announced = matches!(minion.presence, Presence::Leaving(_));
        let no_report = now > minion.reported + REMOVE_IDLE_AFTER;
        if idle && (no_report || announced) && minion.lease_over(now) {
            self.minion_gone(now, number, now, GoneEvidence::Idle);
            return;
        }
        if idle || !minion.lease_over(now) {
            return;
        }
        let tasks: Vec<_> = minion.runs.iter().copied().collect();
        let event = Event::MinionGone {
            minion: minion.report.id.clone(),
            why: "its lease is over",
            heard: now.saturating_sub(minion.heard),
            runs: tasks.len(),
        };
        self.emit(event);
        let suspects = self.all_suspects(&self.minions[&number], now);
        for task in tasks {
            if self.runs.get(&task).is_some_and(|run| !run.ends) {
                self.lapsing.insert(task);
            }
            self.run_over(now, task, EndKind::Lapsed, Default::default());
        }
        if let Some(minion) = self.minions.get_mut(&number) {
            minion.lapsed.extend(suspects);
            minion.used = Resources::default();
            let orphans = std::mem::take(&mut minion.orphaned_runs);
            self.stop_charging(&orphans);
            self.index_room(number);
        }
    }

    /// Removes an incarnation that is gone and ends its runs. A call sent at `sent` showed
    /// that it is gone.
    pub(super) fn minion_gone(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        evidence: GoneEvidence,
    ) {
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        let tasks: Vec<_> = minion.runs.iter().copied().collect();
        let heard = minion.heard;
        let event = Event::MinionGone {
            minion: minion.report.id.clone(),
            why: evidence.as_str(),
            heard: now.saturating_sub(heard),
            runs: tasks.len(),
        };
        let crashed = evidence.shows_crash(minion);
        let mut suspects = self.suspects(now, minion, sent);
        let worked = self.suspects_that_worked(minion);
        self.emit(event);
        let kind = if crashed {
            EndKind::Crashed
        } else {
            EndKind::Lapsed
        };
        // When it ended is not known, so the ages of its runs are logged as of the last contact.
        for task in tasks {
            self.run_over(heard, task, kind, Default::default());
        }
        if let Some(minion) = self.minions.remove(&number) {
            if crashed {
                self.record_crash_site(now, &minion);
                suspects.extend(&minion.lapsed);
                if suspects.is_empty() {
                    self.crashed_without_suspects = Some(now);
                }
                self.count_crashes(minion.report.id.clone(), suspects);
                self.batch.crashes_reset.extend(worked);
            }
            self.drop_minion_state(&minion);
        }
    }
}

/// When a minion should be checked again if nothing changes until then; `None` for one with a
/// pending hold, without work, or that awaits its first hold.
fn next_check(minion: &Minion, now: Timestamp) -> Option<Timestamp> {
    if minion.failed_holds > 0 {
        return Some(now + CHECK_INTERVAL);
    }
    match minion.hold {
        HoldState::Due(at) if minion.wants_hold() && at > now => Some(at),
        HoldState::Due(_) if minion.wants_hold() && minion.fenced => Some(now + CHECK_INTERVAL),
        _ => None,
    }
}
