//! Crashes of minions: which run may have caused one, and how its task is tried again.
//!
//! A task may crash each minion that starts it, within moments, and takes everything beside it along.
//! All runs that had only just begun on a crashed minion are suspected. Their tasks are started again
//! on trial: one to a minion, and nothing else starts there until the run is seen to work. The next
//! crash then points at one task, and the others are cleared.

use std::time::Duration;

use super::Dispatcher;
use super::minion::{Minion, Presence};
use super::place::Score;
use super::run::{Run, RunState};
use crate::batch::ledger::{Certainty, Crash};
use crate::batch::model::{MinionNumber, TaskId};
use crate::batch::note::Note;
use crate::ids::{MinionId, Timestamp};

/// Work after which a run did not crash its minion by starting.
const HARMLESS_AFTER: Duration = Duration::from_millis(500);
/// Least time between a crash and the first answer of the incarnation that follows.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Time that a run on trial has to be seen to work.
const TRIAL: Duration = Duration::from_millis(200);
/// Work after which earlier crashes are held against a task no longer.
const CLEARED_AFTER: Duration = Duration::from_secs(5);

/// Whether a run may crash its minion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// No crash is counted for its task.
    #[default]
    None,
    /// Crashes are counted for its task, and it was not seen to work yet.
    Trial,
    /// Crashes are counted for its task, and it works.
    Passed,
}

/// What shows that an incarnation is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Proof {
    /// Another one answers its calls.
    OtherIncarnation,
    /// It said that it ends, or another one reported from its address, and nobody listens there.
    Refused,
    /// It said that it ends, and it answers no more.
    Silent,
    /// It holds nothing and has not been heard of for long.
    Idle,
}

impl Proof {
    /// Reason in logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::OtherIncarnation => "another incarnation answers",
            Self::Refused => "it left and nobody listens there",
            Self::Silent => "it left and answers no more",
            Self::Idle => "silent and idle",
        }
    }

    /// Whether a minion that is gone by this proof crashed.
    pub(super) fn shows_crash(self, minion: &Minion) -> bool {
        let replaced =
            self == Self::OtherIncarnation || matches!(minion.presence, Presence::Displaced(_));
        replaced && !minion.draining
    }
}

/// How well a minion suits a run on trial; the least is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TrialScore {
    /// One that crashed unnoticed would tell nothing of the run.
    not_heard: bool,
    /// Runs that a crash would take along.
    runs: usize,
    score: Score,
}

impl Dispatcher {
    /// Runs that may have caused the crash of their minion, which a call sent at `sent` showed.
    pub(super) fn suspects(&self, minion: &Minion, sent: Timestamp) -> Vec<Crash> {
        let runs = minion.runs.iter().filter_map(|id| {
            let run = self.runs.get(id)?;
            suspicion_of(run, minion, sent).map(|certainty| crash_of(*id, run, certainty))
        });
        runs.collect()
    }

    /// Has crashes counted for the tasks that may have caused them.
    pub(super) fn count_crashes(&mut self, minion: MinionId, crashes: Vec<Crash>) {
        for crash in &crashes {
            self.note(Note::CrashCounted {
                task: crash.task,
                run: crash.run,
                minion: minion.clone(),
                certainty: crash.certainty,
            });
            self.dirty_jobs.insert(crash.task.step.job);
        }
        self.batch.crashes.extend(crashes);
    }

    /// Has the crash of a minion that started again counted for a run that ended with it.
    pub(super) fn count_suspected(&mut self, number: MinionNumber, task: TaskId) {
        let run = self.runs.get(&task);
        let Some(crash) = run.and_then(|run| Some(crash_of(task, run, run.suspected?))) else {
            return;
        };
        let minion = self.minions.get(&number).map(|m| m.report.id.clone());
        self.count_crashes(minion.unwrap_or_default(), vec![crash]);
    }

    /// How well a minion suits a run on trial.
    pub(super) fn trial_score(&self, now: Timestamp, minion: &Minion, score: Score) -> TrialScore {
        TrialScore {
            not_heard: !minion.is_heard(now),
            runs: minion.runs.len(),
            score,
        }
    }

    /// Notes that a minion lists a run as under way.
    pub(super) fn seen_at_work(&mut self, now: Timestamp, number: MinionNumber, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let RunState::Running(since) = run.state else {
            return;
        };
        match run.suspicion {
            Suspicion::Trial if now >= since + TRIAL => {
                run.suspicion = Suspicion::Passed;
                if let Some(minion) = self.minions.get_mut(&number) {
                    minion.trials -= 1;
                    self.place_wanted = true;
                }
            }
            Suspicion::Passed if now >= since + CLEARED_AFTER => {
                run.suspicion = Suspicion::None;
                self.batch.cleared.push(task);
            }
            _ => {}
        }
    }
}

fn crash_of(task: TaskId, run: &Run, certainty: Certainty) -> Crash {
    Crash {
        task,
        run: run.run,
        certainty,
    }
}

/// Whether a run may have crashed its minion; a call sent at `sent` showed the crash.
fn suspicion_of(run: &Run, minion: &Minion, sent: Timestamp) -> Option<Certainty> {
    match (run.state, run.ordered) {
        (RunState::Proposed | RunState::Ending, _) => None,
        (RunState::Carried | RunState::CarriedInDoubt, _) => run.suspected,
        (RunState::Running(since), _) if minion.outlived(since + HARMLESS_AFTER) => None,
        (RunState::Running(since), Some(_)) if minion.was_down_by(since + HARMLESS_AFTER) => {
            Some(Certainty::Begun)
        }
        // The start reached nobody, or the next incarnation.
        (RunState::Starting | RunState::InDoubt, Some(ordered))
            if sent < ordered + RESTART_TIME =>
        {
            None
        }
        (RunState::Starting | RunState::InDoubt, Some(ordered))
            if minion.is_heard(ordered) && minion.was_down_by(ordered + HARMLESS_AFTER) =>
        {
            Some(Certainty::InDoubt)
        }
        _ => Some(Certainty::Possible),
    }
}
