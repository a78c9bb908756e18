//! What the scheduler tells of its decisions: one record each, written to the log outside.

use std::time::Duration;

use compact_str::CompactString;

use super::model::{ConfigVersion, EndKind, JobId, RunNumber, TaskId};
use crate::ids::{MinionId, Term};

/// One decision, or one change of what the leader believes.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A job was stored.
    JobAccepted {
        /// Which.
        job: JobId,
        /// Its queue.
        queue: CompactString,
        /// Jobs of all queues that no task of has started.
        unstarted: usize,
    },
    /// A job ended.
    JobEnded {
        /// Which.
        job: JobId,
        /// How.
        state: &'static str,
        /// Since it was accepted.
        age: Duration,
    },
    /// A run was given to a minion.
    RunPlaced {
        /// Task.
        task: TaskId,
        /// Run.
        run: RunNumber,
        /// Minion.
        minion: MinionId,
        /// Since the task's job was accepted.
        age: Duration,
        /// Declared run time.
        estimate: Duration,
        /// Time left until the job should be done; zero when that has passed.
        slack: Duration,
        /// Thousandths of a core free there before.
        free: u32,
        /// Age of the last word from the minion.
        heard: Duration,
    },
    /// A run has ended.
    RunEnded {
        /// Task.
        task: TaskId,
        /// Run.
        run: RunNumber,
        /// Minion.
        minion: MinionId,
        /// How.
        kind: EndKind,
        /// Since it was placed.
        age: Duration,
    },
    /// A start was not carried out, or not known to be.
    StartFailed {
        /// Task.
        task: TaskId,
        /// Run.
        run: RunNumber,
        /// Minion.
        minion: MinionId,
        /// Why.
        why: &'static str,
        /// Orders sent so far.
        tries: u32,
    },
    /// A minion joined.
    MinionJoined {
        /// Incarnation.
        minion: MinionId,
    },
    /// A minion leaves.
    MinionDraining {
        /// Incarnation.
        minion: MinionId,
        /// Number of the report that said so.
        sequence: u64,
    },
    /// A minion does not answer.
    MinionSilent {
        /// Incarnation.
        minion: MinionId,
        /// Since its last answer.
        heard: Duration,
        /// Runs that may go on there.
        runs: usize,
    },
    /// A minion is gone for good, or its lease is over.
    MinionGone {
        /// Incarnation.
        minion: MinionId,
        /// What shows it.
        why: &'static str,
        /// Runs that ended with it.
        runs: usize,
    },
    /// Leadership began.
    LeadBegan {
        /// Its term, which is the fencing token of all orders.
        term: Term,
        /// Runs that earlier leaders left.
        runs: usize,
        /// Open jobs.
        jobs: usize,
        /// Configuration in force.
        config: ConfigVersion,
    },
    /// A configuration came in force.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
        /// Queues in it.
        queues: usize,
    },
}

/// Writes a note as one line of the log.
pub fn write_note(log: &slog::Logger, note: &Note) {
    use slog::info;
    let ms = |d: &Duration| d.as_millis() as u64;
    match note {
        Note::JobAccepted {
            job,
            queue,
            unstarted,
        } => info!(log, "job accepted"; "job" => format!("{job:016x}"),
            "queue" => queue.as_str(), "unstarted" => unstarted),
        Note::JobEnded { job, state, age } => info!(log, "job ended";
            "job" => format!("{job:016x}"), "state" => state, "age_ms" => ms(age)),
        Note::RunPlaced {
            task,
            run,
            minion,
            age,
            estimate,
            slack,
            free,
            heard,
        } => info!(log, "run placed"; "task" => %task, "run" => run, "minion" => minion.as_str(),
            "age_ms" => ms(age), "estimate_ms" => ms(estimate),
            "slack_ms" => ms(slack), "free_millicores" => free, "heard_ms" => ms(heard)),
        Note::RunEnded {
            task,
            run,
            minion,
            kind,
            age,
        } => info!(log, "run ended"; "task" => %task, "run" => run, "minion" => minion.as_str(),
            "how" => kind.as_str(), "age_ms" => ms(age)),
        Note::StartFailed {
            task,
            run,
            minion,
            why,
            tries,
        } => info!(log, "start failed"; "task" => %task, "run" => run,
            "minion" => minion.as_str(), "why" => why, "tries" => tries),
        Note::MinionJoined { minion } => info!(log, "minion joined"; "minion" => minion.as_str()),
        Note::MinionDraining { minion, sequence } => info!(log, "minion draining";
            "minion" => minion.as_str(), "sequence" => sequence),
        Note::MinionSilent {
            minion,
            heard,
            runs,
        } => info!(log, "minion silent"; "minion" => minion.as_str(), "heard_ms" => ms(heard),
            "runs" => runs),
        Note::MinionGone { minion, why, runs } => info!(log, "minion gone";
            "minion" => minion.as_str(), "why" => why, "runs" => runs),
        Note::LeadBegan {
            term,
            runs,
            jobs,
            config,
        } => info!(log, "leadership began"; "term" => term, "runs" => runs, "jobs" => jobs,
            "config" => config),
        Note::ConfigInForce { version, queues } => info!(log, "configuration in force";
            "version" => version, "queues" => queues),
    }
}
