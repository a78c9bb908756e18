//! Crashes of minions: which runs may have caused one, and how their tasks are retried.
//!
//! A task can crash every minion that starts it, soon after the start, and ends all other runs
//! there. All runs that had only just started on a crashed minion are suspected. Their tasks are
//! started again on trial: one per minion, and nothing else starts there until the run is seen to
//! work. The next crash then identifies one task, and the others are cleared.

use std::time::Duration;

use super::Dispatcher;
use super::minion::Minion;
use super::place::Score;
use super::run::{Run, RunState};
use crate::batch::event::Event;
use crate::batch::ledger::{Certainty, Crash};
use crate::batch::model::{MinionNumber, TaskId};
use crate::ids::{MinionId, Timestamp};

/// Run time after which a crash of the minion is not blamed on the start of a run, and resets earlier
/// crashes of its task. Longer than answers are on their way.
const HARMLESS_AFTER: Duration = Duration::from_millis(500);
/// The same where a connection broke. Tasks that crash their minions do so within 10 ms. With 500 ms,
/// jobs failed whose tasks had crashed nothing: where each minion crashed every few seconds by
/// another cause, four crashes in a row came so soon.
const HARMLESS_AFTER_IF_BROKEN: Duration = Duration::from_millis(150);
/// Time after a crash without suspects during which others are taken to have the same cause.
const OTHER_CAUSES_FOR: Duration = Duration::from_secs(5);
/// Time from a start order within which a crash is likely caused by the start: a task that crashes
/// its minions does so within milliseconds, and a broken connection shows it soon after.
const LIKELY_CAUSE_WINDOW: Duration = Duration::from_millis(100);
/// Least time between a crash and the first answer of the next incarnation.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Time for which a run on trial must be listed as running to pass its trial.
const TRIAL_TIME: Duration = Duration::from_millis(200);
/// Run time after which earlier crashes of a task are reset.
const CRASHES_RESET_AFTER: Duration = Duration::from_secs(5);

/// Whether a run may crash its minion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// No crash is counted for its task.
    #[default]
    None,
    /// Crashes are counted for its task, and it was not yet seen to work: it runs on trial.
    Trial,
    /// Crashes are counted for its task, but it has passed its trial.
    Passed,
}

/// Evidence that an incarnation of a minion is gone. A call that fails is none, whatever was
/// announced before: a partition refuses or drops calls in the same way, and the minion runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GoneEvidence {
    /// Another incarnation answers its calls.
    OtherIncarnation,
    /// It answers no holds, holds no runs, its lease is over, and it has sent no report for long or
    /// its end was announced.
    Idle,
}

impl GoneEvidence {
    /// Value of `why` in log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::OtherIncarnation => "another incarnation answers",
            Self::Idle => "silent and idle",
        }
    }

    /// Whether a minion that is gone by this evidence crashed, rather than ended in order.
    pub(super) fn shows_crash(self, minion: &Minion) -> bool {
        self == Self::OtherIncarnation && !minion.draining
    }
}

/// How well a minion suits a run on trial; the lowest value is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TrialScore {
    /// The minion was not heard of recently: if it is down already, the trial says nothing about
    /// the run.
    not_heard: bool,
    /// A minion has crashed at its address so recently that another crash would come from it.
    crashed_lately: bool,
    /// Runs that a crash would end.
    runs: usize,
    score: Score,
}

impl Dispatcher {
    /// Runs that may have crashed their minion, which is known to have crashed. A call sent at `sent`
    /// showed the crash.
    ///
    /// A crash is confirmed for a run on trial with no other suspect only, and while all crashes of
    /// late had suspects: as sure evidence, two crashes with another cause failed jobs.
    pub(super) fn suspects(&self, now: Timestamp, minion: &Minion, sent: Timestamp) -> Vec<Crash> {
        let mut suspects = self.all_suspects(minion, sent);
        let is_one = suspects.iter().all(|s| self.is_one_run(s, &suspects[0]));
        let crashed = self.crashed_without_suspects;
        let has_other_causes = crashed.is_some_and(|at| now < at + OTHER_CAUSES_FOR);
        for crash in &mut suspects {
            if has_other_causes {
                crash.certainty = Certainty::Possible;
                continue;
            }
            let run = self.run_key(crash.task, crash.run);
            let run = run.and_then(|key| self.runs.get(&key));
            let on_trial = run.is_some_and(|run| run.suspicion == Suspicion::Trial);
            if crash.certainty == Certainty::Confirmed && !(is_one && on_trial) {
                crash.certainty = Certainty::InDoubt;
            }
        }
        suspects
    }

    /// Whether two suspects are the same run, or members of a gang.
    fn is_one_run(&self, a: &Crash, b: &Crash) -> bool {
        let members = || self.runs.get(&a.task).map_or(1, |run| run.members);
        a.task == b.task || (a.task.step == b.task.step && members() > 1)
    }

