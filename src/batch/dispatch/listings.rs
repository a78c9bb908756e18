//! Listings of minions: runs that are running, runs that have ended, and what follows for runs that
//! are listed as neither.

use std::collections::BTreeMap;
use std::time::Duration;

use super::health::Failure;
use super::mechanisms::Mechanism;
use super::minion::OrphanedRun;
use super::order::{ListedEnd, ListedRun, Listing, MinionOrder, Order};
use super::run::{RunState, StopState};
use super::{Dispatcher, demand};
use crate::batch::event::Event;
use crate::batch::ledger::{End, Ledger};
use crate::batch::model::{Checkpoint, EndKind, MinionNumber, RunNumber, TaskId};
use crate::ids::Timestamp;

/// Most ends that a minion lists. A listing with this many may be truncated, so a run that it does
/// not contain may have ended too.
const MAX_ENDS_LISTED: usize = 500;
/// Least time between two log lines about unreadable rows: such a row stays listed.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Least time between two orders to stop the same orphaned run.
const ORPHAN_STOP_INTERVAL: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Handles the listing in an answer to the hold that was sent at `sent`.
    pub(super) fn take_listing(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        mut listing: Listing,
        ledger: &Ledger,
    ) {
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        minion.record_clock(listing.clock, sent, now);
        minion.confirm_presence(sent);
        // The same incarnation answers, so it did not crash.
        minion.lapsed.clear();
        let first_answer = !minion.fenced;
        minion.fenced = true;
        if first_answer {
            self.placement_requested = true;
        }
        // An unreadable row may be any run. If that run counted as absent, its task would be
        // started a second time.
        let is_complete = listing.ended.len() < MAX_ENDS_LISTED && listing.unreadable == 0;
        if listing.unreadable > 0 {
            self.report_unreadable(now, number, listing.unreadable);
        }
        // An end that follows a later one in the listing would be acknowledged without being counted.
        listing.ended.sort_unstable_by_key(|end| end.number);
        for end in &listing.ended {
            self.take_end(now, number, end);
        }
        for listed in &listing.running {
            self.take_running(now, number, listed, ledger);
        }
        self.observe_tails(now, number, &listing.running);
        if is_complete {
            self.reconcile(now, number, sent, &listing);
        }
    }

    fn report_unreadable(&mut self, now: Timestamp, number: MinionNumber, rows: u32) {
        let logged = self.unreadable_logged_at;
        if logged.is_some_and(|at| now < at + UNREADABLE_LOG_INTERVAL) {
            return;
        }
        self.unreadable_logged_at = Some(now);
        if let Some(minion) = self.minions.get(&number) {
            let minion = minion.report.id.clone();
            self.emit(Event::RowsUnreadable { minion, rows });
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
        if let Some(orphan) = minion.orphaned_runs.remove(&(end.task, end.run)) {
            self.orphan_ended(number, end.task, end.run, &orphan);
        }
        let key = self.run_key(end.task, end.run);
        if let Some(key) = key.filter(|key| self.runs[key].minion == number) {
            match end.kind {
                EndKind::Done => self.record_done(now, number, key),
                EndKind::Failed => self.count_failure(now, number, key, Failure::Run),
                _ => {}
            }
            self.run_over(now, key, end.kind, end.checkpoint.clone());
        }
    }

    fn record_done(&mut self, now: Timestamp, number: MinionNumber, task: TaskId) {
        let (Some(minion), Some(run)) = (self.minions.get_mut(&number), self.runs.get(&task))
        else {
            return;
        };
        minion.health.succeeded(run);
        let run_time = run.elapsed(now);
        self.profiles.learn(&run.queue, run.declared, run_time);
        if self.cfg.mechanisms.has(Mechanism::LearntSpeeds) {
            self.speeds.learn(&mut minion.pace, run.declared, run_time);
        }
        if run.resumed || run_time.is_zero() {
            return;
        }
        self.observed.entry(task.step).or_default().learn(run_time);
        // The freed room is assigned in this same round, so the order of service must include this
        // run time.
        if self.ready.contains_key(&task.step) {
            self.dirty_jobs.insert(task.step.job);
        }
    }

    /// Ends the run of a task: frees its room and adds its end to the next batch. The logged age of
    /// the run is its age at `as_of`.
    pub(super) fn run_over(
        &mut self,
        as_of: Timestamp,
        key: TaskId,
        kind: EndKind,
        checkpoint: Checkpoint,
    ) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if run.state == RunState::Ending {
            return;
        }
        let over = run.clone();
        run.state = RunState::Ending;
        run.end = Some(kind);
        let checkpoint = if checkpoint.is_empty() {
            std::mem::take(&mut run.checkpoint)
        } else {
            checkpoint
        };
        let run = run.clone();
        self.release_resources(key, &run);
        self.record_release(as_of, &run, kind);
        let task = key.original();
        if kind != EndKind::Done {
            self.hold_for_late_start(as_of, task, &over, kind);
        }
        let id = self.minions.get(&run.minion).map(|m| m.report.id.clone());
        self.emit(Event::RunEnded {
            task,
            run: run.run,
            minion: id.unwrap_or_default(),
            kind,
            age: as_of.saturating_sub(run.proposed),
        });
        self.report_copy_over(key, &run);
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
        listed: &ListedRun,
        ledger: &Ledger,
    ) {
        let key = self.run_key(listed.task, listed.run);
        if let Some(key) = key
            && let Some(run) = self.runs.get_mut(&key)
            && run.minion == number
        {
            if !matches!(run.state, RunState::Running(_) | RunState::Ending) {
                if matches!(
                    run.state,
                    RunState::Transferred | RunState::TransferredInDoubt
                ) {
                    run.forget_speed();
                }
                run.state = RunState::Running(now);
                run.suspected = None;
            }
            if !listed.checkpoint.is_empty() {
                run.checkpoint = listed.checkpoint.clone();
            }
            if run.ends && self.cfg.mechanisms.has(Mechanism::Progress) {
                run.record_progress(now, listed.percent);
            }
            self.seen_at_work(now, number, key);
            self.count_worked(now, number, key);
            return;
        }
        self.stop_orphan(now, number, listed.task, listed.run, ledger);
    }

    /// Orders an orphaned run to stop, and counts its room until it has ended.
    fn stop_orphan(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        task: TaskId,
        run: RunNumber,
        ledger: &Ledger,
    ) {
        let token = self.term;
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        let due = match minion.orphaned_runs.get_mut(&(task, run)) {
            Some(orphan) => {
                let due = now >= orphan.stop_sent + ORPHAN_STOP_INTERVAL;
                if due {
                    orphan.stop_sent = now;
                }
                due
            }
            None => {
                let orphan = orphaned_run(ledger, task, now);
                minion.used = minion.used.saturating_add(&orphan.room);
                if let Some(charge) = orphan.charge(task, run) {
                    self.quotas.add(charge);
                }
                minion.orphaned_runs.insert((task, run), orphan);
                true
            }
        };
        if due {
            let target = minion.target();
            let stop = MinionOrder::Stop { task, run, token };
            self.out.push(Order::Minion(target, stop));
        }
        self.index_room(number);
    }

    /// Ends runs that the minion lists neither as running nor as ended.
    ///
    /// A running run counts as missing only if its start was answered before the hold was sent: the
    /// answer to a hold may have been written before a later start was carried out. Runs in doubt
    /// end once they can no longer start: their deadline has passed, their stop was confirmed, or
    /// they were ordered under a token that the minion now refuses.
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
        let mut in_doubt = Vec::new();
        for task in &minion.runs {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            if listed(task.original(), run.run) {
                continue;
            }
            let stopped = matches!(run.stop, StopState::Confirmed(at) if at < sent);
            let kind = match run.state {
                RunState::Transferred => Some(EndKind::Crashed),
                RunState::TransferredInDoubt if stopped => Some(EndKind::Crashed),
                RunState::TransferredInDoubt => {
                    in_doubt.push(*task);
                    None
                }
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
            self.count_suspected(number, task);
            self.run_over(now, task, kind, Default::default());
        }
        for task in in_doubt {
            // Once the stop is confirmed, no order can start the run any more.
            self.stop_run(now, task);
        }
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        // An orphaned run that is listed neither as running nor as ended has ended before.
        let mut over = Vec::new();
        minion.orphaned_runs.retain(|(task, run), orphan| {
            let stays = listed(*task, *run) || orphan.stop_sent >= sent;
            if !stays {
                over.push((*task, *run, orphan.clone()));
            }
            stays
        });
        for (task, run, orphan) in over {
            self.orphan_ended(number, task, run, &orphan);
        }
    }

    /// Stops counting orphaned runs that are over against the limits of their workspaces.
    pub(super) fn stop_charging(&mut self, orphans: &BTreeMap<(TaskId, RunNumber), OrphanedRun>) {
        for ((task, run), orphan) in orphans {
            if let Some(charge) = orphan.charge(*task, *run) {
                self.quotas.remove(charge);
            }
        }
    }

    fn orphan_ended(
        &mut self,
        number: MinionNumber,
        task: TaskId,
        run: RunNumber,
        orphan: &OrphanedRun,
    ) {
        if let Some(minion) = self.minions.get_mut(&number) {
            minion.used = minion.used.saturating_sub(&orphan.room);
        }
        self.index_room(number);
        if let Some(charge) = orphan.charge(task, run) {
            self.quotas.remove(charge);
        }
        self.placement_requested = true;
    }
}

/// The record of an orphaned run that is listed for the first time. If its job is unknown, it
/// counts as using nothing.
fn orphaned_run(ledger: &Ledger, task: TaskId, now: Timestamp) -> OrphanedRun {
    let job = ledger.jobs.get(&task.step.job);
    let spec = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
    let owner = job.and_then(|job| job.owner.clone());
    OrphanedRun {
        room: spec.map_or_else(Default::default, demand),
        owned: owner.zip(spec.map(|spec| spec.need)),
        stop_sent: now,
    }
}
