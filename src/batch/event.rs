//! Events that the dispatcher emits about its decisions and observations, for logs and metrics.

use std::time::Duration;

use compact_str::CompactString;

use super::job_end::{Attempts, JobEndReason};
use super::ledger::Certainty;
use super::model::{ConfigVersion, EndKind, Grouping, JobId, RunNumber, StepId, TaskId};
use crate::ids::{MinionId, ServiceName, Term, Timestamp, WorkspaceName};
use crate::resources::Resources;

/// One decision or observation of the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A job was accepted.
    JobAccepted {
        /// Id of the job.
        job: JobId,
        /// Name of its queue.
        queue: CompactString,
        /// Workspace that submitted it; `None` on a public queue.
        workspace: Option<WorkspaceName>,
        /// Number of jobs in all queues of which no task has started.
        unstarted: usize,
    },
    /// The speed of the tasks that use idle CPU beside tasks with a latency target was changed.
    BestEffortPaced {
        /// Their minion.
        minion: MinionId,
        /// New speed in percent.
        speed: u32,
        /// Highest tail latency there, in percent of its target.
        tail: u32,
    },
    /// Tasks that use idle CPU were stopped, as they kept another over its latency target and
    /// could not be slowed down.
    BestEffortStopped {
        /// Their minion.
        minion: MinionId,
        /// Number of runs.
        runs: usize,
        /// Highest tail latency there, in percent of its target.
        tail: u32,
    },
    /// The number of jobs has changed that no configured service can run.
    JobsWithoutService {
        /// Number of these jobs.
        jobs: usize,
        /// One of them.
        first: JobId,
        /// Its service.
        service: ServiceName,
        /// For how long it has waited.
        waited: Duration,
    },
    /// A job was accepted that had been cancelled before it arrived.
    JobArrivedCancelled {
        /// Id of the job.
        job: JobId,
    },
    /// Number of cancellations of unknown jobs that are remembered.
    EarlyCancels(u32),
    /// A job was refused for lack of capacity.
    JobRefused {
        /// Id of the job.
        job: JobId,
        /// Name of its queue.
        queue: CompactString,
        /// Workspace that submitted it.
        workspace: WorkspaceName,
        /// Time that it would have waited for capacity.
        wait: Duration,
        /// Time after which the caller should return.
        after: Duration,
        /// Whether it was above the weight of its workspace.
        excess: bool,
        /// Whether it would still be in its useful time then.
        useful: bool,
        /// Number of refused callers whose places are kept.
        places: usize,
        /// Whether it is logged; only the first refusals of each second are.
        logged: bool,
    },
    /// A job ended.
    JobEnded {
        /// Id of the job.
        job: JobId,
        /// Final state.
        state: &'static str,
        /// Why it ended.
        reason: JobEndReason,
        /// Time since it was accepted.
        age: Duration,
    },
    /// A failed run was counted as an attempt.
    AttemptCounted {
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Whether the attempts are those of the task or of its gang.
        grouping: Grouping,
        /// Attempts with this run.
        attempts: Attempts,
    },
    /// A run was given to a minion.
    RunPlaced {
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Incarnation that the run was given to.
        minion: MinionId,
        /// Time since the job was accepted.
        age: Duration,
        /// Declared run time of the task.
        estimate: Duration,
        /// Time left until the job's objective; zero when that has passed.
        slack: Duration,
        /// Millicores that were free on the minion before.
        free: u32,
        /// Time since the last message from the minion.
        heard: Duration,
    },
    /// A run has ended.
    RunEnded {
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Incarnation that the run was given to.
        minion: MinionId,
        /// How it ended.
        kind: EndKind,
        /// Time since it was placed.
        age: Duration,
    },
    /// A start was refused or got no answer, so it may not have been executed.
    StartFailed {
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Incarnation that the run was given to.
        minion: MinionId,
        /// Reason for the refusal or kind of the missing answer.
        why: &'static str,
        /// Number of start orders sent so far for the run.
        tries: u32,
    },
    /// A minion joined.
    MinionJoined {
        /// Name of the incarnation.
        minion: MinionId,
        /// Start time by the minion's Unix clock; `None` when it did not say.
        started: Option<Timestamp>,
    },
    /// A minion that counted as draining is in service again: it goes on reporting itself ready.
    MinionBack {
        /// Name of the incarnation.
        minion: MinionId,
    },
    /// A minion restarted under the same name.
    MinionRestarted {
        /// Name of both incarnations.
        minion: MinionId,
        /// Start time of the new incarnation by its Unix clock.
        started: Option<Timestamp>,
        /// Start time of the previous incarnation.
        before: Option<Timestamp>,
        /// Time since the last message from the previous incarnation.
        heard: Duration,
        /// Number of runs that the previous incarnation had.
        runs: usize,
    },
    /// The capacity of a minion changed.
    MinionResized {
        /// Name of the incarnation.
        minion: MinionId,
        /// New capacity.
        capacity: Resources,
    },
    /// A minion started draining.
    MinionDraining {
        /// Name of the incarnation.
        minion: MinionId,
        /// Sequence number of the report that said so.
        sequence: u64,
    },
    /// A minion announced its exit.
    MinionLeft {
        /// Name of the incarnation.
        minion: MinionId,
        /// Number of its runs that are not known to have ended.
        runs: usize,
    },
    /// A minion stopped answering holds.
    MinionSilent {
        /// Name of the incarnation.
        minion: MinionId,
        /// Outcome of the call.
        brought: &'static str,
        /// Time since its last message.
        heard: Duration,
        /// Number of its runs, which may continue.
        runs: usize,
    },
    /// A minion is gone, or its lease expired.
    MinionGone {
        /// Name of the incarnation.
        minion: MinionId,
        /// Evidence for it.
        why: &'static str,
        /// Time since its last message.
        heard: Duration,
        /// Number of runs that ended with it.
        runs: usize,
    },
    /// The crash of a minion was counted against a task whose run may have caused it.
    CrashCounted {
        /// Task that the crash is counted against.
        task: TaskId,
        /// Number of its run on the minion.
        run: RunNumber,
        /// Name of the incarnation.
        minion: MinionId,
        /// How likely the run caused the crash.
        certainty: Certainty,
    },
    /// A minion's answer to a hold contained rows that could not be parsed.
    RowsUnreadable {
        /// Name of the incarnation.
        minion: MinionId,
        /// Number of such rows in this answer.
        rows: u32,
    },
    /// This replica became the leader.
    LeadBegan {
        /// Term of the leadership, which is the fencing token of all its orders.
        term: Term,
        /// Number of active runs placed by earlier leaders.
        runs: usize,
        /// Number of jobs that have not ended.
        jobs: usize,
        /// Version of the configuration in force; 0 for none.
        config: ConfigVersion,
    },
    /// A configuration took effect.
    ConfigInForce {
        /// Version of the configuration.
        version: ConfigVersion,
        /// Number of queues in it.
        queues: usize,
    },
    /// A question to the policy service was answered or failed.
    StepAdvised {
        /// Step that the question was about.
        step: StepId,
        /// Number of waiting tasks of the step.
        waiting: usize,
        /// Number of minions in the question.
        asked: usize,
        /// Number of minions that may run the step; `None` when no answer came.
        good: Option<usize>,
        /// Time since the question was sent.
        took: Duration,
    },
    /// A run is stopped to free resources for more urgent work.
    RunPreempted {
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Step that the resources are freed for.
        by: StepId,
    },
    /// A run is stopped because its minion will end before it does.
    RunMoved {
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
    },
    /// A copy of an active task was given to a minion.
    CopyPlaced {
        /// Task that the copy belongs to.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Incarnation that the run was given to.
        minion: MinionId,
        /// What makes the task's first run too late.
        why: &'static str,
    },
    /// A run that was started as a copy has ended.
    CopyOver {
        /// Task that the copy belongs to.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Whether it completed the task: its end as done was the first.
        won: bool,
    },
    /// Periodic: a step has waiting tasks.
    StepWaits {
        /// Step that waits.
        step: StepId,
        /// Number of waiting tasks.
        waiting: usize,
        /// Time since the job was accepted.
        age: Duration,
        /// Number of minions that the policy service is known to allow.
        good: usize,
        /// Number of minions that suit the step; where a policy applies, those with a valid ticket.
        tickets: usize,
        /// Number of those that have enough free resources.
        room: usize,
        /// Whether a question about the step is open.
        asked: bool,
        /// Whether the step waits because its workspace is at its limit.
        limited: bool,
        /// Whether its job exceeds the guaranteed rate of its workspace.
        excess: bool,
    },
    /// Periodic: a step of lasting tasks has had tasks without a run for long.
    LastingWaits {
        /// Step that the tasks belong to.
        step: StepId,
        /// Longest time without a run among its tasks.
        without: Duration,
        /// Number of its tasks that wait for a minion.
        waiting: usize,
        /// Number of its runs on silent minions, which may continue.
        silent: usize,
        /// Time until the last lease of these ends.
        lease: Duration,
        /// Number of its tasks that wait until an unanswered start order has expired.
        late_starts: usize,
        /// Time until the last of these orders expires.
        late: Duration,
        /// Whether a question about the step is open.
        asked: bool,
        /// Whether the limit of its workspace leaves no room for a task.
        limited: bool,
        /// Number of minions.
        minions: usize,
        /// Those that can't take one of its tasks now.
        excluded: Exclusions,
    },
    /// Periodic: resource usage of a workspace that has a limit.
    WorkspaceUse {
        /// Name of the workspace.
        workspace: WorkspaceName,
        /// Resources of its active runs.
        used: Resources,
        /// Limit on `used`.
        limit: Resources,
        /// Number of its waiting tasks, for any reason.
        waiting: usize,
        /// Number of those that wait because of the limit.
        limited: usize,
    },
    /// Periodic: totals of the whole cell.
    Cell {
        /// Jobs with waiting tasks whose service is not configured.
        unservable: usize,
        /// Number of minions that accept new runs.
        minions: usize,
        /// Resources reserved on those minions.
        used: Resources,
        /// Total capacity of the minions that accept new runs.
        capacity: Resources,
        /// Number of waiting tasks.
        waiting: usize,
        /// Number of steps with waiting tasks.
        steps: usize,
        /// Number of open questions to the policy service.
        questions: usize,
        /// Number of agents that questions can be sent through.
        agents: usize,
        /// Number of active copies.
        copies: usize,
        /// Number of lasting tasks that have had no run for longer than they may.
        lasting_overdue: usize,
    },
}

/// Numbers of minions that can't take a task, each counted for the first constraint that applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exclusions {
    /// They belong to another service, or to one that isn't configured.
    pub service: usize,
    /// They lack the required label.
    pub label: usize,
    /// The policy service forbids them.
    pub forbidden: usize,
    /// They don't answer.
    pub silent: usize,
    /// They get no new work: they drain, have restarted, failed too often, or try a suspected task.
    pub no_work: usize,
    /// They run as many tasks of the step as they may.
    pub max_per_minion: usize,
    /// They take no tasks that use idle CPU, as some there could not be slowed down.
    pub disturbed: usize,
    /// Their free resources don't suffice.
    pub room: usize,
    /// Their free resources are reserved for other tasks.
    pub reserved: usize,
    /// They lack only a valid ticket.
    pub no_ticket: usize,
}