    /// Runs that may have crashed their minion if it crashed. For a minion that stays away, they are
    /// confirmed by their own start alone: its crash is proved when the next run has begun.
    pub(super) fn all_suspects(&self, minion: &Minion, sent: Timestamp) -> Vec<Crash> {
        let runs = minion.runs.iter().filter_map(|id| {
            let run = self.runs.get(id)?;
            crash_certainty(run, minion, sent).map(|certainty| crash_of(*id, run, certainty))
        });
        runs.collect()
    }

    /// Suspected tasks whose runs on a crashed minion had worked for a while.
    pub(super) fn suspects_that_worked(&self, minion: &Minion) -> Vec<TaskId> {
        let runs = minion.runs.iter().filter_map(|id| {
            let run = self.runs.get(id)?;
            let RunState::Running(since) = run.state else {
                return None;
            };
            let suspected = run.suspicion != Suspicion::None;
            (suspected && minion.was_up_after(since + HARMLESS_AFTER)).then_some(id.original())
        });
        runs.collect()
    }

    /// Adds crashes to the next batch, to be counted for the tasks that may have caused them.
    pub(super) fn count_crashes(&mut self, minion: MinionId, crashes: Vec<Crash>) {
        for crash in &crashes {
            self.emit(Event::CrashCounted {
                task: crash.task,
                run: crash.run,
                minion: minion.clone(),
                certainty: crash.certainty,
            });
            self.dirty_jobs.insert(crash.task.step.job);
        }
        self.batch.crashes.extend(crashes);
    }

    /// Counts the crash of a restarted minion for a run that was carried over from its former
    /// incarnation and is over, if that run was suspected.
    pub(super) fn count_suspected(&mut self, number: MinionNumber, task: TaskId) {
        let run = self.runs.get(&task);
        let Some(crash) = run.and_then(|run| Some(crash_of(task, run, run.suspected?))) else {
            return;
        };
        let minion = self.minions.get(&number).map(|m| m.report.id.clone());
        self.count_crashes(minion.unwrap_or_default(), vec![crash]);
    }

    /// Ranks a minion for a run on trial; `score` is its ordinary score.
    pub(super) fn trial_score(&self, now: Timestamp, minion: &Minion, score: Score) -> TrialScore {
        TrialScore {
            not_heard: !minion.is_known_up(now),
            crashed_lately: self.has_crashed_lately(now, minion),
            runs: minion.runs.len(),
            score,
        }
    }

    /// Handles a listing that shows a run as running: it may pass its trial or have its crashes
    /// reset.
    pub(super) fn seen_at_work(&mut self, now: Timestamp, number: MinionNumber, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let RunState::Running(since) = run.state else {
            return;
        };
        match run.suspicion {
            Suspicion::Trial if now >= since + TRIAL_TIME => {
                run.suspicion = Suspicion::Passed;
                if let Some(minion) = self.minions.get_mut(&number) {
                    minion.trials -= 1;
                    self.placement_requested = true;
                }
            }
            Suspicion::Passed if now >= since + CRASHES_RESET_AFTER => {
                run.suspicion = Suspicion::None;
                self.batch.crashes_reset.push(task.original());
            }
            _ => {}
        }
    }
}

fn crash_of(task: TaskId, run: &Run, certainty: Certainty) -> Crash {
    Crash {
        task: task.original(),
        run: run.run,
        certainty,
    }
}

/// How certain it is that a run crashed its minion; `None` if it did not. A call sent at `sent`
/// showed the crash.
///
/// A run that had worked for a while, or whose order went unanswered for as long, was more likely
/// hit by a crash with another cause. It counts as a possible cause only: counted as a likely one, it
/// failed jobs whose tasks had crashed nothing, some of them not even started.
fn crash_certainty(run: &Run, minion: &Minion, sent: Timestamp) -> Option<Certainty> {
    let likely_start = start_before_crash(run, minion);
    match (run.state, run.ordered) {
        (RunState::Proposed | RunState::Ending, _) => None,
        (RunState::Transferred | RunState::TransferredInDoubt, _) => run.suspected,
        (RunState::Running(since), _) if minion.was_up_after(since + HARMLESS_AFTER) => None,
        (RunState::Running(since), _) if minion.broke_after(since + HARMLESS_AFTER_IF_BROKEN) => {
            None
        }
        (RunState::Running(_), _) if likely_start.is_some() => Some(Certainty::Confirmed),
        // The start was lost, or it reached the next incarnation.
        (RunState::Starting | RunState::InDoubt, Some(ordered))
            if sent < ordered + RESTART_TIME =>
        {
            None
        }
        (RunState::Starting | RunState::InDoubt, _)
            if likely_start.is_some_and(|ordered| minion.is_known_up(ordered)) =>
        {
            Some(Certainty::InDoubt)
        }
        _ => Some(Certainty::Possible),
    }
}

/// When the last start order before the crash of the minion was sent, if the crash followed within
/// `LIKELY_CAUSE_WINDOW`.
fn start_before_crash(run: &Run, minion: &Minion) -> Option<Timestamp> {
    let down = minion.down_by()?;
    let last = run.last_ordered.filter(|ordered| *ordered <= down);
    let ordered = last.or(run.ordered)?;
    (down <= ordered + LIKELY_CAUSE_WINDOW).then_some(ordered)
}
