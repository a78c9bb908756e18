//! Reports on lasting tasks without a run: for how long, and what each step lacks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::minion::Minion;
use super::{Dispatcher, ReadyStep, demand};
use crate::batch::event::{Event, Exclusions};
use crate::batch::model::{StepId, TaskId};
use crate::ids::Timestamp;

/// Time without a run after which a lasting task is reported.
const LONG_WITHOUT_RUN: Duration = Duration::from_secs(2);
/// Time within which a lasting task has to run again, by the platform's contract.
const RUNS_AGAIN_WITHIN: Duration = Duration::from_secs(6);
/// Most steps per report, those with the longest time without a run first.
const MAX_LASTING_REPORTED: usize = 4;

/// Since when each lasting task has had no run that is known to be under way.
pub(super) type WithoutRun = BTreeMap<TaskId, Timestamp>;

impl Dispatcher {
    /// Updates the lasting tasks without a run; returns how many have had none for too long.
    pub(super) fn refresh_without_run(&mut self, now: Timestamp) -> usize {
        let waiting = self.ready.iter().filter(|(_, step)| step.is_lasting());
        let waiting = waiting.flat_map(|(id, step)| {
            let tasks = step.waiting.iter().map(|index| id.task(*index));
            tasks.map(|task| (task, step.since))
        });
        let held_back = self.late_starts.lasting().map(|task| (task, now));
        let silent = self.silent_lasting_runs(now);
        let silent = silent.map(|(task, _)| (task, self.last_heard(task).unwrap_or(now)));
        let before = &self.without_run;
        let known = |(task, since): (TaskId, Timestamp)| {
            let since = before.get(&task).map_or(since, |known| since.min(*known));
            (task, since)
        };
        let current: WithoutRun = waiting.chain(held_back).chain(silent).map(known).collect();
        self.without_run = current;
        let overdue = |since: &&Timestamp| now > **since + RUNS_AGAIN_WITHIN;
        self.without_run.values().filter(overdue).count()
    }

    /// When the minion of a run was last heard.
    fn last_heard(&self, task: TaskId) -> Option<Timestamp> {
        let run = self.runs.get(&task)?;
        Some(self.minions.get(&run.minion)?.heard)
    }

    /// What the lasting steps lack whose tasks have had no run for long, the longest first.
    pub(super) fn lasting_waits(&self, now: Timestamp) -> Vec<Event> {
        let mut longest: BTreeMap<StepId, Timestamp> = BTreeMap::new();
        for (task, since) in &self.without_run {
            let first = longest.entry(task.step).or_insert(*since);
            *first = (*since).min(*first);
        }
        let long = longest
            .into_iter()
            .filter(|(_, since)| now > *since + LONG_WITHOUT_RUN);
        let mut long: Vec<_> = long.map(|(id, since)| (since, id)).collect();
        long.sort_unstable();
        long.truncate(MAX_LASTING_REPORTED);
        let events = long.into_iter();
        events
            .map(|(since, id)| self.lasting_wait(now, id, now.saturating_sub(since)))
            .collect()
    }

    fn lasting_wait(&self, now: Timestamp, id: StepId, without: Duration) -> Event {
        let step = self
            .ready
            .get(&id)
            .or_else(|| self.expected_losses.get(&id));
        let silent: Vec<_> = self
            .silent_lasting_runs(now)
            .filter(|(task, _)| task.step == id)
            .collect();
        let held_back: BTreeSet<_> = self.late_starts.lasting().collect();
        let late = held_back.range(id.tasks());
        let lease = silent.iter().map(|(_, end)| end.saturating_sub(now)).max();
        let late_until = late
            .clone()
            .filter_map(|task| self.late_starts.until(*task));
        let advice = self.step_advice.get(&id);
        Event::LastingWaits {
            step: id,
            without,
            waiting: self.ready.get(&id).map_or(0, |step| step.waiting.len()),
            silent: silent.len(),
            lease: lease.unwrap_or_default(),
            late_starts: late.count(),
            late: late_until
                .max()
                .map_or(Duration::ZERO, |until| until.saturating_sub(now)),
            asked: advice.is_some_and(|k| k.is_asked()),
            limited: step
                .is_some_and(|step| !self.is_allowed(step, &step.spec.steps[usize::from(id.step)])),
            minions: self.minions.len(),
            excluded: step.map_or_else(Exclusions::default, |step| self.exclusions(now, id, step)),
        }
    }

    /// How many minions are excluded for a step by which constraint. Each counts for the first that
    /// applies, in the order of the fields.
    fn exclusions(&self, now: Timestamp, id: StepId, step: &ReadyStep) -> Exclusions {
        let mut excluded = Exclusions::default();
        for minion in self.minions.values() {
            if let Some(counter) = self.excluded_by(now, id, step, minion, &mut excluded) {
                *counter += 1;
            }
        }
        excluded
    }

    fn excluded_by<'a>(
        &self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        minion: &Minion,
        counts: &'a mut Exclusions,
    ) -> Option<&'a mut usize> {
        let spec = &step.spec.steps[usize::from(id.step)];
        let need = demand(spec);
        let advice = self.step_advice.get(&id);
        let asks = step.queue.advice.is_some();
        if minion.report.service != step.queue.service || minion.foreign {
            Some(&mut counts.service)
        } else if spec.label.as_ref().is_some_and(|l| !minion.has_label(l)) {
            Some(&mut counts.label)
        } else if asks && advice.is_some_and(|k| k.forbids(minion.number)) {
            Some(&mut counts.forbidden)
        } else if !minion.is_responsive() {
            Some(&mut counts.silent)
        } else if !minion.takes_work(now) || minion.trials > 0 {
            Some(&mut counts.no_work)
        } else if spec
            .max_per_minion
            .is_some_and(|most| self.tasks_of_step_on(minion, id) >= most)
        {
            Some(&mut counts.max_per_minion)
        } else if spec.uses_idle_cpu && minion.is_closed_to_best_effort(now) {
            Some(&mut counts.disturbed)
        } else if !need.fits_in(&minion.free()) {
            Some(&mut counts.room)
        } else if !self.respects_reservations(now, minion, step, spec, &need) {
            Some(&mut counts.reserved)
        } else if asks && !advice.is_some_and(|k| k.has_ticket(minion.number, now)) {
            Some(&mut counts.no_ticket)
        } else {
            None
        }
    }
}
