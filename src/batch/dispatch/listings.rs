//! Lists of minions: what runs, what has ended, and what can be told from a run that is in neither.

use std::collections::BTreeMap;
use std::time::Duration;

use super::mechanisms::Mechanism;
use super::minion::Stray;
use super::order::{ListedEnd, ListedRun, Listing, MinionOrder, Order};
use super::run::{RunState, StopState};
use super::{Dispatcher, charged};
use crate::batch::ledger::{End, Ledger};
use crate::batch::model::{Checkpoint, EndKind, MinionNumber, RunNumber, TaskId};
use crate::batch::note::Note;
use crate::ids::Timestamp;

/// Ends a minion lists at most; with as many, runs it does not list may be among the rest.
const ENDS_LISTED: usize = 500;
/// Pause between two lines about rows that could not be read: a foreign row stays listed.
const UNREADABLE_TOLD: Duration = Duration::from_secs(1);
/// Time that a lasting run has to work for its minion to count as sound: a minion that fails all that
/// it starts does so well before.
const PROVED_SOUND: Duration = Duration::from_secs(5);
/// Pause between two orders to stop a run that is listed although nobody wants it.
const STRAY_PAUSE: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Takes the lists in an answer to the hold that was sent at `sent`.
    pub(super) fn take_listing(
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
        // It answers, so it did not crash.
        minion.lapsed.clear();
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
        if let Some(stray) = minion.strays.remove(&(end.task, end.run)) {
            self.stray_over(number, end.task, end.run, &stray);
        }
        let ours = self
            .runs
            .get(&end.task)
            .is_some_and(|r| r.run == end.run && r.minion == number);
        if ours {
            match end.kind {
                EndKind::Done => self.learn_from_done(now, number, end.task),
                EndKind::Failed => self.learn_from_failed(now, number, end.task),
                _ => {}
            }
            self.run_over(now, end.task, end.kind, end.checkpoint.clone());
        }
    }

    fn learn_from_done(&mut self, now: Timestamp, number: MinionNumber, task: TaskId) {
        let (Some(minion), Some(run)) = (self.minions.get_mut(&number), self.runs.get(&task))
        else {
            return;
        };
        minion.succeeded();
        let seen = run.worked(now);
        self.profiles.learn(&run.queue, run.estimate, seen);
        if self.cfg.mechanisms.has(Mechanism::LearntSpeeds) {
            self.speeds.learn(&mut minion.pace, run.estimate, seen);
        }
        if run.resumed || seen.is_zero() {
            return;
        }
        self.observed.entry(task.step).or_default().learn(seen);
        // The room that comes free is given away in this very round, in an order that should know
        // of it.
        if self.ready.contains_key(&task.step) {
            self.dirty_jobs.insert(task.step.job);
        }
    }

    /// A lasting run never ends well, so one that has worked for a while clears its minion as a
    /// finished one does. Counted as failures they kept minions without work for 8 s after each.
    fn learn_from_failed(&mut self, now: Timestamp, number: MinionNumber, task: TaskId) {
        let (Some(minion), Some(run)) = (self.minions.get_mut(&number), self.runs.get(&task))
        else {
            return;
        };
        if !run.ends && run.worked(now) >= PROVED_SOUND {
            minion.succeeded();
        } else {
            minion.failed(now);
        }
    }

    /// The run of a task is over: frees its room and has its end agreed.
    pub(super) fn run_over(
        &mut self,
        now: Timestamp,
        task: TaskId,
        kind: EndKind,
        checkpoint: Checkpoint,
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
        listed: &ListedRun,
        ledger: &Ledger,
    ) {
        if let Some(run) = self.runs.get_mut(&listed.task)
            && run.run == listed.run
            && run.minion == number
        {
            if !matches!(run.state, RunState::Running(_) | RunState::Ending) {
                run.state = RunState::Running(now);
                run.suspected = None;
            }
            if !listed.checkpoint.is_empty() {
                run.checkpoint = listed.checkpoint.clone();
            }
            if run.ends && self.cfg.mechanisms.has(Mechanism::Progress) {
                run.take_progress(now, listed.percent);
            }
            self.seen_at_work(now, number, listed.task);
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
        let token = self.term;
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        let due = match minion.strays.get_mut(&(task, run)) {
            Some(stray) => {
                let due = now >= stray.told + STRAY_PAUSE;
                if due {
                    stray.told = now;
                }
                due
            }
            None => {
                let stray = stray(ledger, task, now);
                minion.used = minion.used.saturating_add(&stray.room);
                if let Some(charge) = stray.charge(task, run) {
                    self.quotas.add(charge);
                }
                minion.strays.insert((task, run), stray);
                true
            }
        };
        if due {
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
        let mut in_doubt = Vec::new();
        for task in &minion.runs {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            if listed(*task, run.run) {
                continue;
            }
            let stopped = matches!(run.stop, StopState::Confirmed(at) if at < sent);
            let kind = match run.state {
                RunState::Carried => Some(EndKind::Crashed),
                RunState::CarriedInDoubt if stopped => Some(EndKind::Crashed),
                RunState::CarriedInDoubt => {
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
            // Once the stop is confirmed, no order begins it any more.
            self.stop_run(now, task);
        }
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        // A stray that is neither running nor among the ends has ended before.
        let mut over = Vec::new();
        minion.strays.retain(|(task, run), stray| {
            let stays = listed(*task, *run) || stray.told >= sent;
            if !stays {
                over.push((*task, *run, stray.clone()));
            }
            stays
        });
        for (task, run, stray) in over {
            self.stray_over(number, task, run, &stray);
        }
    }

    /// Counts strays that are over no more against the limits of their workspaces.
    pub(super) fn discharge(&mut self, strays: &BTreeMap<(TaskId, RunNumber), Stray>) {
        for ((task, run), stray) in strays {
            if let Some(charge) = stray.charge(*task, *run) {
                self.quotas.remove(charge);
            }
        }
    }

    fn stray_over(&mut self, number: MinionNumber, task: TaskId, run: RunNumber, stray: &Stray) {
        if let Some(minion) = self.minions.get_mut(&number) {
            minion.used = minion.used.saturating_sub(&stray.room);
        }
        if let Some(charge) = stray.charge(task, run) {
            self.quotas.remove(charge);
        }
        self.place_wanted = true;
    }
}

/// A run that is seen for the first time, with what its job says of it.
fn stray(ledger: &Ledger, task: TaskId, now: Timestamp) -> Stray {
    let job = ledger.jobs.get(&task.step.job);
    let spec = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
    let owner = job.and_then(|job| job.owner.clone());
    Stray {
        room: spec.map_or_else(Default::default, charged),
        owned: owner.zip(spec.map(|spec| spec.need)),
        told: now,
    }
}
