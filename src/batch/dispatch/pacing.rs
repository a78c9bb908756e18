//! Orders that set the speed of runs that use idle CPU.

use std::time::Duration;

use super::minion::Minion;
use super::order::{Answer, ListedRun, MinionOrder, Order};
use super::run::{Run, RunState};
use super::sharing::{BestEffortState, FULL_SPEED, Sharing, SharingBounds, Verdict};
use super::{Dispatcher, ORDER_EXPIRY};
use crate::batch::event::Event;
use crate::batch::model::{MinionNumber, RunNumber, TaskId};
use crate::ids::Timestamp;

/// Pause before an order without an answer is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a refusal: the minion may not know the order.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);
/// Pause between repetitions while an unanswered order for another speed may still be carried out.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);

/// Speed of a run that uses idle CPU, as far as the leader knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunSpeed {
    /// Speed in percent that the minion last confirmed, and when; `None` if it isn't known.
    confirmed: Option<(u32, Timestamp)>,
    /// An order was sent and is not answered yet.
    sent: bool,
    /// When the next order may be sent.
    next: Timestamp,
    /// Until when an unanswered order may still be carried out.
    unsure_until: Timestamp,
}

impl RunSpeed {
    /// Speed of a run whose start this leader proposes.
    pub(super) fn at_start(now: Timestamp) -> Self {
        Self {
            confirmed: Some((FULL_SPEED, now)),
            ..Self::unknown()
        }
    }

    /// Speed of a run that an earlier leader started.
    pub(super) fn unknown() -> Self {
        Self {
            confirmed: None,
            sent: false,
            next: Timestamp::ZERO,
            unsure_until: Timestamp::ZERO,
        }
    }

    /// Since when the run has had this speed, as the minion last confirmed; `None` if it hasn't.
    fn since(&self, speed: u32) -> Option<Timestamp> {
        let (confirmed, at) = self.confirmed?;
        (confirmed == speed).then_some(at)
    }

    /// Whether no order that is still under way can change this speed.
    fn is_settled_at(&self, speed: u32, now: Timestamp) -> bool {
        self.since(speed).is_some() && now >= self.unsure_until
    }
}

impl Minion {
    /// Whether it has both runs that use idle CPU and runs with a latency target.
    pub(super) fn is_shared(&self) -> bool {
        self.best_effort > 0 && self.serving > 0
    }

    /// Whether it takes no runs that use idle CPU, as some there could not be slowed down.
    pub(super) fn is_closed_to_best_effort(&self, now: Timestamp) -> bool {
        self.sharing.as_ref().is_some_and(|s| s.is_closed(now))
    }
}

impl Run {
    pub(super) fn is_best_effort(&self) -> bool {
        self.speed.is_some()
    }
}

impl Dispatcher {
    fn sharing_bounds(&self) -> SharingBounds {
        SharingBounds {
            pace_delay: self.cfg.pace_delay,
            interference_max: self.cfg.interference_max,
        }
    }

    /// Begins or ends the sharing of a minion whose runs have changed, and looks for runs that need
    /// another speed.
    pub(super) fn refresh_sharing(&mut self, now: Timestamp, number: MinionNumber) {
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        if minion.is_shared() {
            minion.sharing.get_or_insert_with(|| Sharing::new(now));
        } else if minion
            .sharing
            .as_ref()
            .is_some_and(|s| minion.serving == 0 || !s.is_remembered(now))
        {
            minion.sharing = None;
        }
        if minion.best_effort == 0 {
            return;
        }
        let runs = minion.runs.iter().copied();
        let best_effort = runs.filter(|id| self.runs.get(id).is_some_and(Run::is_best_effort));
        self.unsettled_speeds.extend(best_effort);
    }

    /// Handles the figures of the tasks that serve in a listing of their minion.
    pub(super) fn observe_tails(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        listed: &[ListedRun],
    ) {
        let bounds = self.sharing_bounds();
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        if minion.sharing.is_none() {
            return;
        }
        let tail = |listed: &ListedRun| {
            let run = self.runs.get(&listed.task)?;
            let target = run.latency_target.filter(|_| run.run == listed.run)?;
            Some(f64::from(listed.load) / (target.as_secs_f64() * 1000.0))
        };
        let Some(highest) = listed.iter().filter_map(tail).reduce(f64::max) else {
            return;
        };
        let state = self.best_effort_state(number);
        let Some(sharing) = self
            .minions
            .get_mut(&number)
            .and_then(|m| m.sharing.as_mut())
        else {
            return;
        };
        let before = sharing.speed();
        let verdict = sharing.observe(now, highest, state, bounds);
        let speed = sharing.speed();
        if speed != before {
            self.refresh_sharing(now, number);
            self.report_speed(number, speed, highest);
        }
        if verdict == Verdict::Stop {
            self.stop_disturbing_runs(now, number, highest);
        }
    }

    fn report_speed(&mut self, number: MinionNumber, speed: u32, tail: f64) {
        if let Some(minion) = self.minions.get(&number) {
            self.emit(Event::BestEffortPaced {
                minion: minion.report.id.clone(),
                speed,
                tail: (tail * 100.0) as u32,
            });
        }
    }

