//! Leases: when a minion is held, when it counts as silent, and when what ran there is over.

use std::time::Duration;

use super::Dispatcher;
use super::crashes::Proof;
use super::minion::{HoldState, Minion, Presence};
use super::order::{HoldAnswer, HoldOrder, Listing, MinionOrder, Order};
use crate::batch::ledger::Ledger;
use crate::batch::model::{EndKind, MinionNumber};
use crate::batch::note::Note;
use crate::ids::Timestamp;
use crate::resources::Resources;

/// How long a minion may wait for an end before it answers a hold. The platform's longest, as
/// each answer is a look that costs.
const HOLD_WAIT: Duration = Duration::from_millis(2000);
/// The same where short runs are under way. An answer that is lost hides every end on its minion
/// until the hold is given up: with 5% of the answers lost, a wait of 2 s made one check in six
/// late by 2.7 s (age of ends against declared times, a day of 700 jobs).
const HOLD_WAIT_SHORT: Duration = Duration::from_millis(500);
/// The same where a run is on trial: nothing else starts there until it is seen to work.
const HOLD_WAIT_TRIAL: Duration = Duration::from_millis(200);
/// Declared time up to which a run counts as short.
const SHORT_RUN: Duration = Duration::from_millis(3000);
/// Part of the longest lease that is left out, for clocks read a round trip ago.
const LEASE_RESERVE: Duration = Duration::from_millis(200);
/// Lease of a minion that has said that it leaves. Its end is near, and its last word may be lost
/// with a leader or find none; its lasting tasks were then away for the whole of a lease of 10 s.
/// A lost answer shows after up to 1.5 s, and its repetition grants nothing, so holds to such minions
/// wait for the shorter time: with waits of 2 s one lost hold let everything there lapse.
pub(super) const LEAVING_LEASE: Duration = Duration::from_secs(4);
/// Pause before the next try at a minion that did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Pause between an answer with ends and the next hold: ends that come close together share one
/// look, and the ones just listed are agreed by then and can be acknowledged with it.
const GATHER: Duration = Duration::from_millis(15);
/// Pause between two looks at a minion that still answers although its end was told of.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);
/// Time between two looks at all minions for what is due by time alone: a pause that is over, a lease
/// that has run out. Small against these pauses, and against a round trip.
const TEND_EVERY: Duration = Duration::from_millis(5);
/// A silent minion that is idle and sends no report for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

