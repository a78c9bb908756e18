//! Minions that restart under the same id.
//!
//! Each incarnation gets its own number here, so that clocks, end counters, tickets and answers of
//! one are never attributed to another. On the wire, incarnations differ only in their start time,
//! and an order to one may be carried out by the next. So the runs of the old incarnation are
//! transferred to the new one, and count as ended only when it doesn't list them and no outstanding
//! order can start them any more.

use std::time::Duration;

use super::Dispatcher;
use super::minion::{Minion, UnansweredStart};
use super::order::{MinionOrder, Order};
use super::run::{Run, RunState, StopState};
use super::{ORDER_EXPIRY, max_lease_on_local_clock};
use crate::batch::event::Event;
use crate::batch::ledger::Crash;
use crate::batch::model::{EndKind, MinionNumber, MinionReport, Readiness, TaskId};
use crate::ids::Timestamp;

impl Dispatcher {
    /// Handles a listing which shows that a minion restarted at `started`. `sent` is when the hold
    /// was sent.
    pub(super) fn restart_detected(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        started: Timestamp,
    ) {
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        let report = MinionReport {
            started: Some(started),
            sequence: 0,
            // Any report that it leaves was from the old incarnation.
            readiness: Readiness::Ready,
            ..minion.report.clone()
        };
        let report = report.without_resources();
        self.restarted(now, number, sent, report);
    }

    /// Replaces a minion that restarted by its new incarnation. The call or report that showed the
    /// restart was sent at `sent`.
    pub(super) fn restarted(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        report: MinionReport,
    ) {
        let Some(former) = self.minions.remove(&number) else {
            return;
        };
        self.emit(Event::MinionRestarted {
            minion: report.id.clone(),
            started: report.started,
            before: former.report.started,
            heard: now.saturating_sub(former.heard),
            runs: former.runs.len(),
        });
        let suspects = if former.draining {
            Vec::new()
        } else {
            self.record_crash_site(now, &former);
            self.count_crashes(former.report.id.clone(), former.lapsed.clone());
            let worked = self.suspects_that_worked(&former);
            self.batch.crashes_reset.extend(worked);
            self.suspects(now, &former, sent)
        };
        self.drop_minion_state(&former);
        let unanswered = self.unanswered_starts(&former, now);

        let mut minion = Minion::new(self.next_minion, report, now);
        // An order to the old incarnation may have granted the new one a lease, or may still do so.
        let late = if unanswered.is_empty() {
            Duration::ZERO
        } else {
            ORDER_EXPIRY
        };
        minion.earlier_leases_until = now + max_lease_on_local_clock(self.cfg.lease_max) + late;
        let successor = minion.number;
        minion.unanswered_starts = unanswered.clone();
        let target = minion.target();
        self.add_incarnation(minion);
        for task in &former.runs {
            self.transfer_run(now, *task, successor, &suspects);
        }
        // After a stop order, a minion refuses to start the run.
        for UnansweredStart { task, run, .. } in unanswered {
            if self.run_key(task, run).is_none() {
                let token = self.term;
                let stop = MinionOrder::Stop { task, run, token };
                self.out.push(Order::Minion(target.clone(), stop));
            }
        }
    }

    /// Unanswered starts sent to the old incarnation that may still be carried out.
    fn unanswered_starts(&self, former: &Minion, now: Timestamp) -> Vec<UnansweredStart> {
        let pending = former.runs.iter().filter_map(|task| {
            let run = self.runs.get(task)?;
            (run.state == RunState::Starting).then_some(UnansweredStart {
                task: task.original(),
                run: run.run,
                sent: now,
            })
        });
        let unanswered = former.unanswered_starts.iter().copied();
        let unanswered = unanswered.filter(|start| start.may_still_start(now));
        unanswered.chain(pending).collect()
    }

    fn transfer_run(
        &mut self,
        now: Timestamp,
        task: TaskId,
        successor: MinionNumber,
        suspects: &[Crash],
    ) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        if run.state == RunState::Proposed {
            self.run_over(now, task, EndKind::NeverStarted, Default::default());
            return;
        }
        let Some(mut run) = self.runs.remove(&task) else {
            return;
        };
        if run.state == RunState::Starting {
            run.unanswered = run.unanswered.max(run.last_ordered);
        }
        run.state = if may_still_start(&run) {
            RunState::TransferredInDoubt
        } else {
            RunState::Transferred
        };
        run.minion = successor;
        if run.stop != StopState::No {
            run.stop = StopState::Due(now);
        }
        let is_this = |crash: &&Crash| crash.task == task.original() && crash.run == run.run;
        let suspect = suspects.iter().find(is_this);
        run.suspected = suspect.map(|crash| crash.certainty);
        let id = task.original();
        self.batch.reassigned.push((id, run.run, successor));
        self.add_run(task, run);
    }

    /// Handles the first report of an incarnation whose restart was detected from a listing.
    pub(super) fn first_report(&mut self, number: MinionNumber) {
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        let report = minion.report.clone();
        let draining = minion.draining;
        let rack = self.rack_of(&report);
        if let Some(minion) = self.minions.get_mut(&number) {
            minion.rack = rack;
        }
        self.batch.joined.push((number, report));
        if draining {
            self.batch.draining.push(number);
        }
        self.utilizations.changed();
        self.forget_releases(number);
        self.placement_requested = true;
    }
}

/// Whether an order to start a run may still be carried out, by any incarnation of its minion.
fn may_still_start(run: &Run) -> bool {
    match run.state {
        // With a single try, its only order was carried out.
        RunState::Running(_) => run.tries > 1,
        RunState::Transferred => false,
        // Orders of earlier leaders are refused after the new incarnation has seen one of this
        // leader.
        _ => run.tries > 0,
    }
}
