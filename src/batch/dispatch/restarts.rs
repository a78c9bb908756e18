//! Minions that start again under the name that they had.
//!
//! Each incarnation has a number of its own here, so that clocks, counts of ends, tickets and answers
//! of one are never taken for those of another. Nothing on the wire but the time of its start tells a
//! minion's incarnations apart, and an order to one may be carried out by the next. So the runs of
//! the former incarnation are carried over, and are over only once the new one does not list them and
//! no order can begin them any more.

use std::time::Duration;

use super::Dispatcher;
use super::minion::{Minion, UnsettledStart};
use super::order::{MinionOrder, Order};
use super::run::{Run, RunState, StopState};
use super::{STALE_ORDERS, longest_on_our_clock};
use crate::batch::ledger::Crash;
use crate::batch::model::{EndKind, MinionNumber, MinionReport, Readiness, TaskId};
use crate::batch::note::Note;
use crate::ids::Timestamp;

/// What told of a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ToldBy {
    /// A report of the new incarnation.
    Report,
    /// Its answer to a hold, which says nothing of what it is.
    List,
}

impl Dispatcher {
    /// A list shows that a minion started again, at `started`.
    pub(super) fn restart_listed(
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
            // The word that it leaves was of the incarnation before.
            readiness: Readiness::Ready,
            ..minion.report.clone()
        };
        self.restarted(now, number, sent, report, ToldBy::List);
    }

    /// A minion started again; what told of it was sent at `sent`.
    pub(super) fn restarted(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        report: MinionReport,
        told_by: ToldBy,
    ) {
        let Some(former) = self.minions.remove(&number) else {
            return;
        };
        self.note(Note::MinionRestarted {
            minion: report.id.clone(),
            started: report.started,
            before: former.report.started,
            heard: now.saturating_sub(former.heard),
            runs: former.runs.len(),
        });
        let suspects = if former.draining {
            Vec::new()
        } else {
            self.count_crashes(former.report.id.clone(), former.lapsed.clone());
            self.suspects(&former, sent)
        };
        self.forget_minion(&former);
        let unsettled = self.unsettled(&former, now);

        let mut minion = Minion::new(self.next_minion, report, now);
        minion.unreported = told_by == ToldBy::List;
        // An order of before may have given it a lease, or may yet.
        let late = if unsettled.is_empty() {
            Duration::ZERO
        } else {
            STALE_ORDERS
        };
        minion.assumed_until = now + longest_on_our_clock(self.cfg.lease_max) + late;
        let successor = minion.number;
        minion.unsettled = unsettled.clone();
        let target = minion.target();
        self.join(minion);
        for task in &former.runs {
            self.carry_over(now, *task, successor, &suspects);
        }
        // Whoever was told to stop a run refuses to start it.
        for UnsettledStart { task, run, .. } in unsettled {
            let carried = self.runs.get(&task).is_some_and(|r| r.run == run);
            if !carried {
                let token = self.term;
                let stop = MinionOrder::Stop { task, run, token };
                self.out.push(Order::Minion(target.clone(), stop));
            }
        }
    }

    /// Starts of a former incarnation that may yet be carried out.
    fn unsettled(&self, former: &Minion, now: Timestamp) -> Vec<UnsettledStart> {
        let on_the_way = former.runs.iter().filter_map(|task| {
            let run = self.runs.get(task)?;
            (run.state == RunState::Starting).then_some(UnsettledStart {
                task: *task,
                run: run.run,
                sent: now,
            })
        });
        let unanswered = former.unsettled.iter().copied();
        let unanswered = unanswered.filter(|start| start.may_come(now));
        unanswered.chain(on_the_way).collect()
    }

    fn carry_over(
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
        run.state = if may_yet_begin(&run) {
            RunState::CarriedInDoubt
        } else {
            RunState::Carried
        };
        run.minion = successor;
        if run.stop != StopState::No {
            run.stop = StopState::Due(now);
        }
        let suspect = suspects.iter().find(|crash| crash.task == task);
        run.suspected = suspect.map(|crash| crash.certainty);
        self.batch.moved.push((task, run.run, successor));
        self.add_run(task, run);
    }

    /// Takes the first word of a minion that started again about what it is.
    pub(super) fn introduced(&mut self, number: MinionNumber) {
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        minion.unreported = false;
        let report = minion.report.clone();
        let rack = self.rack_of(&report);
        if let Some(minion) = self.minions.get_mut(&number) {
            minion.rack = rack;
        }
        self.batch.joined.push((number, report));
        self.levels.changed();
        self.place_wanted = true;
    }
}

/// Whether an order to start a run may yet be carried out, by whoever has the name of its minion.
fn may_yet_begin(run: &Run) -> bool {
    match run.state {
        // Its only order was carried out.
        RunState::Running(_) => run.tries > 1,
        RunState::Carried => false,
        // Orders of earlier leaders are refused once the new incarnation has seen this one's.
        _ => run.tries > 0,
    }
}