impl Dispatcher {
    /// Sends the holds that are due and gives up on minions whose lease is over.
    ///
    /// This is asked after every answer. A look at all minions each time would make the work for one
    /// answer grow with the cell, so in between only those that something happened to are looked at.
    pub(super) fn tend_minions(&mut self, now: Timestamp) {
        let touched = std::mem::take(&mut self.touched);
        let needs_tending = |m: &&Minion| m.needs_tending(now);
        let due: Vec<_> = if now >= self.tend_at {
            self.tend_at = now + TEND_EVERY;
            let due = self.minions.values().filter(needs_tending);
            due.map(|m| m.number).collect()
        } else {
            let touched = touched.iter().filter_map(|number| self.minions.get(number));
            touched.filter(needs_tending).map(|m| m.number).collect()
        };
        for number in due {
            self.end_lapsed(number, now);
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
        let lease = if minion.draining {
            longest.min(LEAVING_LEASE)
        } else {
            longest
        };
        // A silent minion is asked without a further lease: each one might reach it late, and its
        // tasks could never be started elsewhere while the leader kept asking.
        let deadline = minion
            .lease_deadline(now, lease)
            .filter(|_| minion.silent_calls == 0);
        minion.lease = minion.lease.max(deadline.unwrap_or_default());
        minion.hold = HoldState::Waiting(wait);
        // While it is silent it may start again, with ends that are numbered anew.
        let acked = if minion.silent_calls == 0 {
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
        // An end that waits for agreement would be listed again at once.
        let agreeing = minion.fenced && minion.seen_end > minion.acked_end;
        let pause = if agreeing && !minion.runs.is_empty() {
            GATHER * 4
        } else {
            Duration::ZERO
        };
        minion.wants_hold() && now >= at + pause
    }

    /// How long a minion may wait for an end before it answers its next hold.
    fn hold_wait(&self, now: Timestamp, minion: &Minion) -> Duration {
        let here = minion.presence == Presence::Here;
        if !minion.fenced || minion.silent_calls > 0 || !here {
            Duration::ZERO
        } else if minion.trials > 0 {
            // Whether it is up is to be known before the run on trial starts.
            if minion.is_heard(now) {
                HOLD_WAIT_TRIAL
            } else {
                Duration::ZERO
            }
        } else if self.wants_short_wait(minion) {
            HOLD_WAIT_SHORT
        } else {
            HOLD_WAIT
        }
    }

    fn wants_short_wait(&self, minion: &Minion) -> bool {
        let short = |run: &super::run::Run| {
            !run.estimate.is_zero() && run.estimate <= SHORT_RUN || run.is_leaving()
        };
        let mut runs = minion.runs.iter().filter_map(|id| self.runs.get(id));
        minion.draining || runs.any(short)
    }

    /// Takes the answer to the hold that was sent at `sent`.
    pub fn held(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        answer: HoldAnswer,
        ledger: &Ledger,
    ) {
        // An answer to a hold of an earlier term of this replica does not show that the minion knows
        // the present one: an order of a leader between the two could still be carried out.
        if sent < self.began {
            return;
        }
        self.touched.insert(number);
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        match answer {
            HoldAnswer::Listing(Listing {
                started: Some(started),
                ..
            }) if minion.is_other(started) => self.restart_listed(now, number, sent, started),
            HoldAnswer::Listing(listing) => {
                minion.answered_hold(sent, now);
                let pause = match (minion.presence, listing.ended.is_empty()) {
                    (Presence::Here, true) => Duration::ZERO,
                    (Presence::Here, false) => GATHER,
                    _ => LEAVING_PAUSE,
                };
                minion.hold = HoldState::Due(now + pause);
                self.take_listing(now, number, sent, listing, ledger);
            }
            HoldAnswer::OtherIncarnation => {
                self.minion_gone(now, number, sent, Proof::OtherIncarnation)
            }
            HoldAnswer::Refused | HoldAnswer::Silent(_) => {
                if let HoldAnswer::Silent(silence) = answer {
                    minion.failed_call(sent, silence, now);
                }
                minion.silent_calls += 1;
                // The first try follows at once, over another connection.
                let pause = (RETRY_PAUSE * (minion.silent_calls - 1)).min(RETRY_PAUSE_MAX);
                minion.hold = HoldState::Due(now + pause);
                if minion.silent_calls == 1 {
                    let note = Note::MinionSilent {
                        minion: minion.report.id.clone(),
                        brought: answer.as_str(),
                        heard: now.saturating_sub(minion.heard),
                        runs: minion.runs.len(),
                    };
                    self.note(note);
                }
                let minion = &self.minions[&number];
                if let HoldAnswer::Silent(silence) = answer
                    && let Some(proof) = minion.shows_end(sent, silence, self.cfg.stop_time)
                {
                    self.minion_gone(now, number, sent, proof);
                }
            }
        }
    }

    /// Ends all that ran on a silent minion once its lease is over for sure.
    fn end_lapsed(&mut self, number: MinionNumber, now: Timestamp) {
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        if minion.silent_calls == 0 {
            return;
        }
        let idle = minion.runs.is_empty() && minion.strays.is_empty();
        let ends = minion.presence != Presence::Here;
        let unheard = now > minion.reported + FORGET_AFTER;
        if idle && (unheard || ends) && minion.lease_over(now) {
            self.minion_gone(now, number, now, Proof::Idle);
            return;
        }
        if idle || !minion.lease_over(now) {
            return;
        }
        let tasks: Vec<_> = minion.runs.iter().copied().collect();
        let note = Note::MinionGone {
            minion: minion.report.id.clone(),
            why: "its lease is over",
            heard: now.saturating_sub(minion.heard),
            runs: tasks.len(),
        };
        self.note(note);
        let suspects = self.suspects(&self.minions[&number], now);
        for task in tasks {
            self.run_over(now, task, EndKind::Lapsed, Default::default());
        }
        if let Some(minion) = self.minions.get_mut(&number) {
            minion.lapsed.extend(suspects);
            minion.used = Resources::default();
            let strays = std::mem::take(&mut minion.strays);
            self.discharge(&strays);
        }
    }

    /// An incarnation is gone for good, and all that ran there with it; a call sent at `sent` showed
    /// it.
    pub(super) fn minion_gone(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        proof: Proof,
    ) {
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        let tasks: Vec<_> = minion.runs.iter().copied().collect();
        let heard = minion.heard;
        let note = Note::MinionGone {
            minion: minion.report.id.clone(),
            why: proof.as_str(),
            heard: now.saturating_sub(heard),
            runs: tasks.len(),
        };
        let crashed = proof.shows_crash(minion);
        let mut suspects = self.suspects(minion, sent);
        self.note(note);
        let kind = if crashed {
            EndKind::Crashed
        } else {
            EndKind::Lapsed
        };
        for task in tasks {
            self.run_over(heard, task, kind, Default::default());
        }
        if let Some(minion) = self.minions.remove(&number) {
            if crashed {
                suspects.extend(&minion.lapsed);
                self.count_crashes(minion.report.id.clone(), suspects);
            }
            self.forget_minion(&minion);
        }
    }
}
