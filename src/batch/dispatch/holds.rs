//! Leases: when a minion is held, when it counts as silent, and when what ran there is over.

use std::time::Duration;

use super::mechanisms::Mechanism;
use super::minion::{HoldState, Presence};
use super::order::{HoldAnswer, HoldOrder, ListedEnd, Listing, MinionOrder, Order};
use super::run::{RunState, StopState};
use super::{Dispatcher, charged};
use crate::batch::ledger::{End, Ledger};
use crate::batch::model::{EndKind, MinionNumber, RunNumber, TaskId};
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
/// Declared time up to which a run counts as short.
const SHORT_RUN: Duration = Duration::from_millis(3000);
/// Part of the longest lease that is left out, for clocks read a round trip ago.
const LEASE_RESERVE: Duration = Duration::from_millis(200);
/// Lease of a minion that has said that it leaves. Its end is near, and its last word may be lost
/// with a leader or find none; its lasting tasks were then away for the whole of a lease of 10 s.
/// Two waits of a hold with time for a repetition: shorter leases would run out while it works.
pub(super) const LEAVING_LEASE: Duration = Duration::from_secs(4);
/// Pause before the next try at a minion that did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Pause between an answer with ends and the next hold: ends that come close together share one
/// look, and the ones just listed are agreed by then and can be acknowledged with it.
const GATHER: Duration = Duration::from_millis(15);
/// Ends a minion lists at most; with as many, runs it does not list may be among the rest.
const ENDS_LISTED: usize = 500;
/// Pause between two looks at a minion that still answers although its end was told of.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);
/// A silent minion that is idle and sends no report for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Pause between two lines about rows that could not be read: a foreign row stays listed.
const UNREADABLE_TOLD: Duration = Duration::from_secs(1);
/// Pause between two orders to stop a run that is listed although nobody wants it.
const STRAY_PAUSE: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Sends the holds that are due and gives up on minions whose lease is over.
    pub(super) fn tend_minions(&mut self, now: Timestamp) {
        // Few of them need anything at a time, and this is asked after every answer.
        let due = self.minions.values().filter(|m| m.needs_tending(now));
        let due: Vec<_> = due.map(|m| m.number).collect();
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
        let short = self.has_short_runs(number);
        let lease = self.lease_of(number);
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        // A silent minion is asked without a further lease: each one might reach it late, and its
        // tasks could never be started elsewhere while the leader kept asking.
        let deadline = minion
            .lease_deadline(now, lease)
            .filter(|_| minion.silent_calls == 0);
        minion.lease = minion.lease.max(deadline.unwrap_or_default());
        minion.hold = HoldState::Waiting(now);
        let here = minion.presence == Presence::Here;
        let wait = if minion.fenced && minion.silent_calls == 0 && here {
            if short { HOLD_WAIT_SHORT } else { HOLD_WAIT }
        } else {
            Duration::ZERO
        };
        let order = HoldOrder {
            deadline,
            token,
            acked: minion.acked_end,
            wait,
        };
        let target = minion.target();
        self.out
            .push(Order::Minion(target, MinionOrder::Hold(order)));
    }

    fn lease_of(&self, number: MinionNumber) -> Duration {
        let longest = self.cfg.lease_max - LEASE_RESERVE;
        match self.minions.get(&number) {
            Some(minion) if minion.draining => longest.min(LEAVING_LEASE),
            _ => longest,
        }
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

    fn has_short_runs(&self, number: MinionNumber) -> bool {
        let Some(minion) = self.minions.get(&number) else {
            return false;
        };
        let short = |run: &super::run::Run| {
            !run.estimate.is_zero() && run.estimate <= SHORT_RUN || run.is_leaving()
        };
        minion
            .runs
            .iter()
            .any(|id| self.runs.get(id).is_some_and(short))
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
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        match answer {
            HoldAnswer::Listing(listing) => {
                let pause = match (minion.presence, listing.ended.is_empty()) {
                    (Presence::Here, true) => Duration::ZERO,
                    (Presence::Here, false) => GATHER,
                    _ => LEAVING_PAUSE,
                };
                minion.hold = HoldState::Due(now + pause);
                self.take_listing(now, number, sent, listing, ledger);
            }
            HoldAnswer::OtherIncarnation => {
                self.minion_gone(now, number, "another incarnation answers")
            }
            HoldAnswer::Refused | HoldAnswer::Silent(_) => {
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
                    && let Some(why) = minion.shows_end(sent, silence, self.cfg.stop_time)
                {
                    self.minion_gone(now, number, why);
                }
            }
        }
    }

    fn take_listing(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        listing: Listing,
        ledger: &Ledger,
    ) {
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        minion.read_clock(listing.clock, sent, now);
        minion.answers_itself(sent);
        let first_word = !minion.fenced;
        minion.fenced = true;
        if first_word {
            self.place_wanted = true;
        }
        // An unreadable row may be any run. Taken for absent, it would be started a second time.
        let whole = listing.ended.len() < ENDS_LISTED && listing.unreadable == 0;
        if listing.unreadable > 0 {
            self.note_unreadable(now, number, listing.unreadable);
        }
        for end in &listing.ended {
            self.take_end(now, number, end);
        }
        for listed in &listing.running {
            self.take_running(now, number, listed, ledger);
        }
        if whole {
            self.reconcile(now, number, sent, &listing);
        }
    }

    fn note_unreadable(&mut self, now: Timestamp, number: MinionNumber, rows: u32) {
        let told = self.unreadable_told;
        if told.is_some_and(|at| now < at + UNREADABLE_TOLD) {
            return;
        }
        self.unreadable_told = Some(now);
        if let Some(minion) = self.minions.get(&number) {
            let minion = minion.report.id.clone();
            self.note(Note::RowsUnreadable { minion, rows });
        }
    }

    fn take_end(&mut self, now: Timestamp, number: MinionNumber, end: &ListedEnd) {
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        if end.number <= minion.seen_end {
            return;
        }
        minion.seen_end = end.number;
        self.unacknowledged.insert(number);
        if minion
            .strays
            .remove(&(end.task, end.run))
            .is_some_and(|(room, _)| {
                minion.used = minion.used.saturating_sub(&room);
                true
            })
        {
            self.place_wanted = true;
        }
        let ours = self
            .runs
            .get(&end.task)
            .is_some_and(|r| r.run == end.run && r.minion == number);
        if ours {
            match end.kind {
                EndKind::Done => {
                    minion.succeeded();
                    let run = &self.runs[&end.task];
                    let seen = run
                        .begun
                        .map_or(Duration::ZERO, |at| now.saturating_sub(at));
                    self.profiles.learn(&run.queue, run.estimate, seen);
                    if !run.resumed && !seen.is_zero() {
                        self.observed.entry(end.task.step).or_default().learn(seen);
                        // The room that comes free is given away in this very round, in an order
                        // that should know of it.
                        if self.ready.contains_key(&end.task.step) {
                            self.dirty_jobs.insert(end.task.step.job);
                        }
                    }
                    if self.cfg.mechanisms.has(Mechanism::LearntSpeeds) {
                        self.speeds.learn(&mut minion.pace, run.estimate, seen);
                    }
                }
                EndKind::Failed => minion.failed(now),
                _ => {}
            }
            self.run_over(now, end.task, end.kind, end.checkpoint.clone());
        }
    }

    /// The run of a task is over: frees its room and has its end agreed.
    pub(super) fn run_over(
        &mut self,
        now: Timestamp,
        task: TaskId,
        kind: EndKind,
        checkpoint: crate::batch::model::Checkpoint,
    ) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.state == RunState::Ending {
            return;
        }
        run.state = RunState::Ending;
        let checkpoint = if checkpoint.is_empty() {
            std::mem::take(&mut run.checkpoint)
        } else {
            checkpoint
        };
        let run = run.clone();
        self.free_room(task, &run);
        let id = self.minions.get(&run.minion).map(|m| m.report.id.clone());
        self.note(Note::RunEnded {
            task,
            run: run.run,
            minion: id.unwrap_or_default(),
            kind,
            age: now.saturating_sub(run.proposed),
        });
        self.batch.ends.push(End {
            task,
            run: run.run,
            kind,
            checkpoint,
        });
    }

    fn take_running(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        listed: &super::order::ListedRun,
        ledger: &Ledger,
    ) {
        if let Some(run) = self.runs.get_mut(&listed.task)
            && run.run == listed.run
            && run.minion == number
        {
            if matches!(run.state, RunState::Starting | RunState::InDoubt) {
                run.state = RunState::Running(now);
            }
            if !listed.checkpoint.is_empty() {
                run.checkpoint = listed.checkpoint.clone();
            }
            if run.ends && self.cfg.mechanisms.has(Mechanism::Progress) {
                run.take_progress(now, listed.percent);
            }
            return;
        }
        self.stop_stray(now, number, listed.task, listed.run, ledger);
    }

    /// Stops a run that no decision stands behind, and counts its room until it has ended.
    fn stop_stray(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        task: TaskId,
        run: RunNumber,
        ledger: &Ledger,
    ) {
        let need = ledger
            .jobs
            .get(&task.step.job)
            .and_then(|job| job.spec.steps.get(usize::from(task.step.step)))
            .map_or_else(Resources::default, charged);
        let token = self.term;
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        let due = match minion.strays.get(&(task, run)) {
            Some((_, told)) => now >= *told + STRAY_PAUSE,
            None => {
                minion.used = minion.used.saturating_add(&need);
                true
            }
        };
        if due {
            minion.strays.insert((task, run), (need, now));
            let target = minion.target();
            let stop = MinionOrder::Stop { task, run, token };
            self.out.push(Order::Minion(target, stop));
        }
    }

    /// Settles runs that the minion lists neither as running nor as ended.
    ///
    /// Only runs whose start was answered before the hold left can be missed: an answer to a
    /// hold may have been written before a start that was sent later was carried out. Runs in
    /// doubt are settled once they can no longer begin: their deadline has passed, their stop was
    /// confirmed, or they were ordered under a token that the minion refuses from now on.
    fn reconcile(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        listing: &Listing,
    ) {
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        let listed = |task: TaskId, run: RunNumber| {
            listing
                .running
                .iter()
                .any(|r| r.task == task && r.run == run)
        };
        let mut over = Vec::new();
        for task in &minion.runs {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            if listed(*task, run.run) {
                continue;
            }
            let stopped = matches!(run.stop, StopState::Confirmed(at) if at < sent);
            let kind = match run.state {
                RunState::Running(since) if since < sent => Some(EndKind::Lapsed),
                RunState::InDoubt if run.tries == 0 => Some(EndKind::NeverStarted),
                RunState::InDoubt if run.tries > 0 && listing.clock > run.deadline => {
                    Some(EndKind::NeverStarted)
                }
                _ if stopped => Some(EndKind::NeverStarted),
                _ => None,
            };
            if let Some(kind) = kind {
                over.push((*task, kind));
            }
        }
        for (task, kind) in over {
            self.run_over(now, task, kind, Default::default());
        }
        if let Some(minion) = self.minions.get_mut(&number) {
            // A stray that is neither running nor among the ends has ended before.
            let strays = std::mem::take(&mut minion.strays);
            for ((task, run), (room, told)) in strays {
                if listed(task, run) || told >= sent {
                    minion.strays.insert((task, run), (room, told));
                } else {
                    minion.used = minion.used.saturating_sub(&room);
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
            self.minion_gone(now, number, "silent and idle");
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
        for task in tasks {
            self.run_over(now, task, EndKind::Lapsed, Default::default());
        }
        if let Some(minion) = self.minions.get_mut(&number) {
            minion.used = Resources::default();
            minion.strays.clear();
        }
    }

    /// An incarnation is gone for good, and all that ran there with it.
    pub(super) fn minion_gone(&mut self, now: Timestamp, number: MinionNumber, why: &'static str) {
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        let tasks: Vec<_> = minion.runs.iter().copied().collect();
        let heard = minion.heard;
        let note = Note::MinionGone {
            minion: minion.report.id.clone(),
            why,
            heard: now.saturating_sub(heard),
            runs: tasks.len(),
        };
        self.note(note);
        for task in tasks {
            self.run_over(heard, task, EndKind::Lapsed, Default::default());
        }
        if let Some(minion) = self.minions.remove(&number) {
            self.by_id.remove(&minion.report.id);
            self.unacknowledged.remove(&number);
            self.forget_releases(number);
        }
        self.batch.gone.push(number);
    }
}
