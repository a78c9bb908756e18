//! Start and stop orders: sending them, handling their answers, and resolving runs whose start is
//! in doubt.

use std::time::Duration;

use super::Dispatcher;
use super::crashes::GoneEvidence;
use super::health::Failure;
use super::minion::UnansweredStart;
use super::order::{Answer, MinionAnswer, MinionOrder, Order, OrderKind, StartOrder, StartRefusal};
use super::run::{RunState, StopState};
use crate::batch::event::Event;
use crate::batch::ledger::Ledger;
use crate::batch::model::{EndKind, MinionNumber, RunNumber, TaskId};
use crate::ids::Timestamp;

/// Time from sending a start to its deadline. Short, so that a late start is refused soon and its
/// task can be placed elsewhere; long enough for two tries on a slow connection.
const START_DEADLINE: Duration = Duration::from_millis(1200);
/// Start orders sent for one run before it is stopped and given up. With one order in twenty lost,
/// three tries leave one run in 8,000 unstarted; the fourth is for a slow link.
const MAX_START_TRIES: u32 = 4;
/// Pause before a stop order that was not confirmed is sent again.
const STOP_RETRY_PAUSE: Duration = Duration::from_millis(300);

impl Dispatcher {
    /// Sends a start order for a run whose start is committed to the log.
    pub(super) fn send_start(&mut self, now: Timestamp, id: TaskId, ledger: &Ledger) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let (Some(job), Some(minion)) = (
            ledger.jobs.get(&id.step.job),
            self.minions.get_mut(&run.minion),
        ) else {
            return;
        };
        let Some(deadline) = minion.deadline(now, START_DEADLINE) else {
            return;
        };
        run.state = RunState::Starting;
        run.tries += 1;
        run.ordered.get_or_insert(now);
        run.last_ordered = Some(now);
        run.deadline = run.deadline.max(deadline);
        minion.lease = minion.lease.max(deadline);
        let step_advice = self.step_advice.get(&id.step);
        let ticket = step_advice.and_then(|k| k.ticket(run.minion));
        let order = StartOrder {
            task: id.original(),
            run: run.run,
            payload: job.spec.payload.clone(),
            deadline,
            token: self.term,
            checkpoint: run.checkpoint.clone(),
            ticket,
        };
        let target = minion.target();
        let order = MinionOrder::Start(Box::new(order));
        self.out.push(Order::Minion(target, order));
    }

    /// Handles the answer to an order that was sent at `sent`, by this replica's clock.
    pub fn order_answered(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        order: &OrderKind,
        sent: Timestamp,
        answer: MinionAnswer,
        ledger: &Ledger,
    ) {
        match (order, answer) {
            (OrderKind::Hold, MinionAnswer::Hold(answer)) => {
                self.hold_answered(now, number, sent, answer, ledger);
            }
            (OrderKind::Start(task, run), MinionAnswer::Order(answer)) => {
                self.start_answered(now, number, (*task, *run), sent, answer, ledger);
            }
            (OrderKind::Stop(task, run), MinionAnswer::Order(answer)) => {
                self.stop_answered(now, number, (*task, *run), sent, answer);
            }
            (OrderKind::Pace(task, run, percent), MinionAnswer::Order(answer)) => {
                self.pace_answered(now, number, (*task, *run, *percent), sent, answer);
            }
            // The answer is not of the order's kind.
            _ => {}
        }
    }

    /// Handles the answer to a start order that was sent at `sent`.
    pub fn start_answered(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        (task, run_number): (TaskId, RunNumber),
        sent: Timestamp,
        answer: Answer,
        ledger: &Ledger,
    ) {
        self.record_answer(now, number, sent, &answer);
        if answer == Answer::OtherIncarnation {
            self.minion_gone(now, number, sent, GoneEvidence::OtherIncarnation);
            return;
        }
        let Some(id) = self.run_key(task, run_number) else {
            return;
        };
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.minion != number || run.state != RunState::Starting {
            return;
        }
        let tries = run.tries;
        match answer {
            Answer::Done { .. } => {
                run.state = RunState::Running(now);
                run.begun = Some(sent);
            }
            Answer::Refused { why, .. } => {
                self.start_refused(now, number, id, why);
                self.report_failed_start(number, task, run_number, why.as_str(), tries);
            }
            Answer::Silent(_) => {
                run.state = RunState::InDoubt;
                run.unanswered = run.unanswered.max(Some(sent));
                if let Some(minion) = self.minions.get_mut(&number) {
                    let start = UnansweredStart {
                        task,
                        run: run_number,
                        sent,
                    };
                    minion.record_unanswered_start(start, now);
                }
                if tries < MAX_START_TRIES
                    && run.stop == StopState::No
                    && !self.quotas.is_over(run.owner.as_ref())
                {
                    self.send_start(now, id, ledger);
                } else {
                    self.stop_run(now, id);
                }
                self.report_failed_start(number, task, run_number, "no answer", tries);
            }
            Answer::OtherIncarnation => {}
        }
    }

    /// Handles a refused start. The refused order did nothing, but an earlier order for the same
    /// run may have started it, so after more than one try the run is in doubt and is stopped.
    fn start_refused(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        id: TaskId,
        why: StartRefusal,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.tries == 1 {
            self.run_over(now, id, EndKind::NeverStarted, Default::default());
        } else {
            run.state = RunState::InDoubt;
            self.stop_run(now, id);
        }
        match why {
            StartRefusal::Ticket => {
                if let Some(step_advice) = self.step_advice.get_mut(&id.step) {
                    step_advice.forget_ticket(number);
                }
            }
            StartRefusal::Unhealthy => {
                self.count_failure(now, number, id, Failure::RefusedStart);
            }
            _ => {}
        }
    }

    fn report_failed_start(
        &mut self,
        number: MinionNumber,
        task: TaskId,
        run: RunNumber,
        why: &'static str,
        tries: u32,
    ) {
        let minion = self.minions.get(&number).map(|m| m.report.id.clone());
        self.emit(Event::StartFailed {
            task,
            run,
            minion: minion.unwrap_or_default(),
            why,
            tries,
        });
    }

    fn record_answer(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        answer: &Answer,
    ) {
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        self.changed_minions.insert(number);
        if let Answer::Silent(failure) = answer {
            minion.record_failed_call(sent, *failure, now);
        }
        let (Answer::Done { clock } | Answer::Refused { clock, .. }) = answer else {
            minion.record_unanswered(sent);
            self.recheck_copies_on(now, number);
            return;
        };
        if let Some(clock) = clock {
            minion.record_clock(*clock, sent, now);
            minion.record_up(sent);
        }
    }

    /// Handles the answer to a stop order that was sent at `sent`.
    pub fn stop_answered(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        (task, run_number): (TaskId, RunNumber),
        sent: Timestamp,
        answer: Answer,
    ) {
        self.record_answer(now, number, sent, &answer);
        if answer == Answer::OtherIncarnation {
            self.minion_gone(now, number, sent, GoneEvidence::OtherIncarnation);
            return;
        }
        let key = self.run_key(task, run_number);
        let Some(run) = key.and_then(|key| self.runs.get_mut(&key)) else {
            return;
        };
        if run.minion != number {
            return;
        }
        run.stop = match answer {
            Answer::Done { .. } => StopState::Confirmed(now),
            _ => StopState::Due(now + STOP_RETRY_PAUSE),
        };
    }

    /// Sends the stop orders that are due. Runs whose minion is no longer tracked end at once.
    pub(super) fn send_stops(&mut self, now: Timestamp) {
        let token = self.term;
        let mut without_minion = Vec::new();
        for id in &self.stopping {
            let Some(run) = self.runs.get_mut(id) else {
                continue;
            };
            let StopState::Due(at) = run.stop else {
                continue;
            };
            match run.state {
                // No start was sent and none will be, or the run has ended.
                RunState::Proposed | RunState::Ending => continue,
                _ => {}
            }
            let Some(minion) = self.minions.get(&run.minion) else {
                without_minion.push(*id);
                continue;
            };
            if now < at {
                continue;
            }
            run.stop = StopState::Sent;
            let stop = MinionOrder::Stop {
                task: id.original(),
                run: run.run,
                token,
            };
            self.out.push(Order::Minion(minion.target(), stop));
        }
        for id in without_minion {
            self.run_over(now, id, EndKind::Lapsed, Default::default());
        }
    }

    /// Marks a run to be stopped; the order is sent by `send_stops`.
    pub(super) fn stop_run(&mut self, now: Timestamp, id: TaskId) {
        if let Some(run) = self.runs.get_mut(&id)
            && run.stop == StopState::No
        {
            run.stop = StopState::Due(now);
            let minion = run.minion;
            self.stopping.insert(id);
            self.forget_releases(minion);
        }
    }
}
