//! What the scheduler tells of its decisions: one record each, written to the log outside.

use std::time::Duration;

use compact_str::CompactString;

use super::ledger::Certainty;
use super::model::{ConfigVersion, EndKind, JobId, RunNumber, StepId, TaskId};
use crate::ids::{MinionId, Term, Timestamp, WorkspaceName};
use crate::resources::Resources;

/// One decision, or one change of what the leader believes.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A job was stored.
    JobAccepted {
        /// Which.
        job: JobId,
        /// Its queue.
        queue: CompactString,
        /// Workspace that handed it in.
        workspace: Option<WorkspaceName>,
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
        /// When it started, by its Unix time.
        started: Option<Timestamp>,
    },
    /// A minion started again under the name that it had.
    MinionRestarted {
        /// Its name.
        minion: MinionId,
        /// When the new incarnation started, by its Unix time.
        started: Option<Timestamp>,
        /// The same of the one before.
        before: Option<Timestamp>,
        /// Since the last answer of the one before.
        heard: Duration,
        /// Runs that were given to it.
        runs: usize,
    },
    /// The capacity of a minion has changed.
    MinionResized {
        /// Incarnation.
        minion: MinionId,
        /// What it has now.
        capacity: Resources,
    },
    /// A minion leaves.
    MinionDraining {
        /// Incarnation.
        minion: MinionId,
        /// Number of the report that said so.
        sequence: u64,
    },
    /// A minion has said that it ends now.
    MinionLeft {
        /// Incarnation.
        minion: MinionId,
        /// Runs that are not known to be over.
        runs: usize,
    },
    /// A minion does not answer.
    MinionSilent {
        /// Incarnation.
        minion: MinionId,
        /// What the call brought.
        brought: &'static str,
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
        /// Since its last answer.
        heard: Duration,
        /// Runs that ended with it.
        runs: usize,
    },
    /// A minion crashed soon after it was told to start a run.
    CrashCounted {
        /// Task.
        task: TaskId,
        /// Run.
        run: RunNumber,
        /// Incarnation.
        minion: MinionId,
        /// Whether the run had begun.
        certainty: Certainty,
    },
    /// A minion listed rows that could not be read.
    RowsUnreadable {
        /// Incarnation.
        minion: MinionId,
        /// Rows in this listing.
        rows: u32,
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
    /// What the policy service said about a step.
    StepAdvised {
        /// Step.
        step: StepId,
        /// Tasks that wait.
        waiting: usize,
        /// Minions asked about.
        asked: usize,
        /// Those that may run it; `None` when no answer came.
        good: Option<usize>,
        /// Since the question was handed out.
        took: Duration,
    },
    /// A run is stopped to make room for more urgent work.
    RunPreempted {
        /// Task.
        task: TaskId,
        /// Run.
        run: RunNumber,
        /// The step that gets the room.
        by: StepId,
    },
    /// A step still waits for minions.
    StepWaits {
        /// Step.
        step: StepId,
        /// Tasks that wait.
        waiting: usize,
        /// Since the job was accepted.
        age: Duration,
        /// Minions that the policy lets run it, as far as known.
        good: usize,
        /// Those with a valid ticket.
        tickets: usize,
        /// Those with a valid ticket and room.
        room: usize,
        /// Whether a question about it is on the way.
        asked: bool,
        /// Whether it waits for the limit of its workspace.
        limited: bool,
        /// Whether its job is beyond what its workspace may count on.
        surplus: bool,
    },
    /// What a workspace has running and what waits.
    WorkspaceUse {
        /// Which.
        workspace: WorkspaceName,
        /// What it has running.
        used: Resources,
        /// What it may have.
        limit: Resources,
        /// Its tasks that wait, for whatever reason.
        waiting: usize,
        /// Those of them whose steps wait for its limit.
        limited: usize,
    },
    /// The whole cell, as the leader counts it.
    Cell {
        /// Minions that take work.
        minions: usize,
        /// Room given away.
        used: Resources,
        /// Room of the minions that take work.
        capacity: Resources,
        /// Tasks that wait.
        waiting: usize,
        /// Steps that wait.
        steps: usize,
        /// Questions to the policy service on the way.
        questions: usize,
        /// Processes that ask them.
        agents: usize,
    },
}
