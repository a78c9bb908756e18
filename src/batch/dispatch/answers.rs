//! Answers to starts and stops, and what is done about runs whose start is in doubt.

use std::time::Duration;

use super::Dispatcher;
use super::crashes::Proof;
use super::minion::UnsettledStart;
use super::order::{Answer, MinionAnswer, MinionOrder, Order, OrderKind, StartOrder, StartRefusal};
use super::run::{RunState, StopState};
use crate::batch::ledger::Ledger;
use crate::batch::model::{EndKind, MinionNumber, RunNumber, TaskId};
use crate::batch::note::Note;
use crate::ids::Timestamp;

/// How far ahead the deadline of a start lies. Short, so that a start that is carried out late is
/// refused soon and its task can go elsewhere; long enough for two tries on a slow connection.
const START_SPAN: Duration = Duration::from_millis(1200);
/// Orders to start one run before it is stopped and given up. With one order in twenty lost, two
/// repetitions leave one run in 8,000 to the slow way; the fourth is for a slow link.
const START_TRIES: u32 = 4;
/// Pause before a stop is ordered again.
const STOP_PAUSE: Duration = Duration::from_millis(300);

impl Dispatcher {
    /// Sends the start of a run whose decision is agreed.
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
        let Some(deadline) = minion.deadline(now, START_SPAN) else {
            return;
        };
        run.state = RunState::Starting;
        run.tries += 1;
        run.ordered.get_or_insert(now);
        run.deadline = run.deadline.max(deadline);
        minion.lease = minion.lease.max(deadline);
        let knowledge = self.knowledge.get(&id.step);
        let ticket = knowledge.and_then(|k| k.ticket(run.minion));
        let order = StartOrder {
            task: id,
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

    /// Takes what came of an order that was sent at `sent`.
    pub fn answered(
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
                self.held(now, number, sent, answer, ledger);
            }
            (OrderKind::Start(task, run), MinionAnswer::Order(answer)) => {
                self.started(now, number, (*task, *run), sent, answer, ledger);
            }
            (OrderKind::Stop(task, run), MinionAnswer::Order(answer)) => {
                self.stopped(now, number, (*task, *run), sent, answer);
            }
            // It answers another question.
            _ => {}
        }
    }

    /// Takes the answer to a start that was sent at `sent`.
    pub fn started(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        (id, run_number): (TaskId, RunNumber),
        sent: Timestamp,
        answer: Answer,
        ledger: &Ledger,
    ) {
        self.take_clock(now, number, sent, &answer);
        if answer == Answer::OtherIncarnation {
            self.minion_gone(now, number, sent, Proof::OtherIncarnation);
            return;
        }
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.run != run_number || run.minion != number || run.state != RunState::Starting {
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
                self.note_failed_start(number, id, run_number, why.as_str(), tries);
            }
            Answer::Silent(_) => {
                run.state = RunState::InDoubt;
                if let Some(minion) = self.minions.get_mut(&number) {
                    let start = UnsettledStart {
                        task: id,
                        run: run_number,
                        sent,
                    };
                    minion.left_unsettled(start, now);
                }
                if tries < START_TRIES
                    && run.stop == StopState::No
                    && !self.quotas.is_over(run.owner.as_ref())
                {
                    self.send_start(now, id, ledger);
                } else {
                    self.stop_run(now, id);
                }
                self.note_failed_start(number, id, run_number, "no answer", tries);
            }
            Answer::OtherIncarnation => {}
        }
    }

    /// A refusal says that this order did nothing; an earlier one of the same run may have.
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
                if let Some(knowledge) = self.knowledge.get_mut(&id.step) {
                    knowledge.forget_ticket(number);
                }
            }
            StartRefusal::Unhealthy => {
                if let Some(minion) = self.minions.get_mut(&number) {
                    minion.failed(now);
                }
            }
            _ => {}
        }
    }

    fn note_failed_start(
        &mut self,
        number: MinionNumber,
        task: TaskId,
        run: RunNumber,
        why: &'static str,
        tries: u32,
    ) {
        let minion = self.minions.get(&number).map(|m| m.report.id.clone());
        self.note(Note::StartFailed {
            task,
            run,
            minion: minion.unwrap_or_default(),
            why,
            tries,
        });
    }

    fn take_clock(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        sent: Timestamp,
        answer: &Answer,
    ) {
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        self.touched.insert(number);
        if let Answer::Silent(silence) = answer {
            minion.failed_call(sent, *silence, now);
        }
        let (Answer::Done { clock } | Answer::Refused { clock, .. }) = answer else {
            minion.left_unanswered(sent);
            return;
        };
        if let Some(clock) = clock {
            minion.read_clock(*clock, sent, now);
            minion.was_up(sent);
        }
    }

    /// Takes the answer to a stop.
    pub fn stopped(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        (id, run_number): (TaskId, RunNumber),
        sent: Timestamp,
        answer: Answer,
    ) {
        self.take_clock(now, number, sent, &answer);
        if answer == Answer::OtherIncarnation {
            self.minion_gone(now, number, sent, Proof::OtherIncarnation);
            return;
        }
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.run != run_number || run.minion != number {
            return;
        }
        run.stop = match answer {
            Answer::Done { .. } => StopState::Confirmed(now),
            _ => StopState::Due(now + STOP_PAUSE),
        };
    }

    /// Sends the stops that are due.
    pub(super) fn send_stops(&mut self, now: Timestamp) {
        let token = self.term;
        let mut never = Vec::new();
        for id in &self.leaving {
            let Some(run) = self.runs.get_mut(id) else {
                continue;
            };
            let StopState::Due(at) = run.stop else {
                continue;
            };
            match run.state {
                // Nothing was sent and nothing will be, or it is over.
                RunState::Proposed | RunState::Ending => continue,
                _ => {}
            }
            let Some(minion) = self.minions.get(&run.minion) else {
                never.push(*id);
                continue;
            };
            if now < at {
                continue;
            }
            run.stop = StopState::Sent;
            let stop = MinionOrder::Stop {
                task: *id,
                run: run.run,
                token,
            };
            self.out.push(Order::Minion(minion.target(), stop));
        }
        for id in never {
            self.run_over(now, id, EndKind::Lapsed, Default::default());
        }
    }

    /// Wants a run stopped.
    pub(super) fn stop_run(&mut self, now: Timestamp, id: TaskId) {
        if let Some(run) = self.runs.get_mut(&id)
            && run.stop == StopState::No
        {
            run.stop = StopState::Due(now);
            let minion = run.minion;
            self.leaving.insert(id);
            self.forget_releases(minion);
        }
    }
}