    /// Runs on a minion that use idle CPU and may be at work.
    fn best_effort_runs(&self, number: MinionNumber) -> impl Iterator<Item = (TaskId, &Run)> {
        let minion = self.minions.get(&number);
        let runs = minion.into_iter().flat_map(|m| &m.runs);
        runs.filter_map(|id| Some((*id, self.runs.get(id)?)))
            .filter(|(_, run)| run.is_best_effort())
    }

    fn best_effort_state(&self, number: MinionNumber) -> BestEffortState {
        let Some(speed) = self.wanted_speed(number) else {
            return BestEffortState::Absent;
        };
        let since = |run: &Run| run.speed.and_then(|s| s.since(speed));
        let mut since = self.best_effort_runs(number).map(|(_, run)| since(run));
        let Some(first) = since.next() else {
            return BestEffortState::Absent;
        };
        let latest = since.fold(first, |latest, at| Some(latest?.max(at?)));
        latest.map_or(BestEffortState::Unsettled, BestEffortState::Settled)
    }

    /// Wanted speed of the runs on a minion that use idle CPU.
    fn wanted_speed(&self, number: MinionNumber) -> Option<u32> {
        let minion = self.minions.get(&number)?;
        let shared = minion.sharing.as_ref().filter(|_| minion.is_shared());
        Some(shared.map_or(FULL_SPEED, Sharing::speed))
    }

    /// Stops the runs that can't be slowed down beside a task that serves. They start again where
    /// there is none, or here later.
    fn stop_disturbing_runs(&mut self, now: Timestamp, number: MinionNumber, tail: f64) {
        let Some(speed) = self.wanted_speed(number) else {
            return;
        };
        let lacks = |run: &Run| run.speed.and_then(|s| s.since(speed)).is_none();
        let runs = self.best_effort_runs(number).filter(|(_, run)| lacks(run));
        let candidates: Vec<_> = runs.map(|(id, _)| id).collect();
        let mut stopped = 0;
        for id in candidates {
            if self.may_be_disrupted(id) {
                self.stop_run(now, id);
                stopped += 1;
            }
        }
        if let Some(minion) = self.minions.get(&number) {
            self.emit(Event::BestEffortStopped {
                minion: minion.report.id.clone(),
                runs: stopped,
                tail: (tail * 100.0) as u32,
            });
        }
    }

    /// Whether the disruption budget of a run's step allows to stop it.
    fn may_be_disrupted(&self, id: TaskId) -> bool {
        let Some(run) = self.runs.get(&id) else {
            return false;
        };
        let Some(budget) = run.disruption_budget else {
            return !run.is_stopping();
        };
        let at_work = |run: &&Run| matches!(run.state, RunState::Running(_)) && !run.is_stopping();
        let step = self.runs.range(id.step.tasks()).map(|(_, run)| run);
        let at_work = step.filter(at_work).count() as u32;
        !run.is_stopping() && at_work + budget > run.step_tasks
    }

    /// Sends the orders that are due to runs without the wanted speed.
    pub(super) fn send_paces(&mut self, now: Timestamp) {
        let token = self.term;
        let mut settled = Vec::new();
        for id in &self.unsettled_speeds {
            let number = self.runs.get(id).map(|run| run.minion);
            let wanted = number.and_then(|number| self.wanted_speed(number));
            let run = self.runs.get_mut(id);
            let (Some(percent), Some(run)) = (wanted, run) else {
                settled.push(*id);
                continue;
            };
            let over = run.is_stopping() || run.state == RunState::Ending;
            let Some(speed) = run.speed.as_mut().filter(|_| !over) else {
                settled.push(*id);
                continue;
            };
            if speed.is_settled_at(percent, now) {
                settled.push(*id);
                continue;
            }
            if speed.sent || now < speed.next || !matches!(run.state, RunState::Running(_)) {
                continue;
            }
            let Some(minion) = self.minions.get(&run.minion) else {
                continue;
            };
            speed.sent = true;
            let pace = MinionOrder::Pace {
                task: id.original(),
                run: run.run,
                percent,
                token,
            };
            self.out.push(Order::Minion(minion.target(), pace));
        }
        for id in settled {
            self.unsettled_speeds.remove(&id);
        }
    }

    /// Handles the answer to an order that was sent at `sent`. A missing answer or a refusal says
    /// nothing about the health of the minion: it may not know the order.
    pub(super) fn pace_answered(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        (task, run_number, percent): (TaskId, RunNumber, u32),
        sent: Timestamp,
        answer: Answer,
    ) {
        let run = self.run_key(task, run_number);
        let run = run.and_then(|key| self.runs.get_mut(&key));
        let Some(run) = run.filter(|run| run.minion == number) else {
            return;
        };
        let Some(speed) = &mut run.speed else {
            return;
        };
        speed.sent = false;
        match answer {
            Answer::Done { .. } => {
                let since = speed.since(percent).unwrap_or(now);
                speed.confirmed = Some((percent, since));
                speed.next = if now < speed.unsure_until {
                    now + REPEAT_PAUSE
                } else {
                    now
                };
            }
            Answer::Silent(_) => {
                speed.unsure_until = sent + ORDER_EXPIRY;
                speed.next = now + RETRY_PAUSE;
            }
            Answer::Refused { .. } | Answer::OtherIncarnation => speed.next = now + REFUSED_PAUSE,
        }
    }
}
